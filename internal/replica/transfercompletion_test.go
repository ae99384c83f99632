package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// statusInTransfer returns the status of a group in which the seat of an unresponsive member was
// transferred to a standby.
func statusInTransfer(t *testing.T) groupStatus {
	status := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare"))
	status.isHealthy, status.isInSync = allExcept("b"), allExcept("b")
	moved := nextGroup(status)
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(moved))
	status = statusAllInSync(moved, nodes("a", "b", "c", "spare"))
	status.isInSync = allExcept("spare")
	return status
}

// The holder cannot propose the completion itself if the store is unavailable to it.
func TestAnyMemberProposesTransferCompletion(t *testing.T) {
	status := statusInTransfer(t)
	status.copiedIncarnation = func(string) uint64 { return 0 }
	require.Nil(t, nextGroup(status), "no records have been copied")
	status.copiedIncarnation = func(node string) uint64 {
		require.Equal(t, "spare", node)
		return 77
	}
	next := nextGroup(status)
	require.Equal(t, uint64(77), next.Members[1].Predecessor.ReceivedBy)
	require.Equal(t, 1, proposalRank(status, "a"), "the holder proposes before other members")
	require.Equal(t, changeTransferComplete, changeReasonFor(status))
	require.Nil(t, selfRemovingMember(status, next))
}

// A completed copy was repeated after a restart of the process, while its sources had failed.
func TestCompleteCopySurvivesRestart(t *testing.T) {
	disk := recordlogtest.NewDisk()
	group := singlePartitionGroup(nodes("a", "b", "c"))
	copied := &replicav1.Identity{Seat: 0, Claim: firstEpoch, Incarnation: 5, Copied: true}
	opened, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, copied)))
	opened.log.Close()
	reopened, err := openState(disk)
	require.NoError(t, err)
	t.Cleanup(reopened.log.Close)
	standing := reopened.standing(0, group.Epoch)
	require.True(t, standing.Copied)
	peers := newFailureDetector(func() time.Time { return time.Unix(100, 0) })
	peers.observeStanding("a", 0, standing)
	require.Equal(t, uint64(5), peers.copiedIncarnation("a", 0, group.Epoch))
	require.Zero(t, peers.copiedIncarnation("a", 0, group.Epoch+1), "the report must be of the current epoch")
}
