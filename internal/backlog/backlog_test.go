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
	backlog := New(8)
	late := backlog.Enqueue(at(0), 1, at(900))
	early := backlog.Enqueue(at(0), 1, at(500))
	urgent := backlog.Enqueue(at(0), 0, at(5000))
	require.True(t, backlog.HasHigherPriority(1))
	require.False(t, backlog.HasHigherPriority(0))
	for _, wanted := range []*Entry{urgent, early, late} {
		require.Same(t, wanted, backlog.First())
		backlog.Admit(at(1), wanted)
	}
	require.Zero(t, backlog.Len())
}

func TestEnqueueRejectsUnreachableDeadline(t *testing.T) {
	backlog := New(8)
	for i := range 20 {
		entry := backlog.Enqueue(at(100*i), 0, at(100*i+1000))
		backlog.Admit(at(100*(i+1)), entry)
	}
	const now = 2000
	require.NotNil(t, backlog.Enqueue(at(now), 0, at(now+400)))
	require.NotNil(t, backlog.Enqueue(at(now), 0, at(now+410)))
	require.Nil(t, backlog.Enqueue(at(now), 1, at(now+150)), "two requests precede it, and a slot becomes available every 100 ms")
	require.InDelta(t, 300, backlog.ExpectedWait(at(now), 1).Milliseconds(), 20)
	require.InDelta(t, 1200, backlog.ExpectedWait(at(now+1000), 1).Milliseconds(), 20, "no slot has become available for a second")
}

func TestWaitIsBoundedByAdmittedWaits(t *testing.T) {
	backlog := New(8)
	first := backlog.Enqueue(at(0), 0, at(60000))
	require.False(t, backlog.ShouldReject(at(399), first))
	require.True(t, backlog.ShouldReject(at(401), first))
	backlog.Remove(first)
	now := 1000
	for range 60 {
		entry := backlog.Enqueue(at(now), 0, at(now+60000))
		now += 150
		backlog.Admit(at(now), entry)
	}
	second := backlog.Enqueue(at(now), 0, at(now+60000))
	require.False(t, backlog.ShouldReject(at(now+140), second))
	require.True(t, backlog.ShouldReject(at(now+250), second))
}

func TestFullBacklogEvictsLowestPriority(t *testing.T) {
	backlog := New(2)
	backlog.Enqueue(at(0), 1, at(900))
	last := backlog.Enqueue(at(0), 1, at(950))
	require.Nil(t, backlog.Enqueue(at(0), 1, at(990)))
	require.NotNil(t, backlog.Enqueue(at(0), 0, at(990)))
	require.True(t, backlog.ShouldReject(at(0), last), "the entry was dropped")
	require.False(t, backlog.Remove(last))
	require.Equal(t, 2, backlog.Len())
}

// referenceEntry is an entry of the reference implementation.
type referenceEntry struct {
	entry        *Entry
	priorityRank int
	deadline     time.Time
	sequence     int
}

// TestBacklogAgreesWithReference compares random operations with a list that is sorted after each
// insertion.
func TestBacklogAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		backlog, now, sequence := New(limit), 0, 0
		var reference []referenceEntry
		sortReference := func() {
			slices.SortFunc(reference, func(a, b referenceEntry) int {
				if a.priorityRank != b.priorityRank {
					return a.priorityRank - b.priorityRank
				}
				if !a.deadline.Equal(b.deadline) {
					return a.deadline.Compare(b.deadline)
				}
				return a.sequence - b.sequence
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				priorityRank := rapid.IntRange(0, 2).Draw(t, "rank")
				deadline := at(now + rapid.IntRange(0, 3000).Draw(t, "remaining time"))
				entry := backlog.Enqueue(at(now), priorityRank, deadline)
				if entry == nil {
					return
				}
				sequence++
				reference = append(reference, referenceEntry{entry: entry, priorityRank: priorityRank, deadline: deadline, sequence: sequence})
				sortReference()
				reference = reference[:min(limit, len(reference))]
			},
			"admit": func(t *rapid.T) {
				first := backlog.First()
				if len(reference) == 0 {
					require.Nil(t, first)
					return
				}
				require.Same(t, reference[0].entry, first)
				backlog.Admit(at(now), first)
				reference = reference[1:]
			},
			"leave": func(t *rapid.T) {
				if len(reference) == 0 {
					return
				}
				i := rapid.IntRange(0, len(reference)-1).Draw(t, "which")
				require.True(t, backlog.Remove(reference[i].entry))
				reference = slices.Delete(reference, i, i+1)
			},
			"fail to get a slot": func(t *rapid.T) {
				if first := backlog.First(); first != nil {
					require.True(t, backlog.Remove(first))
					backlog.Requeue(first)
					backlog.Requeue(first)
					require.Same(t, reference[0].entry, backlog.First())
				}
			},
			"wait": func(t *rapid.T) { now += rapid.IntRange(1, 200).Draw(t, "ms") },
			"": func(t *rapid.T) {
				require.Equal(t, len(reference), backlog.Len())
				for i, each := range reference {
					if each.deadline.Before(at(now)) {
						require.True(t, backlog.ShouldReject(at(now), each.entry), fmt.Sprintf("entry %d is past its deadline", i))
					}
				}
			},
		})
	})
}
