package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// lostMember is an observation in which one node has been silent for long.
func lostMember(group *replicav1.Group, node string, registered ...string) observation {
	seen := seenAll(group, nodes(registered...))
	seen.healthy, seen.settled = except(node), except(node)
	seen.failed = func(each string) bool { return each == node }
	return seen
}

// Its vote was missing for a majority once another member had lost its disk.
func TestFailedMemberLosesItsVote(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	next := nextGroup(lostMember(group, "b", "a", "b", "c"))
	require.Equal(t, []string{"a", "c"}, memberNames(next))
	require.Equal(t, group.Members[1], next.Removed)
	require.Equal(t, uint32(3), next.Target)

	seen := lostMember(next, "b", "a", "b", "c")
	require.Nil(t, nextGroup(seen), "the others exchange what they hold first")
	seen.exchanged = true
	complete := nextGroup(seen)
	require.Nil(t, complete.Removed)
	require.Equal(t, []string{"a", "c"}, memberNames(complete))
	back := nextGroup(seenAll(complete, nodes("a", "b", "c")))
	require.Equal(t, []string{"a", "c", "b"}, memberNames(back))
	require.True(t, quorum.IsJoining(back.Members[2]))
}

func TestFailedMemberStaysUnlessTwoOthersAreInSync(t *testing.T) {
	require.Nil(t, nextGroup(lostMember(oneGroup(nodes("a", "b")), "b", "a", "b")))
	seen := lostMember(oneGroup(nodes("a", "b", "c")), "b", "a", "b", "c")
	seen.settled = except("b", "c")
	require.Nil(t, nextGroup(seen))
}

func TestFailedJoiningMemberIsNotACopySource(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	addMember(group, nodes("d")[0])
	group.Members[3].Predecessor = &replicav1.Predecessor{}
	next := nextGroup(lostMember(group, "d", "a", "b", "c", "d"))
	require.Equal(t, []string{"a", "b", "c"}, memberNames(next))
	require.Nil(t, next.Removed)
}

func TestRecoveryNeedsRemovedMemberUntilExchangeCompletes(t *testing.T) {
	group := nextGroup(lostMember(oneGroup(nodes("a", "b", "c")), "b", "a", "b", "c"))
	standing := func(seat uint32, member bool) *replicav1.Standing {
		return &replicav1.Standing{Epoch: group.Epoch, Member: member, Recovered: true, Seat: seat, Claim: firstEpoch, Incarnation: uint64(seat) + 7}
	}
	other, removed := standing(2, true), standing(1, false)
	require.Nil(t, enoughToRecover(group, group.Members[0], []*replicav1.Standing{other}), "what counted may lie with the removed one alone")
	require.Len(t, enoughToRecover(group, group.Members[0], []*replicav1.Standing{other, removed}), 2)
	removed.Recovered = false
	require.Nil(t, enoughToRecover(group, group.Members[0], []*replicav1.Standing{other, removed}), "it has lost its disk too")
	group.Removed = nil
	require.Len(t, enoughToRecover(group, group.Members[0], []*replicav1.Standing{other}), 1)
}

func TestNodeFailsAfterFailureTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := newFailureDetector(func() time.Time { return now })
	peers.observe("a")
	peers.observeStopping("b")
	now = now.Add(failedAfter - 1)
	require.False(t, peers.failed("a"))
	require.False(t, peers.failed("b"), "one that has stopped may start again")
	require.False(t, peers.healthy("b"))
	require.False(t, peers.failed("c"), "nothing was heard of it since this process began")
	now = now.Add(1)
	for _, node := range []string{"a", "b", "c"} {
		require.True(t, peers.failed(node))
	}
}

// One that had been frozen took the first member that was slow to answer it for lost.
func TestPausedProcessReportsNoFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := newFailureDetector(func() time.Time { return now })
	peers.observe("a")
	peers.observeSelf()
	now = now.Add(failedAfter)
	peers.observeSelf()
	require.False(t, peers.failed("a"))
	for range failedAfter / reconcileEvery {
		now = now.Add(reconcileEvery)
		peers.observeSelf()
	}
	now = now.Add(reconcileEvery)
	require.True(t, peers.failed("a"))
}

// A group of two rested for good where a member had gone and its successor came later.
func TestGroupOfTwoReplacesFailedMember(t *testing.T) {
	seen := lostMember(oneGroup(nodes("a", "b")), "b", "a", "b", "c")
	require.Equal(t, []string{"a", "c"}, memberNames(nextGroup(seen)))
	seen.group.Removed = &replicav1.Member{Node: "d", Seat: 2}
	require.Nil(t, nextGroup(seen), "a third may still hold what neither has")
}

// A group that was formed before the third node came stayed one of two.
func TestGroupGrowsToMinimumSize(t *testing.T) {
	next := nextGroup(seenAll(oneGroup(nodes("a", "b")), nodes("a", "b", "c", "d")))
	require.Equal(t, []string{"a", "b", "c"}, memberNames(next))
	require.Equal(t, uint32(2), next.Target, "what gateways wait for at the start stays as it was")
	require.Nil(t, nextGroup(seenAll(receivedGroup(next, next.Members[2].Seat, 5), nodes("a", "b", "c"))))
}
