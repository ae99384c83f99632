package route

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatchLongestPrefix(t *testing.T) {
	table := NewTable(&Configuration{Version: 3, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	require.Equal(t, "long", table.Match("a.example", "/x/y/z/1").Name)
	require.Equal(t, "short", table.Match("A.example:8080", "/x/yy").Name)
	require.Nil(t, table.Match("a.example", "/x"))
	require.Nil(t, table.Match("c.example", "/x/"))
	require.Equal(t, uint64(3), table.Version())
}

// TestMatchAgreesWithLinearSearch compares the table with a search through all routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		prefix := rapid.Map(rapid.SliceOfN(segment, 0, 3), func(parts []string) string {
			return strings.TrimSuffix("/"+strings.Join(parts, "/"), "/") + "/"
		})
		host := rapid.SampledFrom([]string{"one", "two"})
		configuration := &Configuration{}
		seen := map[string]bool{}
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			declared := Route{Host: host.Draw(t, "host"), Prefix: prefix.Draw(t, "prefix")}
			if key := declared.Host + declared.Prefix; !seen[key] {
				seen[key] = true
				configuration.Routes = append(configuration.Routes, declared)
			}
		}
		wantedHost, path := host.Draw(t, "request host"), prefix.Draw(t, "path")
		var want *Route
		for i, declared := range configuration.Routes {
			matches := declared.Host == wantedHost && strings.HasPrefix(path, declared.Prefix)
			if matches && (want == nil || len(declared.Prefix) > len(want.Prefix)) {
				want = &configuration.Routes[i]
			}
		}
		require.Equal(t, want, NewTable(configuration).Match(wantedHost, path))
	})
}

// TestSplitterKeepsShares checks the shares after each request for random weights.
func TestSplitterKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights")
		declared := &Route{Name: "r"}
		total := 0
		for i, weight := range weights {
			declared.Parts = append(declared.Parts, Part{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		if total == 0 || len(weights) == 1 {
			return
		}
		splitter, counts := NewSplitter(), map[string]int{}
		for n := 1; n <= 300; n++ {
			counts[splitter.Next(declared)]++
			for i, weight := range weights {
				share := float64(n) * float64(weight) / float64(total)
				require.InDelta(t, share, counts[string(rune('a'+i))], float64(len(weights)))
			}
		}
	})
}

func TestPartWithoutWeightIsNotChosen(t *testing.T) {
	splitter := NewSplitter()
	declared := &Route{Name: "r", Parts: []Part{{Service: "a"}, {Service: "b"}}}
	require.Empty(t, splitter.Next(declared))
}
