package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAStoppingMembersSeatGoesToANodeThatStandsBy(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping = "b"
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(nextGroup(seen)))
	require.Zero(t, proposalRank(seen, "b"), "nobody else knows that it stops")
	seen.nodes = nodes("a", "b", "c")
	require.Nil(t, nextGroup(seen), "a group does not shrink for a member that may come back")
}

func TestAnEmptiedMemberGoesBeforeOneThatStops(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.stopping, seen.retiring = "b", map[string]bool{"c": true}
	require.Equal(t, []string{"a", "b", "spare"}, memberNames(nextGroup(seen)))
}
