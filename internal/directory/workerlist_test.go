package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newWorker(id string) Worker {
	return Worker{ID: id, Instance: id, Service: "s", Address: id + ":1"}
}

// availableIDs returns the IDs of the available workers that have not lapsed.
func availableIDs(state *State) (ids []string) {
	for _, worker := range state.View().Workers.List("s") {
		if !worker.Lapsed {
			ids = append(ids, worker.ID)
		}
	}
	return ids
}

// Relaying full lists to hundreds of gateways for each change would take megabytes per second.
func TestOnlyChangesAreRelayed(t *testing.T) {
	source, target := NewState(time.Now, nil), NewState(time.Now, nil)
	var workers []Worker
	for i := range 150 {
		workers = append(workers, newWorker(fmt.Sprintf("w%d", i)))
	}
	source.ReplaceWorkers(workers, 5)
	target.ApplyWorkerList(source.WorkerChanges(target.WorkersRevision()))
	require.Len(t, availableIDs(target), 150, "a process without any revision must get the full list")

	draining := newWorker("w1")
	draining.Draining = true
	source.ApplyWorkerChanges([]Change{{Object: Object{Name: "w0"}, Deleted: true}, {Object: Object{Name: "w1", Worker: &draining}}}, 7)
	added := newWorker("added")
	source.ApplyWorkerChanges([]Change{{Object: Object{Name: "added", Worker: &added}}}, 9)
	changes := source.WorkerChanges(target.WorkersRevision())
	require.Len(t, changes.Workers, 2)
	require.Equal(t, []string{"w0"}, changes.Gone)
	target.ApplyWorkerList(changes)
	require.ElementsMatch(t, availableIDs(source), availableIDs(target))
	require.Equal(t, int64(9), target.WorkersRevision())
}

func TestOverlappingChangesAreHarmless(t *testing.T) {
	source, target := NewState(time.Now, nil), NewState(time.Now, nil)
	source.ReplaceWorkers([]Worker{newWorker("a"), newWorker("b")}, 5)
	target.ReplaceWorkers([]Worker{newWorker("a"), newWorker("b")}, 5)
	added := newWorker("c")
	source.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}, {Object: Object{Name: "c", Worker: &added}}}, 9)
	// The target has received the first change from another process.
	target.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 7)
	target.ApplyWorkerList(source.WorkerChanges(7))
	require.ElementsMatch(t, []string{"b", "c"}, availableIDs(target))
}

func TestChangesAfterRevisionGapAreIgnored(t *testing.T) {
	source, target := NewState(time.Now, nil), NewState(time.Now, nil)
	source.ReplaceWorkers([]Worker{newWorker("a")}, 5)
	source.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 8)
	late := source.WorkerChanges(5)
	target.ReplaceWorkers([]Worker{newWorker("a"), newWorker("b")}, 3)
	target.ApplyWorkerList(late)
	require.Equal(t, int64(3), target.WorkersRevision(), "the changes between revisions 3 and 5 are unknown")
}

func TestFullListWhenHistoryIsTooShort(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{newWorker("a")}, 1)
	for revision := range int64(maxHistorySteps + 5) {
		changed := newWorker("b")
		changed.Slots = int(revision)
		state.ApplyWorkerChanges([]Change{{Object: Object{Name: "b", Worker: &changed}}}, revision+2)
	}
	require.Zero(t, state.WorkerChanges(2).Since)
	require.NotZero(t, state.WorkerChanges(maxHistorySteps).Since)
}

func TestLastReceivedIsUpdatedPerEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(func() time.Time { return now }, nil)
	lastReceived := func(id string) time.Time {
		record, found := state.View().Workers.Find(id)
		require.True(t, found)
		return state.View().LastReceived(record)
	}
	state.ReplaceWorkers([]Worker{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 10)
	first := now
	now = now.Add(time.Second)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a", Worker: &Worker{ID: "a", Instance: "a", Service: "s"}}}}, 11)
	require.Equal(t, now, lastReceived("a"), "an unchanged entry was written again")
	require.Equal(t, first, lastReceived("b"))
	now = now.Add(time.Second)
	state.ReplaceWorkers([]Worker{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 11)
	require.Equal(t, first, lastReceived("b"), "a list that is not newer must be ignored")
	state.ReplaceWorkers([]Worker{{ID: "b", Service: "s"}}, 12)
	require.Equal(t, now, lastReceived("b"))
}
