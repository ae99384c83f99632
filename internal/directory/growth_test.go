package directory

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet returns so many workers of two services in six zones.
func fleet(workers int) []Worker {
	listed := make([]Worker, workers)
	for i := range listed {
		instance := fmt.Sprintf("i-%010x", i)
		listed[i] = Worker{
			ID: IncarnationID(instance, 1700000000000), Instance: instance, StartedMs: 1700000000000, Service: []string{"model", "model", "tools"}[i%3],
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%d", i%6), Slots: 6,
		}
	}
	return listed
}

// changing returns a state with so many workers, and a step that changes one of them.
func changing(workers int) (state *State, change func()) {
	listed := fleet(workers)
	state = NewState(time.Now, LogChanges())
	state.ReplaceWorkers(listed, 1)
	revision, next := int64(1), 0
	return state, func() {
		revision, next = revision+1, next+1
		changed := listed[next*7%workers]
		changed.Slots += next
		state.ApplyWorkerChanges([]Change{entryOf(changed)}, revision)
	}
}

// bytesOf returns what one call allocates in the mean of many.
func bytesOf(call func()) uint64 {
	const calls = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / calls
}

// BenchmarkChange is one change of one worker. Among 100, 1,000 and 10,000 workers it took
// 0.089, 0.73 and 8.4 ms and 38 KB, 0.58 and 6.6 MB of garbage when each view was made anew.
func BenchmarkChange(b *testing.B) {
	for _, workers := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			_, change := changing(workers)
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
		})
	}
}

// BenchmarkSubset is the list that requests choose from, after a change.
func BenchmarkSubset(b *testing.B) {
	for _, workers := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			state, change := changing(workers)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				change()
				b.StartTimer()
				state.View().Workers.Subset("model", 32)
			}
		})
	}
}

// TestWorkerChangeCostIsIndependentOfFleetSize compares what one change allocates among n and 4n workers, and
// holds the bound of 20 KB among 10,000.
func TestWorkerChangeCostIsIndependentOfFleetSize(t *testing.T) {
	measure := func(workers int) float64 {
		_, change := changing(workers)
		change()
		return testing.AllocsPerRun(200, change)
	}
	few, many := measure(2500), measure(10_000)
	require.LessOrEqual(t, many, 1.3*few, "allocations")
	_, change := changing(10_000)
	require.LessOrEqual(t, bytesOf(change), uint64(20<<10))
}

// TestUnchangedListAllocatesNoWorkers is about lists that come anew when a history was lost.
func TestUnchangedListAllocatesNoWorkers(t *testing.T) {
	state := NewState(time.Now, nil)
	listed := fleet(10_000)
	state.ReplaceWorkers(listed, 1)
	before, revision := state.View().Workers, int64(1)
	perList := testing.AllocsPerRun(5, func() {
		revision++
		state.ReplaceWorkers(listed, revision)
	})
	require.Same(t, before, state.View().Workers)
	require.Less(t, perList, 50.0)
}

func TestEncodedWorkerListsAreCached(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers(fleet(100), 1)
	require.Same(t, state.WorkerList(), state.WorkerChanges(0))
	changed := fleet(1)[0]
	changed.Slots++
	state.ApplyWorkerChanges([]Change{entryOf(changed)}, 2)
	require.Same(t, state.WorkerChanges(1), state.WorkerChanges(1))
	require.Len(t, state.WorkerChanges(1).Workers, 1)
	require.Len(t, state.WorkerList().Workers, 100)
}

func TestManyLapsedWorkersShareOneTimer(t *testing.T) {
	state := NewState(time.Now, nil)
	timers := 0
	state.after = func(time.Duration, func()) { timers++ }
	listed := fleet(5000)
	state.ReplaceWorkers(listed, 1)
	state.ReplaceWorkers(nil, 2)
	require.Equal(t, 1, timers)
	require.Len(t, state.lapsed, 5000)
	state.ReplaceWorkers(listed, 3)
	require.Empty(t, state.lapsed)
	require.Equal(t, 5000, state.View().Workers.Count("model")+state.View().Workers.Count("tools"))
}

// model is a state written for clearness: whole maps, made anew for each view.
type model struct {
	now     time.Time
	workers map[string]Worker
	lapsed  map[string]lapsedWorkerOfModel
}

type lapsedWorkerOfModel struct {
	worker Worker
	until  time.Time
}

func (m *model) put(worker Worker) {
	m.workers[worker.Instance] = worker
	delete(m.lapsed, worker.Instance)
}

func (m *model) gone(instance string) {
	if known, found := m.workers[instance]; found {
		delete(m.workers, instance)
		if !known.Draining {
			m.lapsed[instance] = lapsedWorkerOfModel{worker: known, until: m.now.Add(lapseGrace)}
		}
	}
}

func (m *model) expire() {
	maps.DeleteFunc(m.lapsed, func(_ string, lapsed lapsedWorkerOfModel) bool { return !m.now.Before(lapsed.until) })
}

