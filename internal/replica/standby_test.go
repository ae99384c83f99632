package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// nobody is alive.
func nobody(string) bool { return false }

func TestEveryStandbyIsQueriedSoon(t *testing.T) {
	var able []directory.Replica
	for i := range 60 {
		able = append(able, directory.Replica{Node: fmt.Sprintf("n%d", i)})
	}
	search := newStandbySearch()
	asked := make(map[string]bool)
	questions := 0
	for ; len(asked) < len(able); questions++ {
		for _, node := range search.next(0, able, nobody) {
			asked[node.Node] = true
		}
	}
	require.LessOrEqual(t, questions, 5, "3, 6, 12, 24 and 24 nodes")
	require.Len(t, search.next(0, able, nobody), maxStandbysAsked, "the number is bounded")
	require.Len(t, search.next(1, able, nobody), standbysAsked, "another partition's search begins anew")
	search.end(0)
	require.Len(t, search.next(0, able, nobody), standbysAsked)
}

func TestHealthyStandbyIsQueriedEveryTime(t *testing.T) {
	able := nodes("a", "b", "c", "d", "e", "f", "g")
	search := newStandbySearch()
	alive := func(node string) bool { return node == "f" }
	for range 5 {
		var names []string
		for _, node := range search.next(0, able, alive) {
			names = append(names, node.Node)
		}
		require.Equal(t, "f", names[0])
	}
}

func TestFewStandbysAreQueriedOncePerRound(t *testing.T) {
	search := newStandbySearch()
	require.Empty(t, search.next(0, nil, nobody))
	for range 4 {
		require.Len(t, search.next(0, nodes("a", "b"), nobody), 2)
	}
}
