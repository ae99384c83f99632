package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCacheKeepsWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1_000
		cache := newPrefixCache(capacity, func(*run, int64) {})
		owners := []*run{{}, {}, {}}
		var pinned []*cacheNode
		var reserved []int64
		now := time.Duration(0)
		chain := func(t *rapid.T, owner int) []segment {
			length := rapid.IntRange(1, 5).Draw(t, "length")
			pieces := []segment{{id: 1, tokens: 50}}
			for index := range length {
				id := uint64(100*(owner+1) + index)
				pieces = append(pieces, segment{id: id, tokens: int64(20 + 10*index), owner: owners[owner]})
			}
			return pieces
		}
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				owner := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
				prompt := chain(t, owner)
				matched, length := cache.match(prompt)
				pin(matched, 1)
				if cache.makeRoom(now, tokensOf(prompt)-length) {
					retain := time.Duration(rapid.IntRange(0, 20).Draw(t, "retain"))
					node := cache.insert(now, owners[owner], prompt, retain)
					pin(node, 1)
					pinned = append(pinned, node)
				}
				pin(matched, -1)
			},
			"unpin": func(t *rapid.T) {
				if len(pinned) > 0 {
					pin(pinned[0], -1)
					pinned = pinned[1:]
				}
			},
			"reserve": func(t *rapid.T) {
				tokens := int64(rapid.IntRange(1, 300).Draw(t, "tokens"))
				if cache.reserve(now, tokens) {
					reserved = append(reserved, tokens)
				}
			},
			"free": func(t *rapid.T) {
				if len(reserved) > 0 {
					cache.reserved -= reserved[0]
					reserved = reserved[1:]
				}
			},
			"release": func(t *rapid.T) { cache.release(owners[rapid.IntRange(0, 2).Draw(t, "owner")]) },
			"": func(t *rapid.T) {
				now++
				var held int64
				for _, node := range cache.nodes {
					held += node.segment.tokens
					if node.parent != nil {
						require.Same(t, node.parent, cache.nodes[node.parent.segment.id])
					}
					require.Equal(t, node.children == 0, node.leafIndex >= 0)
				}
				require.Equal(t, held, cache.used)
				require.LessOrEqual(t, cache.used+cache.reserved, int64(capacity))
				for _, node := range pinned {
					require.Same(t, node, cache.nodes[node.segment.id])
				}
			},
		})
	})
}

func tokensOf(prompt []segment) int64 {
	var total int64
	for _, piece := range prompt {
		total += piece.tokens
	}
	return total
}

func TestRetainedPrefixesOutliveOthers(t *testing.T) {
	cache := newPrefixCache(100, func(*run, int64) {})
	first, second := &run{}, &run{}
	cache.insert(1, first, []segment{{id: 1, tokens: 40}}, time.Second)
	cache.insert(2, second, []segment{{id: 2, tokens: 40}}, 0)
	require.True(t, cache.reserve(3, 60))
	require.Contains(t, cache.nodes, uint64(1))
	require.NotContains(t, cache.nodes, uint64(2))
	cache.reserved = 0
	cache.insert(4, second, []segment{{id: 2, tokens: 40}}, 0)
	require.True(t, cache.reserve(2*time.Second, 60), "retention has run out")
	require.NotContains(t, cache.nodes, uint64(1))
}

func TestReleaseKeepsWhatOthersShare(t *testing.T) {
	owner, other := &run{}, &run{}
	cache := newPrefixCache(100, func(*run, int64) {})
	cache.insert(1, owner, []segment{{id: 1, tokens: 30}, {id: 2, tokens: 40, owner: owner}}, time.Hour)
	cache.insert(2, other, []segment{{id: 1, tokens: 30}, {id: 3, tokens: 10, owner: other}}, time.Hour)
	cache.release(owner)
	require.Equal(t, int64(40), cache.used)
	cache.release(other)
	require.Zero(t, cache.used, "a prefix that nobody holds is dropped")
}