// view returns the workers that may take work, and whether they have lapsed.
func (m *model) view() map[Worker]bool {
	listed := make(map[Worker]bool)
	for _, worker := range m.workers {
		if !worker.Draining {
			listed[worker] = false
		}
	}
	for _, lapsed := range m.lapsed {
		listed[lapsed.worker] = true
	}
	return listed
}

func viewOf(workers *Workers) map[Worker]bool {
	listed := make(map[Worker]bool)
	if workers == nil {
		return listed
	}
	for service := range workers.services {
		for each := range workers.InService(service) {
			listed[each.Worker] = each.Lapsed
		}
	}
	return listed
}

// TestWorkersAgreeWithReferenceState plays lists and changes, holds that each view and what is told
// of its change agree with whole maps, and that views which readers hold do not change.
func TestWorkersAgreeWithReferenceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := &model{now: time.Unix(1000, 0), workers: make(map[string]Worker), lapsed: make(map[string]lapsedWorkerOfModel)}
		var updates []WorkerUpdate
		state := NewState(func() time.Time { return plain.now }, func(_ *View, update WorkerUpdate) { updates = append(updates, update) })
		state.after = func(time.Duration, func()) {}
		draw := func() Worker {
			instance := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "instance")
			return Worker{
				ID: instance, Instance: instance, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Draining: rapid.IntRange(0, 3).Draw(t, "drains") == 0,
				Slots: rapid.IntRange(1, 2).Draw(t, "slots"),
			}
		}
		type held struct {
			workers *Workers
			was     map[Worker]bool
		}
		var readers []held
		known := make(map[string]bool)
		for revision := range rapid.IntRange(1, 30).Draw(t, "steps") {
			updates = updates[:0]
			plain.now = plain.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				list := map[string]Worker{}
				for range rapid.IntRange(0, 5).Draw(t, "listed") {
					worker := draw()
					list[worker.Instance] = worker
				}
				for instance := range plain.workers {
					if _, found := list[instance]; !found {
						plain.gone(instance)
					}
				}
				for _, worker := range list {
					plain.put(worker)
				}
				state.ReplaceWorkers(slices.Collect(maps.Values(list)), int64(revision+1))
			case 1:
				worker := draw()
				plain.put(worker)
				state.ApplyWorkerChanges([]Change{entryOf(worker)}, int64(revision+1))
			case 2:
				instance := draw().Instance
				plain.gone(instance)
				state.ApplyWorkerChanges([]Change{{Object: Object{Name: instance}, Deleted: true}}, int64(revision+1))
			case 3:
				plain.expire()
				state.expire()
			}
			want := plain.view()
			workers := state.View().Workers
			require.Equal(t, want, viewOf(workers))
			after := make(map[string]bool)
			for worker, lapsed := range want {
				after[worker.ID] = lapsed
				found, is := workers.Find(worker.ID)
				require.True(t, is)
				require.Equal(t, worker, found.Worker)
			}
			for _, update := range updates {
				for _, id := range update.Removed {
					delete(known, id)
				}
				for _, id := range update.Added {
					known[id] = false
				}
				for _, id := range update.Lapsed {
					known[id] = true
				}
			}
			require.Equal(t, after, known, "what is told of changes adds up to the view")
			for _, each := range readers {
				require.Equal(t, each.was, viewOf(each.workers), "what a reader holds")
			}
			readers = append(readers, held{workers: workers, was: want})
		}
	})
}

func TestSubsetCoversAllZonesAndIsStable(t *testing.T) {
	state := NewState(time.Now, nil)
	listed := fleet(3000)
	state.ReplaceWorkers(listed, 1)
	subset := func() map[string]bool {
		members := make(map[string]bool)
		for _, each := range state.View().Workers.Subset("model", 20) {
			members[each.ID] = true
		}
		return members
	}
	before := subset()
	zones := make(map[string]int)
	for _, each := range state.View().Workers.Subset("model", 20) {
		zones[each.Zone]++
	}
	// Workers of this service are listed in four zones of six.
	for _, count := range zones {
		require.Equal(t, 20, count)
	}
	gone := state.View().Workers.Subset("model", 20)[0]
	drained := gone.Worker
	drained.Draining = true
	state.ApplyWorkerChanges([]Change{entryOf(drained)}, 2)
	after := subset()
	require.NotContains(t, after, gone.ID)
	changed := 0
	for id := range after {
		if !before[id] {
			changed++
		}
	}
	require.Equal(t, 1, changed, "the next one takes its place")
	require.Len(t, state.View().Workers.Subset("model", 5000), state.View().Workers.Count("model"), "all, where there are few")
}

// TestSnapshotsAreConsistentDuringConcurrentChanges is for the race detector: views share their nodes.
func TestSnapshotsAreConsistentDuringConcurrentChanges(t *testing.T) {
	state, change := changing(500)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				workers := state.View().Workers
				count := 0
				for each := range workers.InService("model") {
					found, _ := workers.Find(each.ID)
					if found != each {
						t.Errorf("%s differs", each.ID)
						return
					}
					count++
				}
				if count != workers.Count("model") {
					t.Errorf("%d of %d", count, workers.Count("model"))
					return
				}
				workers.Subset("model", 10)
			}
		})
	}
	for range 2000 {
		change()
	}
	close(done)
	readers.Wait()
}
