package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// seenInTransfer is what is seen of a group in which a silent member's seat has gone to a node.
func seenInTransfer(t *testing.T) observation {
	seen := seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare"))
	seen.healthy, seen.settled = except("b"), except("b")
	moved := nextGroup(seen)
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(moved))
	seen = seenAll(moved, nodes("a", "b", "c", "spare"))
	seen.settled = except("spare")
	return seen
}

// Only the holder could say that it had received its seat, and the store turned it away.
func TestAnyMemberProposesTransferCompletion(t *testing.T) {
	seen := seenInTransfer(t)
	seen.copied = func(string) uint64 { return 0 }
	require.Nil(t, nextGroup(seen), "nothing has been copied")
	seen.copied = func(node string) uint64 {
		require.Equal(t, "spare", node)
		return 77
	}
	next := nextGroup(seen)
	require.Equal(t, uint64(77), next.Members[1].Predecessor.ReceivedBy)
	require.Equal(t, 1, proposalRank(seen, "a"), "the holder itself comes first")
	require.Equal(t, changeReceived, reasonFor(seen))
	require.Nil(t, handsOver(seen, next))
}

// A copy that was complete began anew when its process was started again, while its sources had gone.
func TestCompleteCopySurvivesRestart(t *testing.T) {
	disk := recordlogtest.NewDisk()
	group := oneGroup(nodes("a", "b", "c"))
	copied := &replicav1.Identity{Seat: 0, Claim: firstEpoch, Incarnation: 5, Copied: true}
	opened, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, copied)))
	opened.log.Close()
	again, err := openState(disk)
	require.NoError(t, err)
	t.Cleanup(again.log.Close)
	standing := again.standing(0, group.Epoch)
	require.True(t, standing.Copied)
	peers := newFailureDetector(func() time.Time { return time.Unix(100, 0) })
	peers.observeStanding("a", 0, standing)
	require.Equal(t, uint64(5), peers.copied("a", 0, group.Epoch))
	require.Zero(t, peers.copied("a", 0, group.Epoch+1), "what it holds is said in the present epoch")
}
