package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

func noneHealthy(string) bool { return false }

func TestEveryStandbyIsQueriedSoon(t *testing.T) {
	var candidates []directory.Replica
	for i := range 60 {
		candidates = append(candidates, directory.Replica{Node: fmt.Sprintf("n%d", i)})
	}
	search := newStandbySearch()
	queried := make(map[string]bool)
	rounds := 0
	for ; len(queried) < len(candidates); rounds++ {
		for _, node := range search.next(0, candidates, noneHealthy) {
			queried[node.Node] = true
		}
	}
	require.LessOrEqual(t, rounds, 5, "3, 6, 12, 24 and 24 nodes")
	require.Len(t, search.next(0, candidates, noneHealthy), maxStandbyQueries, "the number is bounded")
	require.Len(t, search.next(1, candidates, noneHealthy), initialStandbyQueries, "the search of another partition is independent")
	search.reset(0)
	require.Len(t, search.next(0, candidates, noneHealthy), initialStandbyQueries)
}

func TestHealthyStandbyIsQueriedEveryTime(t *testing.T) {
	candidates := nodes("a", "b", "c", "d", "e", "f", "g")
	search := newStandbySearch()
	isHealthy := func(node string) bool { return node == "f" }
	for range 5 {
		var names []string
		for _, node := range search.next(0, candidates, isHealthy) {
			names = append(names, node.Node)
		}
		require.Equal(t, "f", names[0])
	}
}

func TestFewStandbysAreQueriedOncePerRound(t *testing.T) {
	search := newStandbySearch()
	require.Empty(t, search.next(0, nil, noneHealthy))
	for range 4 {
		require.Len(t, search.next(0, nodes("a", "b"), noneHealthy), 2)
	}
}
