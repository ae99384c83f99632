package replica

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func TestStoppingMemberStaysUntilStandbyIsInSync(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "spare"))
	status.reportsStopping = onlyNode("b")
	grown := nextGroup(status)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown))
	require.Zero(t, proposalRank(status, "b"), "the stopping member proposes first")
	require.Equal(t, 1, proposalRank(status, "a"))
	require.False(t, hasEnoughMembersWithout(status, "b", status.isInSync))
	status.group = completeTransfers(grown)
	status.isInSync = allExcept("spare")
	require.False(t, hasEnoughMembersWithout(status, "b", status.isInSync))
	status.isInSync = allExcept()
	require.True(t, hasEnoughMembersWithout(status, "b", status.isInSync))
	status.nodes = nodes("a", "b", "c", "spare")
	require.Nil(t, nextGroup(status), "the stopped member may return soon")
	status.group, status.nodes = group, nodes("a", "b", "c")
	require.Nil(t, nextGroup(status), "a group does not shrink for a member that may return")
}

// A member that had stopped and did not return kept its vote beside its replacement.
func TestStoppedMemberIsRemovedWhenEnoughRemain(t *testing.T) {
	status := statusAllInSync(completeTransfers(nextGroup(statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "spare")))), nodes("a", "b", "c", "spare"))
	status.isHealthy, status.isInSync = allExcept("b"), allExcept("b")
	next := nextGroup(status)
	require.Equal(t, []string{"a", "c", "spare"}, memberNames(next))
	require.Nil(t, next.Removed)
}

// A full group kept the member that had joined to replace a stopping one, after that one returned.
func TestSurplusMemberIsRemoved(t *testing.T) {
	full := singlePartitionGroup(nodes("a", "b", "c", "d", "e"))
	status := statusAllInSync(full, nodes("a", "b", "c", "d", "e", "spare"))
	status.reportsStopping = onlyNode("b")
	grown := completeTransfers(nextGroup(status))
	require.Len(t, grown.Members, maxSeats+1)
	require.Equal(t, memberNames(full), memberNames(nextGroup(statusAllInSync(grown, status.nodes))))
}

func TestRetiringMemberLeavesBeforeStoppingOne(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "spare"))
	status.reportsStopping, status.retiring = onlyNode("b"), map[string]bool{"c": true}
	grown := nextGroup(status)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown))
	status.group = completeTransfers(grown)
	require.Equal(t, []string{"a", "b", "spare"}, memberNames(nextGroup(status)))
}

func TestStoppingNodeIsUnhealthyUntilRestart(t *testing.T) {
	now := time.Unix(100, 0)
	peers := newFailureDetector(func() time.Time { return now })
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	server := &service{state: opened, directory: directory.NewState(time.Now, nil), peers: peers}
	for _, stopping := range []bool{false, true, false} {
		_, err := server.Announce(t.Context(), connect.NewRequest(&replicav1.AnnounceRequest{Node: "a", Stopping: stopping}))
		require.NoError(t, err)
		require.Equal(t, !stopping, peers.isHealthy("a"))
	}
}

// A stopping replica ended 3 s into a grace period of 8 s, whether or not another replica had
// filled its seat.
func TestStopWaitFollowsGracePeriod(t *testing.T) {
	require.Equal(t, 7*time.Second, maxStopWait(8*time.Second))
	require.Equal(t, minStopWait, maxStopWait(time.Second), "a joining standby has enough time")
}
