package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// give adds a reason for a node to leave its group to what is seen.
func give(seen *observation, reason departureReason, node string) {
	healthy, settled, failed := seen.healthy, seen.settled, seen.failed
	switch reason {
	case memberFailed, memberSuspect:
		seen.healthy = func(each string) bool { return each != node && healthy(each) }
		seen.settled = func(each string) bool { return each != node && settled(each) }
		seen.failed = func(each string) bool {
			return reason == memberFailed && each == node || failed != nil && failed(each)
		}
	case memberRetiring:
		seen.retiring[node] = true
	case memberStopping:
		seen.stopping = only(node)
	}
}

// Of two members with a reason to leave, the one that works must not stand in the way of the other.
func TestUnresponsiveMemberLeavesBeforeHealthyOne(t *testing.T) {
	for first := range memberSurplus {
		for second := range memberSurplus {
			for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
				if first == second || first == memberFailed && second == memberSuspect || first == memberSuspect && second == memberFailed {
					// Two that do not answer leave one of three.
					continue
				}
				seen := seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare"))
				give(&seen, first, names[0])
				give(&seen, second, names[1])
				leaving := names[0]
				if second < first {
					leaving = names[1]
				}
				next := nextGroup(seen)
				require.NotNil(t, next, "%d of %s, %d of %s", first, names[0], second, names[1])
				require.Equal(t, leaving, nextDeparture(seen).member.Node)
				require.NotNil(t, seatOf(next, "spare"))
				if min(first, second) < memberRetiring {
					require.Nil(t, seatOf(next, leaving))
					continue
				}
				require.NotNil(t, seatOf(next, leaving), "one that works keeps its vote")
				seen.group = allReceived(next)
				require.Nil(t, seatOf(nextGroup(seen), leaving), "until the other one has its own")
			}
		}
	}
}

// One that went for good while another was emptied kept its vote, and the next lost disk ended service.
func TestFailedMemberIsRemovedWhileAnotherRetires(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	for _, retiring := range []string{"a", "c"} {
		seen := lostMember(group, "b", "a", "b", "c")
		seen.retiring[retiring] = true
		next := nextGroup(seen)
		require.Equal(t, []string{"a", "c"}, memberNames(next))
		require.Nil(t, handsOver(seen, next), "any member may propose it")
		next.Removed = nil
		require.Nil(t, nextGroup(seenRetiring(next, retiring, "a", "c")), "two stay")
		grown := nextGroup(seenRetiring(next, retiring, "a", "c", "d"))
		require.NotNil(t, seatOf(grown, retiring), "it keeps its vote until another one has its own")
		replaced := nextGroup(seenRetiring(allReceived(grown), retiring, "a", "c", "d"))
		require.Nil(t, seatOf(replaced, retiring))
		require.NotNil(t, seatOf(replaced, "d"))
	}
}

// A machine that went for good while it was emptied was left to remove itself, and kept its vote.
func TestFailedRetiringMemberIsRemovedByOthers(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := lostMember(group, "b", "a", "b", "c")
	seen.retiring["b"] = true
	next := nextGroup(seen)
	require.Equal(t, []string{"a", "c"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Removed)
	require.Nil(t, handsOver(seen, next))
}

// Of a machine that went after it had left its group, and before it was told to have, the others waited for a word.
func TestRetiredMemberIsRemovedLikeFailedOne(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenRetiring(group, "b", "a", "b", "c")
	next := nextGroup(seen)
	require.Equal(t, group.Members[1], next.Removed)
	require.Equal(t, group.Members[1], handsOver(seen, next))
	seen = seenRetiring(next, "b", "a", "b", "c")
	require.Nil(t, nextGroup(seen), "the others exchange what they hold first")
	seen.exchanged = true
	complete := nextGroup(seen)
	require.Nil(t, complete.Removed)
	gone := lostMember(complete, "c", "a", "c", "d")
	gone.retiring["b"] = true
	require.Equal(t, []string{"a", "d"}, memberNames(nextGroup(gone)))
}

// The group of two that was left could replace nobody for as long as the removal was under way.
func TestRemovedMemberIsReinstatedWhenAnotherFails(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	removing := nextGroup(seenRetiring(group, "b", "a", "b", "c"))
	seen := lostMember(removing, "c", "a", "b", "c")
	seen.retiring["b"] = true
	require.Nil(t, nextGroup(seen), "it does not show that it holds anything")
	seen.removedHolds = true
	next := nextGroup(seen)
	require.Equal(t, []string{"a", "b"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Members[1], "it counts as it did before")
	require.Equal(t, group.Members[2], next.Removed)
	seen.settled = except("a", "c")
	require.Nil(t, nextGroup(seen), "the one that is left has what counted meanwhile")
}

func TestExchangeContinuesWithoutFailedMember(t *testing.T) {
	partners := func(members ...string) []string {
		group := oneGroup(nodes(members...))
		removing := nextGroup(seenRetiring(group, "a", members...))
		seen := lostMember(removing, "b", members...)
		return memberNames(&replicav1.Group{Members: exchangePartners(seen)})
	}
	require.Empty(t, partners("a", "b", "c"), "what counted may lie with the removed one and the one that failed")
	require.Equal(t, []string{"c", "d"}, partners("a", "b", "c", "d"))
	require.Equal(t, []string{"c", "d", "e"}, partners("a", "b", "c", "d", "e"))
	suspect := seenAll(nextGroup(seenRetiring(oneGroup(nodes("a", "b", "c", "d")), "a", "a", "b", "c", "d")), nil)
	suspect.settled = except("b")
	require.Empty(t, exchangePartners(suspect), "one that has not failed may have acknowledged what the others lack")
}

func TestConcurrentRetirementsKeepTwoMembers(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenRetiring(group, "a", "a", "b", "c")
	seen.retiring["b"] = true
	next := nextGroup(seen)
	require.Equal(t, []string{"b", "c"}, memberNames(next))
	next.Removed = nil
	seen.group = next
	require.Nil(t, nextGroup(seen))
	withdrawn := seenAll(next, nodes("a", "b", "c"))
	require.Equal(t, []string{"b", "c", "a"}, memberNames(nextGroup(withdrawn)), "a retirement that is withdrawn gives the seat back")
}

// seenRetiring is an observation in which a node is to be emptied and every node is well.
func seenRetiring(group *replicav1.Group, node string, registered ...string) observation {
	seen := seenAll(group, nodes(registered...))
	seen.retiring[node] = true
	return seen
}
