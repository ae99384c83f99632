package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// addDepartureReason changes a status so that a node has a reason to leave its group.
func addDepartureReason(status *groupStatus, reason departureReason, node string) {
	isHealthy, isInSync, hasFailed := status.isHealthy, status.isInSync, status.hasFailed
	switch reason {
	case memberFailed, memberSuspect:
		status.isHealthy = func(other string) bool { return other != node && isHealthy(other) }
		status.isInSync = func(other string) bool { return other != node && isInSync(other) }
		status.hasFailed = func(other string) bool {
			return reason == memberFailed && other == node || hasFailed != nil && hasFailed(other)
		}
	case memberRetiring:
		status.retiring[node] = true
	case memberStopping:
		status.reportsStopping = onlyNode(node)
	}
}

// If two members have a reason to leave, the healthy one must not delay the other.
func TestUnresponsiveMemberLeavesBeforeHealthyOne(t *testing.T) {
	for first := range memberSurplus {
		for second := range memberSurplus {
			for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
				if first == second || first == memberFailed && second == memberSuspect || first == memberSuspect && second == memberFailed {
					// Two unresponsive members leave one of three.
					continue
				}
				status := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare"))
				addDepartureReason(&status, first, names[0])
				addDepartureReason(&status, second, names[1])
				leaving := names[0]
				if second < first {
					leaving = names[1]
				}
				next := nextGroup(status)
				require.NotNil(t, next, "%d of %s, %d of %s", first, names[0], second, names[1])
				require.Equal(t, leaving, nextDeparture(status).member.Node)
				require.NotNil(t, memberForNode(next, "spare"))
				if min(first, second) < memberRetiring {
					require.Nil(t, memberForNode(next, leaving))
					continue
				}
				require.NotNil(t, memberForNode(next, leaving), "a healthy member keeps its vote")
				status.group = completeTransfers(next)
				require.Nil(t, memberForNode(nextGroup(status), leaving), "the member leaves once its replacement can vote")
			}
		}
	}
}

// A member that failed during a retirement once kept its vote, and the next lost disk ended
// service.
func TestFailedMemberIsRemovedWhileAnotherRetires(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	for _, retiring := range []string{"a", "c"} {
		status := statusWithFailed(group, "b", "a", "b", "c")
		status.retiring[retiring] = true
		next := nextGroup(status)
		require.Equal(t, []string{"a", "c"}, memberNames(next))
		require.Nil(t, selfRemovingMember(status, next), "any member may propose the group")
		next.Removed = nil
		require.Nil(t, nextGroup(statusWithRetiring(next, retiring, "a", "c")), "two members remain")
		grown := nextGroup(statusWithRetiring(next, retiring, "a", "c", "d"))
		require.NotNil(t, memberForNode(grown, retiring), "it keeps its vote until its replacement can vote")
		replaced := nextGroup(statusWithRetiring(completeTransfers(grown), retiring, "a", "c", "d"))
		require.Nil(t, memberForNode(replaced, retiring))
		require.NotNil(t, memberForNode(replaced, "d"))
	}
}

// A member that failed during its own retirement was once expected to remove itself, and kept its
// vote.
func TestFailedRetiringMemberIsRemovedByOthers(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusWithFailed(group, "b", "a", "b", "c")
	status.retiring["b"] = true
	next := nextGroup(status)
	require.Equal(t, []string{"a", "c"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Removed)
	require.Nil(t, selfRemovingMember(status, next))
}

// If a machine fails after it has left its group but before it learns so, the others must not wait
// for it.
func TestRetiredMemberIsRemovedLikeFailedOne(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusWithRetiring(group, "b", "a", "b", "c")
	next := nextGroup(status)
	require.Equal(t, group.Members[1], next.Removed)
	require.Equal(t, group.Members[1], selfRemovingMember(status, next))
	status = statusWithRetiring(next, "b", "a", "b", "c")
	require.Nil(t, nextGroup(status), "the other members must exchange their records first")
	status.exchangeComplete = true
	complete := nextGroup(status)
	require.Nil(t, complete.Removed)
	failed := statusWithFailed(complete, "c", "a", "c", "d")
	failed.retiring["b"] = true
	require.Equal(t, []string{"a", "d"}, memberNames(nextGroup(failed)))
}

// The remaining group of two could otherwise replace nobody while the removal is incomplete.
func TestRemovedMemberIsReinstatedWhenAnotherFails(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	removing := nextGroup(statusWithRetiring(group, "b", "a", "b", "c"))
	status := statusWithFailed(removing, "c", "a", "b", "c")
	status.retiring["b"] = true
	require.Nil(t, nextGroup(status), "it has not reported that it holds the records")
	status.removedMemberHoldsRecords = true
	next := nextGroup(status)
	require.Equal(t, []string{"a", "b"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Members[1], "it counts as before its removal")
	require.Equal(t, group.Members[2], next.Removed)
	status.isInSync = allExcept("a", "c")
	require.Nil(t, nextGroup(status), "the remaining member holds the records acknowledged since")
}

func TestExchangeContinuesWithoutFailedMember(t *testing.T) {
	partners := func(members ...string) []string {
		group := singlePartitionGroup(nodes(members...))
		removing := nextGroup(statusWithRetiring(group, "a", members...))
		status := statusWithFailed(removing, "b", members...)
		return memberNames(&replicav1.Group{Members: exchangePartners(status)})
	}
	require.Empty(t, partners("a", "b", "c"), "acknowledged records may be held only by the removed and the failed member")
	require.Equal(t, []string{"c", "d"}, partners("a", "b", "c", "d"))
	require.Equal(t, []string{"c", "d", "e"}, partners("a", "b", "c", "d", "e"))
	suspect := statusAllInSync(nextGroup(statusWithRetiring(singlePartitionGroup(nodes("a", "b", "c", "d")), "a", "a", "b", "c", "d")), nil)
	suspect.isInSync = allExcept("b")
	require.Empty(t, exchangePartners(suspect), "a member that has not failed may have acknowledged records that the others lack")
}

func TestConcurrentRetirementsKeepTwoMembers(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusWithRetiring(group, "a", "a", "b", "c")
	status.retiring["b"] = true
	next := nextGroup(status)
	require.Equal(t, []string{"b", "c"}, memberNames(next))
	next.Removed = nil
	status.group = next
	require.Nil(t, nextGroup(status))
	canceled := statusAllInSync(next, nodes("a", "b", "c"))
	require.Equal(t, []string{"b", "c", "a"}, memberNames(nextGroup(canceled)), "a canceled retirement gives the node a seat again")
}

// statusWithRetiring returns a status in which one node is retiring and all nodes are in sync.
func statusWithRetiring(group *replicav1.Group, node string, registered ...string) groupStatus {
	status := statusAllInSync(group, nodes(registered...))
	status.retiring[node] = true
	return status
}
