package coldstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// coldFor is longer than MaxEntryAge, so that both show.
const coldFor = 8 * time.Second

// heardOf is a tracker behind a directory, on a simulated clock.
type heardOf struct {
	now      time.Time
	state    *directory.State
	tracker  *Tracker
	revision int64
	begun    []string
}

func newHeardOf(cold *route.Cold) *heardOf {
	h := &heardOf{now: time.Unix(1000, 0)}
	clock := func() time.Time { return h.now }
	h.tracker = NewTracker(clock, func(reason Reason, workers []string) {
		h.begun = append(h.begun, fmt.Sprintf("%s %v", reason, workers))
	})
	h.state = directory.NewState(clock, func(view *directory.View, _ directory.WorkerUpdate) { h.tracker.Update(view) })
	h.state.ApplyConfiguration(&route.Configuration{Version: 1, Services: map[string]route.Service{
		"model": {Name: "model", Cold: cold}, "tools": {Name: "tools"},
	}})
	return h
}

func entry(id string, left time.Duration) directory.Worker {
	return directory.Worker{ID: id, Instance: id, Service: "model", Address: "10.0.0.1:1", Zone: "zone-a", ColdRemaining: left}
}

func (h *heardOf) list(workers ...directory.Worker) {
	h.revision++
	h.state.ReplaceWorkers(workers, h.revision)
}

func (h *heardOf) hear(worker directory.Worker) {
	h.revision++
	h.state.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: worker.ID, Worker: &worker}}}, h.revision)
}

func (h *heardOf) loses(id string) {
	h.revision++
	h.state.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: id}, Deleted: true}}, h.revision)
}

func (h *heardOf) drain(zones ...string) {
	h.revision++
	h.state.ReplaceZoneDrains(zones, h.revision)
}

func (h *heardOf) pass(by time.Duration) { h.now = h.now.Add(by) }

func (h *heardOf) reason(worker string) Reason {
	_, reason := h.tracker.ColdStatus(h.state.View(), "model", worker)
	return reason
}

// warm returns a process that has known worker a for long.
func warm() *heardOf {
	h := newHeardOf(&route.Cold{For: coldFor, PerSecond: 23})
	h.list(entry("a", 0))
	h.pass(time.Minute)
	return h
}

func TestColdReasonsAndDurations(t *testing.T) {
	for name, each := range map[string]struct {
		hears  func(h *heardOf)
		worker string
		reason Reason
		last   time.Duration
	}{
		"its entry says so":              {func(h *heardOf) { h.hear(entry("a", 5*time.Second)) }, "a", Reported, 5 * time.Second},
		"a new worker that says nothing": {func(h *heardOf) { h.hear(entry("b", 0)) }, "b", WorkerAdded, coldFor},
		"a new worker that says so":      {func(h *heardOf) { h.hear(entry("b", 2*time.Second)) }, "b", Reported, 2 * time.Second},
		"its zone's drain has ended":     {func(h *heardOf) { h.drain("zone-a"); h.drain() }, "a", DrainEnded, coldFor},
		"its entry went":                 {func(h *heardOf) { h.loses("a") }, "a", EntryLapsed, coldFor},
		"its entry went and came back":   {func(h *heardOf) { h.loses("a"); h.hear(entry("a", 0)) }, "a", EntryLapsed, coldFor},
		"it has another address": {func(h *heardOf) {
			moved := entry("a", 0)
			moved.Address = "10.0.0.2:1"
			h.hear(moved)
		}, "a", WorkerAdded, coldFor},
		"a request did not reach it": {func(h *heardOf) { h.tracker.RecordUnreachable("a") }, "a", Unreachable, coldFor},
		"an answer says so": {func(h *heardOf) { h.tracker.RecordReport("a", h.now.Add(-time.Millisecond), 3*time.Second) }, "a",
			Reported, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := warm()
			require.Equal(t, Warm, h.reason("a"))
			each.hears(h)
			require.Equal(t, each.reason, h.reason(each.worker))
			require.Len(t, h.begun, 2, "the first list, and this")
			h.pass(each.last - time.Millisecond)
			require.Equal(t, each.reason, h.reason(each.worker))
			h.pass(time.Millisecond)
			require.Equal(t, Warm, h.reason(each.worker))
		})
	}
}

