package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestMembersProposeInRankOrder(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := newProposals(func() time.Time { return now }), newProposals(func() time.Time { return now })
	group := &replicav1.Group{Epoch: 4}
	require.True(t, first.isDue(group, 0))
	require.False(t, second.isDue(group, 1), "the proposal of the first member may be pending")
	now = now.Add(proposalStagger)
	require.True(t, second.isDue(group, 1), "the first member has not proposed the change")

	next := &replicav1.Group{Epoch: 5}
	require.False(t, second.isDue(next, 1), "the delay starts again for another change")
	now = now.Add(proposalStagger)
	second.clear(0)
	require.False(t, second.isDue(next, 1), "the change was not pending continuously")
}

func TestProposalRankCountsHealthyMembers(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c", "d"))
	status := statusAllInSync(group, nodes("a", "b", "c", "d"))
	require.Equal(t, 2, proposalRank(status, "c"))
	status.isHealthy = allExcept("a")
	require.Equal(t, 1, proposalRank(status, "c"))
}
