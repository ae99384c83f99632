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
	require.True(t, first.due(group, 0))
	require.False(t, second.due(group, 1), "the first one's proposal may be on its way")
	now = now.Add(proposalStagger)
	require.True(t, second.due(group, 1), "the first one has not done it")

	next := &replicav1.Group{Epoch: 5}
	require.False(t, second.due(next, 1), "another change is waited for anew")
	now = now.Add(proposalStagger)
	second.settled(0)
	require.False(t, second.due(next, 1), "it was not wanted all the time")
}

func TestProposalRankCountsHealthyMembers(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c", "d"))
	seen := seenAll(group, nodes("a", "b", "c", "d"))
	require.Equal(t, 2, proposalRank(seen, "c"))
	seen.healthy = except("a")
	require.Equal(t, 1, proposalRank(seen, "c"))
}
