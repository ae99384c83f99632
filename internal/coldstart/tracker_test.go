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

// coldFor is longer than MaxEntryAge, so that tests can distinguish the two.
const coldFor = 8 * time.Second

// testProcess is a tracker with a directory, on a simulated clock.
type testProcess struct {
	now        time.Time
	state      *directory.State
	tracker    *Tracker
	revision   int64
	coldEvents []string
}

func newTestProcess(cold *route.Cold) *testProcess {
	p := &testProcess{now: time.Unix(1000, 0)}
	clock := func() time.Time { return p.now }
	p.tracker = NewTracker(clock, func(reason Reason, workers []string) {
		p.coldEvents = append(p.coldEvents, fmt.Sprintf("%s %v", reason, workers))
	})
	p.state = directory.NewState(clock, func(view *directory.View, _ directory.WorkerUpdate) { p.tracker.Update(view) })
	p.state.ApplyConfiguration(&route.Configuration{Version: 1, Services: map[string]route.Service{
		"model": {Name: "model", Cold: cold}, "tools": {Name: "tools"},
	}})
	return p
}

func workerEntry(id string, coldRemaining time.Duration) directory.Worker {
	return directory.Worker{ID: id, Instance: id, Service: "model", Address: "10.0.0.1:1", Zone: "zone-a", ColdRemaining: coldRemaining}
}

func (p *testProcess) listWorkers(workers ...directory.Worker) {
	p.revision++
	p.state.ReplaceWorkers(workers, p.revision)
}

func (p *testProcess) updateWorker(worker directory.Worker) {
	p.revision++
	p.state.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: worker.ID, Worker: &worker}}}, p.revision)
}

func (p *testProcess) removeWorker(id string) {
	p.revision++
	p.state.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: id}, Deleted: true}}, p.revision)
}

func (p *testProcess) setDrainedZones(zones ...string) {
	p.revision++
	p.state.ReplaceZoneDrains(zones, p.revision)
}

func (p *testProcess) advance(by time.Duration) { p.now = p.now.Add(by) }

func (p *testProcess) reason(worker string) Reason {
	_, reason := p.tracker.ColdStatus(p.state.View(), "model", worker)
	return reason
}

// newWarmProcess returns a process that has known worker a for a long time.
func newWarmProcess() *testProcess {
	p := newTestProcess(&route.Cold{For: coldFor, PerSecond: 23})
	p.listWorkers(workerEntry("a", 0))
	p.advance(time.Minute)
	return p
}

func TestColdReasonsAndDurations(t *testing.T) {
	for name, test := range map[string]struct {
		event    func(p *testProcess)
		worker   string
		reason   Reason
		duration time.Duration
	}{
		"its entry reports cold":            {func(p *testProcess) { p.updateWorker(workerEntry("a", 5*time.Second)) }, "a", Reported, 5 * time.Second},
		"a new worker that reports nothing": {func(p *testProcess) { p.updateWorker(workerEntry("b", 0)) }, "b", WorkerAdded, coldFor},
		"a new worker that reports cold":    {func(p *testProcess) { p.updateWorker(workerEntry("b", 2*time.Second)) }, "b", Reported, 2 * time.Second},
		"its zone's drain has ended":        {func(p *testProcess) { p.setDrainedZones("zone-a"); p.setDrainedZones() }, "a", DrainEnded, coldFor},
		"its entry lapsed":                  {func(p *testProcess) { p.removeWorker("a") }, "a", EntryLapsed, coldFor},
		"its entry lapsed and came back":    {func(p *testProcess) { p.removeWorker("a"); p.updateWorker(workerEntry("a", 0)) }, "a", EntryLapsed, coldFor},
		"it has another address": {func(p *testProcess) {
			moved := workerEntry("a", 0)
			moved.Address = "10.0.0.2:1"
			p.updateWorker(moved)
		}, "a", WorkerAdded, coldFor},
		"a request did not reach it": {func(p *testProcess) { p.tracker.RecordUnreachable("a") }, "a", Unreachable, coldFor},
		"an answer reports cold": {func(p *testProcess) { p.tracker.RecordReport("a", p.now.Add(-time.Millisecond), 3*time.Second) }, "a",
			Reported, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newWarmProcess()
			require.Equal(t, Warm, p.reason("a"))
			test.event(p)
			require.Equal(t, test.reason, p.reason(test.worker))
			require.Len(t, p.coldEvents, 2, "one event for the initial list and one for this change")
			p.advance(test.duration - time.Millisecond)
			require.Equal(t, test.reason, p.reason(test.worker))
			p.advance(time.Millisecond)
			require.Equal(t, Warm, p.reason(test.worker))
		})
	}
}