// TestUnknownWorkersAreColdAfterStart follows a fleet that says of itself
// that it is warm. The first list may be old; what has changed since is heard within MaxEntryAge.
func TestUnknownWorkersAreColdAfterStart(t *testing.T) {
	h := newHeardOf(&route.Cold{For: coldFor, PerSecond: 23})
	require.Equal(t, Unknown, h.reason("a"))
	h.list(entry("a", 0), entry("b", 7*time.Second))
	require.Equal(t, InitialList, h.reason("a"))
	require.Equal(t, Reported, h.reason("b"))
	require.Equal(t, Unknown, h.reason("c"), "a worker that stands in no list")
	h.pass(MaxEntryAge)
	require.Equal(t, Warm, h.reason("a"), "a fleet that is warm does not crawl on")
	require.Equal(t, Reported, h.reason("b"))
}

func TestLaterEntryEndsAssumedCold(t *testing.T) {
	h := warm()
	h.hear(entry("a", time.Hour))
	h.hear(entry("a", 0))
	require.Equal(t, Warm, h.reason("a"), "the worker's own later word")
	h.drain("zone-a")
	h.drain()
	h.pass(MaxEntryAge - time.Millisecond)
	h.hear(entry("a", 0))
	require.Equal(t, DrainEnded, h.reason("a"), "it may have been written before the drain ended")
	h.pass(time.Millisecond)
	h.hear(entry("a", 0))
	require.Equal(t, Warm, h.reason("a"))
}

func TestReportEndsEarlierAssumptions(t *testing.T) {
	h := warm()
	h.tracker.RecordUnreachable("a")
	h.tracker.RecordReport("a", h.now, 0)
	require.Equal(t, Unreachable, h.reason("a"), "the request was sent no later")
	sent := h.now.Add(time.Millisecond)
	h.pass(time.Second)
	h.tracker.RecordReport("a", sent, 0)
	require.Equal(t, Warm, h.reason("a"))
	h.hear(entry("a", 4*time.Second))
	h.tracker.RecordReport("a", sent, 0)
	require.Equal(t, Reported, h.reason("a"), "an entry that came after the request was sent stands")
}

func TestServicesWithoutColdLimitAreNeverCold(t *testing.T) {
	h := newHeardOf(nil)
	require.Equal(t, Warm, h.reason("a"))
	h.list(entry("a", time.Hour))
	require.Equal(t, Warm, h.reason("a"))
	require.False(t, h.tracker.MayBeCold(h.state.View(), "model"))
	require.Zero(t, h.tracker.ColdCount())
	cold := newHeardOf(&route.Cold{For: coldFor, PerSecond: 23})
	cold.list(directory.Worker{ID: "t", Instance: "t", Service: "tools", ColdRemaining: time.Hour})
	_, reason := cold.tracker.ColdStatus(cold.state.View(), "tools", "t")
	require.Equal(t, Warm, reason)
}

// TestWorkersOfUnprocessedViewAreUnknown holds for the moment between a view and its taking.
func TestWorkersOfUnprocessedViewAreUnknown(t *testing.T) {
	h := warm()
	next := *h.state.View()
	_, reason := h.tracker.ColdStatus(&next, "model", "a")
	require.Equal(t, Unknown, reason)
	require.True(t, h.tracker.MayBeCold(&next, "model"))
	_, reason = h.tracker.ColdStatus(&next, "tools", "t")
	require.Equal(t, Warm, reason)
	require.False(t, h.tracker.MayBeCold(&next, "tools"))
}

func TestServiceThatGainsColdLimitStartsWithInitialList(t *testing.T) {
	h := newHeardOf(nil)
	h.list(entry("a", 0))
	h.pass(time.Hour)
	h.state.ApplyConfiguration(&route.Configuration{Version: 2, Services: map[string]route.Service{
		"model": {Name: "model", Cold: &route.Cold{For: coldFor, PerSecond: 2}},
	}})
	require.Equal(t, InitialList, h.reason("a"))
	require.Equal(t, 1, h.tracker.ColdCount())
}

