package backlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20261202")) }

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOrderIsByPriorityThenDeadline(t *testing.T) {
	waiting := New(8)
	late := waiting.Enqueue(at(0), 1, at(900))
	early := waiting.Enqueue(at(0), 1, at(500))
	urgent := waiting.Enqueue(at(0), 0, at(5000))
	require.True(t, waiting.HasHigherPriority(1))
	require.False(t, waiting.HasHigherPriority(0))
	for _, wanted := range []*Entry{urgent, early, late} {
		require.Same(t, wanted, waiting.First())
		waiting.Admit(at(1), wanted)
	}
	require.Zero(t, waiting.Len())
}

func TestEnqueueRejectsUnreachableDeadline(t *testing.T) {
	waiting := New(8)
	for i := range 20 {
		entry := waiting.Enqueue(at(100*i), 0, at(100*i+1000))
		waiting.Admit(at(100*(i+1)), entry)
	}
	const now = 2000
	require.NotNil(t, waiting.Enqueue(at(now), 0, at(now+400)))
	require.NotNil(t, waiting.Enqueue(at(now), 0, at(now+410)))
	require.Nil(t, waiting.Enqueue(at(now), 1, at(now+150)), "two go before it, and a place comes each 100 ms")
	require.InDelta(t, 300, waiting.ExpectedWait(at(now), 1).Milliseconds(), 20)
	require.InDelta(t, 1200, waiting.ExpectedWait(at(now+1000), 1).Milliseconds(), 20, "none has come for a second")
}

func TestWaitIsBoundedByAdmittedWaits(t *testing.T) {
	waiting := New(8)
	unknown := waiting.Enqueue(at(0), 0, at(60000))
	require.False(t, waiting.ShouldReject(at(399), unknown))
	require.True(t, waiting.ShouldReject(at(401), unknown))
	waiting.Remove(unknown)
	now := 1000
	for range 60 {
		entry := waiting.Enqueue(at(now), 0, at(now+60000))
		now += 150
		waiting.Admit(at(now), entry)
	}
	known := waiting.Enqueue(at(now), 0, at(now+60000))
	require.False(t, waiting.ShouldReject(at(now+140), known))
	require.True(t, waiting.ShouldReject(at(now+250), known))
}

func TestFullBacklogEvictsLowestPriority(t *testing.T) {
	waiting := New(2)
	waiting.Enqueue(at(0), 1, at(900))
	last := waiting.Enqueue(at(0), 1, at(950))
	require.Nil(t, waiting.Enqueue(at(0), 1, at(990)))
	require.NotNil(t, waiting.Enqueue(at(0), 0, at(990)))
	require.True(t, waiting.ShouldReject(at(0), last), "it had to give way")
	require.False(t, waiting.Remove(last))
	require.Equal(t, 2, waiting.Len())
}

// oracleEntry is an entry as the slow oracle keeps it.
type oracleEntry struct {
	entry  *Entry
	rank   int
	latest time.Time
	serial int
}

// TestBacklogAgreesWithReference plays requests that come, get places, leave and give
// way, against a list that is sorted anew each time.
func TestBacklogAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		waiting, now, serial := New(limit), 0, 0
		var oracle []oracleEntry
		sorted := func() {
			slices.SortFunc(oracle, func(a, b oracleEntry) int {
				if a.rank != b.rank {
					return a.rank - b.rank
				}
				if !a.latest.Equal(b.latest) {
					return a.latest.Compare(b.latest)
				}
				return a.serial - b.serial
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				latest := at(now + rapid.IntRange(0, 3000).Draw(t, "time left"))
				entry := waiting.Enqueue(at(now), rank, latest)
				if entry == nil {
					return
				}
				serial++
				oracle = append(oracle, oracleEntry{entry: entry, rank: rank, latest: latest, serial: serial})
				sorted()
				oracle = oracle[:min(limit, len(oracle))]
			},
			"admit": func(t *rapid.T) {
				first := waiting.First()
				if len(oracle) == 0 {
					require.Nil(t, first)
					return
				}
				require.Same(t, oracle[0].entry, first)
				waiting.Admit(at(now), first)
				oracle = oracle[1:]
			},
			"leave": func(t *rapid.T) {
				if len(oracle) == 0 {
					return
				}
				i := rapid.IntRange(0, len(oracle)-1).Draw(t, "which")
				require.True(t, waiting.Remove(oracle[i].entry))
				oracle = slices.Delete(oracle, i, i+1)
			},
			"ask in vain": func(t *rapid.T) {
				if first := waiting.First(); first != nil {
					require.True(t, waiting.Remove(first))
					waiting.Requeue(first)
					waiting.Requeue(first)
					require.Same(t, oracle[0].entry, waiting.First())
				}
			},
			"wait": func(t *rapid.T) { now += rapid.IntRange(1, 200).Draw(t, "ms") },
			"": func(t *rapid.T) {
				require.Equal(t, len(oracle), waiting.Len())
				for i, each := range oracle {
					if each.latest.Before(at(now)) {
						require.True(t, waiting.ShouldReject(at(now), each.entry), fmt.Sprintf("entry %d is past its time", i))
					}
				}
			},
		})
	})
}