// TestUnknownWorkersAreColdAfterStart uses workers that report that they are warm. The initial
// list may be outdated; later changes are received within MaxEntryAge.
func TestUnknownWorkersAreColdAfterStart(t *testing.T) {
	p := newTestProcess(&route.Cold{For: coldFor, PerSecond: 23})
	require.Equal(t, Unknown, p.reason("a"))
	p.listWorkers(workerEntry("a", 0), workerEntry("b", 7*time.Second))
	require.Equal(t, InitialList, p.reason("a"))
	require.Equal(t, Reported, p.reason("b"))
	require.Equal(t, Unknown, p.reason("c"), "a worker that is in no list")
	p.advance(MaxEntryAge)
	require.Equal(t, Warm, p.reason("a"), "warm workers must not stay limited")
	require.Equal(t, Reported, p.reason("b"))
}

func TestLaterEntryEndsAssumedCold(t *testing.T) {
	p := newWarmProcess()
	p.updateWorker(workerEntry("a", time.Hour))
	p.updateWorker(workerEntry("a", 0))
	require.Equal(t, Warm, p.reason("a"), "the worker's later entry")
	p.setDrainedZones("zone-a")
	p.setDrainedZones()
	p.advance(MaxEntryAge - time.Millisecond)
	p.updateWorker(workerEntry("a", 0))
	require.Equal(t, DrainEnded, p.reason("a"), "the entry may have been written before the drain ended")
	p.advance(time.Millisecond)
	p.updateWorker(workerEntry("a", 0))
	require.Equal(t, Warm, p.reason("a"))
}

func TestReportEndsEarlierAssumptions(t *testing.T) {
	p := newWarmProcess()
	p.tracker.RecordUnreachable("a")
	p.tracker.RecordReport("a", p.now, 0)
	require.Equal(t, Unreachable, p.reason("a"), "the request was not sent after the failure")
	sentAt := p.now.Add(time.Millisecond)
	p.advance(time.Second)
	p.tracker.RecordReport("a", sentAt, 0)
	require.Equal(t, Warm, p.reason("a"))
	p.updateWorker(workerEntry("a", 4*time.Second))
	p.tracker.RecordReport("a", sentAt, 0)
	require.Equal(t, Reported, p.reason("a"), "an entry received after the request was sent must not be overridden")
}

func TestServicesWithoutColdLimitAreNeverCold(t *testing.T) {
	p := newTestProcess(nil)
	require.Equal(t, Warm, p.reason("a"))
	p.listWorkers(workerEntry("a", time.Hour))
	require.Equal(t, Warm, p.reason("a"))
	require.False(t, p.tracker.MayBeCold(p.state.View(), "model"))
	require.Zero(t, p.tracker.ColdCount())
	coldProcess := newTestProcess(&route.Cold{For: coldFor, PerSecond: 23})
	coldProcess.listWorkers(directory.Worker{ID: "t", Instance: "t", Service: "tools", ColdRemaining: time.Hour})
	_, reason := coldProcess.tracker.ColdStatus(coldProcess.state.View(), "tools", "t")
	require.Equal(t, Warm, reason)
}

// TestWorkersOfUnprocessedViewAreUnknown covers the time between the publication of a view and
// its processing by the tracker.
func TestWorkersOfUnprocessedViewAreUnknown(t *testing.T) {
	p := newWarmProcess()
	next := *p.state.View()
	_, reason := p.tracker.ColdStatus(&next, "model", "a")
	require.Equal(t, Unknown, reason)
	require.True(t, p.tracker.MayBeCold(&next, "model"))
	_, reason = p.tracker.ColdStatus(&next, "tools", "t")
	require.Equal(t, Warm, reason)
	require.False(t, p.tracker.MayBeCold(&next, "tools"))
}

func TestServiceThatGainsColdLimitStartsWithInitialList(t *testing.T) {
	p := newTestProcess(nil)
	p.listWorkers(workerEntry("a", 0))
	p.advance(time.Hour)
	p.state.ApplyConfiguration(&route.Configuration{Version: 2, Services: map[string]route.Service{
		"model": {Name: "model", Cold: &route.Cold{For: coldFor, PerSecond: 2}},
	}})
	require.Equal(t, InitialList, p.reason("a"))
	require.Equal(t, 1, p.tracker.ColdCount())
}

// eventHistory contains all events that a process has received about one worker. The reference
// implementation uses nothing else.
type eventHistory struct {
	entries     []receivedEntry
	assumptions []coldAssumption
}

