package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// statusWithFailed returns a status in which one node has failed.
func statusWithFailed(group *replicav1.Group, node string, registered ...string) groupStatus {
	status := statusAllInSync(group, nodes(registered...))
	status.isHealthy, status.isInSync = allExcept(node), allExcept(node)
	status.hasFailed = func(each string) bool { return each == node }
	return status
}

// The vote of a failed member was missing for a majority once another member had lost its disk.
func TestFailedMemberLosesItsVote(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	next := nextGroup(statusWithFailed(group, "b", "a", "b", "c"))
	require.Equal(t, []string{"a", "c"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Removed)
	require.Equal(t, uint32(3), next.Target)

	status := statusWithFailed(next, "b", "a", "b", "c")
	require.Nil(t, nextGroup(status), "the other members must exchange their records first")
	status.exchangeComplete = true
	complete := nextGroup(status)
	require.Nil(t, complete.Removed)
	require.Equal(t, []string{"a", "c"}, memberNames(complete))
	rejoined := nextGroup(statusAllInSync(complete, nodes("a", "b", "c")))
	require.Equal(t, []string{"a", "c", "b"}, memberNames(rejoined))
	require.True(t, quorum.IsJoining(rejoined.Members[2]))
}

func TestFailedMemberStaysUnlessTwoOthersAreInSync(t *testing.T) {
	require.Nil(t, nextGroup(statusWithFailed(singlePartitionGroup(nodes("a", "b")), "b", "a", "b")))
	status := statusWithFailed(singlePartitionGroup(nodes("a", "b", "c")), "b", "a", "b", "c")
	status.isInSync = allExcept("b", "c")
	require.Nil(t, nextGroup(status))
}

func TestFailedJoiningMemberIsNotACopySource(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	addMember(group, nodes("d")[0])
	group.Members[3].Predecessor = &replicav1.Predecessor{}
	next := nextGroup(statusWithFailed(group, "d", "a", "b", "c", "d"))
	require.Equal(t, []string{"a", "b", "c"}, memberNames(next))
	require.Nil(t, next.Removed)
}

func TestRecoveryNeedsRemovedMemberUntilExchangeCompletes(t *testing.T) {
	group := nextGroup(statusWithFailed(singlePartitionGroup(nodes("a", "b", "c")), "b", "a", "b", "c"))
	standing := func(seat uint32, member bool) *replicav1.Standing {
		return &replicav1.Standing{Epoch: group.Epoch, Member: member, Recovered: true, Seat: seat, Claim: firstEpoch, Incarnation: uint64(seat) + 7}
	}
	other, removed := standing(2, true), standing(1, false)
	require.Nil(t, sufficientSources(group, group.Members[0], []*replicav1.Standing{other}), "acknowledged records may be held only by the removed member")
	require.Len(t, sufficientSources(group, group.Members[0], []*replicav1.Standing{other, removed}), 2)
	removed.Recovered = false
	require.Nil(t, sufficientSources(group, group.Members[0], []*replicav1.Standing{other, removed}), "the removed member has lost its disk too")
	group.Removed = nil
	require.Len(t, sufficientSources(group, group.Members[0], []*replicav1.Standing{other}), 1)
}

func TestNodeFailsAfterFailureTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := newFailureDetector(func() time.Time { return now })
	peers.observe("a")
	peers.observeStopping("b")
	now = now.Add(failedAfter - 1)
	require.False(t, peers.hasFailed("a"))
	require.False(t, peers.hasFailed("b"), "a stopped node may start again")
	require.False(t, peers.isHealthy("b"))
	require.False(t, peers.hasFailed("c"), "there was no contact since this process started")
	now = now.Add(1)
	for _, node := range []string{"a", "b", "c"} {
		require.True(t, peers.hasFailed(node))
	}
}

// A process that had been frozen considered the first member that answered slowly to be failed.
func TestPausedProcessReportsNoFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := newFailureDetector(func() time.Time { return now })
	peers.observe("a")
	peers.checkSelfPause()
	now = now.Add(failedAfter)
	peers.checkSelfPause()
	require.False(t, peers.hasFailed("a"))
	for range failedAfter / reconcileInterval {
		now = now.Add(reconcileInterval)
		peers.checkSelfPause()
	}
	now = now.Add(reconcileInterval)
	require.True(t, peers.hasFailed("a"))
}

// A group of two could never write again if a member failed and its replacement arrived later.
func TestGroupOfTwoReplacesFailedMember(t *testing.T) {
	status := statusWithFailed(singlePartitionGroup(nodes("a", "b")), "b", "a", "b", "c")
	require.Equal(t, []string{"a", "c"}, memberNames(nextGroup(status)))
	status.group.Removed = &replicav1.Member{Node: "d", Seat: 2}
	require.Nil(t, nextGroup(status), "a third node may hold records that both members lack")
}

// A group that was formed before the third node arrived kept two members.
func TestGroupGrowsToMinimumSize(t *testing.T) {
	next := nextGroup(statusAllInSync(singlePartitionGroup(nodes("a", "b")), nodes("a", "b", "c", "d")))
	require.Equal(t, []string{"a", "b", "c"}, memberNames(next))
	require.Equal(t, uint32(2), next.Target, "the target that gateways wait for at the start is unchanged")
	require.Nil(t, nextGroup(statusAllInSync(groupWithTransferComplete(next, next.Members[2].Seat, 5), nodes("a", "b", "c"))))
}

// A member was removed as failed 2.3 s after its group was formed: the time before, in which nobody knew it, counted.
func TestTimeBeforeANodeWasAMemberIsNoSilence(t *testing.T) {
	now := time.Unix(100, 0)
	peers := newFailureDetector(func() time.Time { return now })
	group := &replicav1.Group{Members: []*replicav1.Member{{Node: "a"}}}
	now = now.Add(time.Hour)
	peers.watchMembers([]*replicav1.Group{group})
	now = now.Add(failedAfter - 1)
	peers.watchMembers([]*replicav1.Group{group, {Partition: 1, Members: group.Members}})
	require.False(t, peers.hasFailed("a"))
	now = now.Add(1)
	require.True(t, peers.hasFailed("a"), "whatever partition it has joined since")
	peers.watchMembers(nil)
	now = now.Add(time.Hour)
	peers.watchMembers([]*replicav1.Group{group})
	require.False(t, peers.hasFailed("a"), "it is a member again")
}

// After a pause of its own a process took each member whose answer came later than another's for silent.
func TestAPauseOfThisProcessSuspectsNobody(t *testing.T) {
	now := time.Unix(100, 0)
	peers := newFailureDetector(func() time.Time { return now })
	status := groupStatus{isHealthy: peers.isHealthy, isSuspect: peers.isSuspect}
	peers.checkSelfPause()
	peers.observe("a")
	now = now.Add(suspectAfter)
	peers.checkSelfPause()
	require.False(t, status.mustLeave(memberSuspect, "a"))
	require.False(t, peers.isHealthy("a"), "nor is it known to run")
	for range 10 {
		now = now.Add(suspectAfter / 10)
		peers.checkSelfPause()
	}
	require.True(t, status.mustLeave(memberSuspect, "a"))
}