// history is everything that a process heard of one worker: the oracle's whole knowledge.
type history struct {
	entries []heardEntry
	doubts  []heardDoubt
}

type heardEntry struct {
	at   time.Time
	left time.Duration
}

type heardDoubt struct {
	at   time.Time
	last time.Duration
}

// cold is the slow and plain oracle.
func (h *history) cold(now time.Time) bool {
	if len(h.entries) == 0 {
		return true
	}
	last := h.entries[len(h.entries)-1]
	return now.Before(last.at.Add(last.left)) || slices.ContainsFunc(h.doubts, func(doubt heardDoubt) bool {
		ended := slices.ContainsFunc(h.entries, func(entry heardEntry) bool { return !entry.at.Before(doubt.at.Add(MaxEntryAge)) })
		return !ended && now.Before(doubt.at.Add(doubt.last))
	})
}

func TestTrackerMatchesEventHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHeardOf(&route.Cold{For: coldFor, PerSecond: 23})
		known := &history{}
		heardOfIt := func(left time.Duration) { known.entries = append(known.entries, heardEntry{at: h.now, left: left}) }
		doubt := func(last time.Duration) { known.doubts = append(known.doubts, heardDoubt{at: h.now, last: last}) }
		left := rapid.SampledFrom([]time.Duration{0, 0, time.Second, 5 * time.Second, 9 * time.Second})
		first := left.Draw(t, "first")
		h.list(entry("a", first))
		heardOfIt(first)
		doubt(MaxEntryAge)
		drained := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				next := left.Draw(t, "left")
				h.hear(entry("a", next))
				heardOfIt(next)
			case 1:
				if drained {
					h.drain()
					doubt(coldFor)
				} else {
					h.drain("zone-a", "zone-b")
				}
				drained = !drained
			case 2:
				h.tracker.RecordUnreachable("a")
				doubt(coldFor)
			case 3:
				h.loses("a")
				doubt(coldFor)
				next := left.Draw(t, "back")
				h.hear(entry("a", next))
				heardOfIt(next)
				doubt(coldFor)
			default:
				h.pass(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			}
			require.Equal(t, known.cold(h.now), h.reason("a") != Warm)
		}
	})
}

// TestReportedColdWorkerCountsAsCold plays workers that are truly cold for
// times which they write down, and entries that come late, in order.
func TestReportedColdWorkerCountsAsCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := warm()
		type written struct {
			arrives, coldUntil time.Time
			left               time.Duration
		}
		var inFlight []written
		var heardUntil time.Time
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				left := time.Duration(rapid.IntRange(0, 6000).Draw(t, "left")) * time.Millisecond
				arrives := h.now.Add(time.Duration(rapid.IntRange(0, int(MaxEntryAge.Milliseconds())).Draw(t, "way")) * time.Millisecond)
				if last := len(inFlight) - 1; last >= 0 && arrives.Before(inFlight[last].arrives) {
					arrives = inFlight[last].arrives
				}
				inFlight = append(inFlight, written{arrives: arrives, coldUntil: h.now.Add(left), left: left})
			}
			h.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			for len(inFlight) > 0 && !h.now.Before(inFlight[0].arrives) {
				h.hear(entry("a", inFlight[0].left))
				heardUntil = inFlight[0].coldUntil
				inFlight = inFlight[1:]
			}
			if h.now.Before(heardUntil) {
				require.NotEqual(t, Warm, h.reason("a"))
			}
		}
	})
}

// BenchmarkUpdate takes a view of 11,000 workers.
func BenchmarkUpdate(b *testing.B) {
	h := newHeardOf(&route.Cold{For: coldFor, PerSecond: 23})
	var workers []directory.Worker
	for i := range 11000 {
		workers = append(workers, entry(fmt.Sprint("worker-", i), 0))
	}
	h.list(workers...)
	h.pass(time.Minute)
	view := h.state.View()
	b.ReportAllocs()
	for b.Loop() {
		next := *view
		h.tracker.Update(&next)
	}
}