type receivedEntry struct {
	receivedAt    time.Time
	coldRemaining time.Duration
}

type coldAssumption struct {
	assumedAt time.Time
	duration  time.Duration
}

// isCold is a slow but simple reference implementation.
func (h *eventHistory) isCold(now time.Time) bool {
	if len(h.entries) == 0 {
		return true
	}
	latest := h.entries[len(h.entries)-1]
	return now.Before(latest.receivedAt.Add(latest.coldRemaining)) || slices.ContainsFunc(h.assumptions, func(assumption coldAssumption) bool {
		ended := slices.ContainsFunc(h.entries, func(entry receivedEntry) bool { return !entry.receivedAt.Before(assumption.assumedAt.Add(MaxEntryAge)) })
		return !ended && now.Before(assumption.assumedAt.Add(assumption.duration))
	})
}

func TestTrackerMatchesEventHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestProcess(&route.Cold{For: coldFor, PerSecond: 23})
		history := &eventHistory{}
		recordEntry := func(coldRemaining time.Duration) {
			history.entries = append(history.entries, receivedEntry{receivedAt: p.now, coldRemaining: coldRemaining})
		}
		recordAssumption := func(duration time.Duration) {
			history.assumptions = append(history.assumptions, coldAssumption{assumedAt: p.now, duration: duration})
		}
		coldRemaining := rapid.SampledFrom([]time.Duration{0, 0, time.Second, 5 * time.Second, 9 * time.Second})
		first := coldRemaining.Draw(t, "first")
		p.listWorkers(workerEntry("a", first))
		recordEntry(first)
		recordAssumption(MaxEntryAge)
		drained := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				next := coldRemaining.Draw(t, "left")
				p.updateWorker(workerEntry("a", next))
				recordEntry(next)
			case 1:
				if drained {
					p.setDrainedZones()
					recordAssumption(coldFor)
				} else {
					p.setDrainedZones("zone-a", "zone-b")
				}
				drained = !drained
			case 2:
				p.tracker.RecordUnreachable("a")
				recordAssumption(coldFor)
			case 3:
				p.removeWorker("a")
				recordAssumption(coldFor)
				next := coldRemaining.Draw(t, "back")
				p.updateWorker(workerEntry("a", next))
				recordEntry(next)
				recordAssumption(coldFor)
			default:
				p.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			}
			require.Equal(t, history.isCold(p.now), p.reason("a") != Warm)
		}
	})
}

// TestReportedColdWorkerCountsAsCold uses a worker that is cold for the times written into its
// entries, which arrive late but in order.
func TestReportedColdWorkerCountsAsCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newWarmProcess()
		type entryInTransit struct {
			arrivesAt, coldUntil time.Time
			coldRemaining        time.Duration
		}
		var inFlight []entryInTransit
		var coldUntilReceived time.Time
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				coldRemaining := time.Duration(rapid.IntRange(0, 6000).Draw(t, "left")) * time.Millisecond
				arrivesAt := p.now.Add(time.Duration(rapid.IntRange(0, int(MaxEntryAge.Milliseconds())).Draw(t, "way")) * time.Millisecond)
				if last := len(inFlight) - 1; last >= 0 && arrivesAt.Before(inFlight[last].arrivesAt) {
					arrivesAt = inFlight[last].arrivesAt
				}
				inFlight = append(inFlight, entryInTransit{arrivesAt: arrivesAt, coldUntil: p.now.Add(coldRemaining), coldRemaining: coldRemaining})
			}
			p.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
			for len(inFlight) > 0 && !p.now.Before(inFlight[0].arrivesAt) {
				p.updateWorker(workerEntry("a", inFlight[0].coldRemaining))
				coldUntilReceived = inFlight[0].coldUntil
				inFlight = inFlight[1:]
			}
			if p.now.Before(coldUntilReceived) {
				require.NotEqual(t, Warm, p.reason("a"))
			}
		}
	})
}

// BenchmarkUpdate processes a view of 11,000 workers.
func BenchmarkUpdate(b *testing.B) {
	p := newTestProcess(&route.Cold{For: coldFor, PerSecond: 23})
	var workers []directory.Worker
	for i := range 11000 {
		workers = append(workers, workerEntry(fmt.Sprint("worker-", i), 0))
	}
	p.listWorkers(workers...)
	p.advance(time.Minute)
	view := p.state.View()
	b.ReportAllocs()
	for b.Loop() {
		next := *view
		p.tracker.Update(&next)
	}
}
