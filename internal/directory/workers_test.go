package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ready(id string) Worker { return Worker{ID: id, Instance: id, Service: "s", Address: id + ":1"} }

// idsOf returns the ids that a state's service has, lapsed ones left out.
func idsOf(state *State) (ids []string) {
	for _, worker := range state.View().Workers.List("s") {
		if !worker.Lapsed {
			ids = append(ids, worker.ID)
		}
	}
	return ids
}

// TestOnlyChangesAreRelayed: whole lists to hundreds of gateways for each change
// were megabytes a second.
func TestOnlyChangesAreRelayed(t *testing.T) {
	from, to := NewState(time.Now, nil), NewState(time.Now, nil)
	var many []Worker
	for i := range 150 {
		many = append(many, ready(fmt.Sprintf("w%d", i)))
	}
	from.ReplaceWorkers(many, 5)
	to.ApplyWorkerList(from.WorkerChanges(to.WorkersRevision()))
	require.Len(t, idsOf(to), 150, "who knows nothing gets the whole list")

	draining := ready("w1")
	draining.Draining = true
	from.ApplyWorkerChanges([]Change{{Object: Object{Name: "w0"}, Deleted: true}, {Object: Object{Name: "w1", Worker: &draining}}}, 7)
	added := ready("added")
	from.ApplyWorkerChanges([]Change{{Object: Object{Name: "added", Worker: &added}}}, 9)
	changes := from.WorkerChanges(to.WorkersRevision())
	require.Len(t, changes.Workers, 2)
	require.Equal(t, []string{"w0"}, changes.Gone)
	to.ApplyWorkerList(changes)
	require.ElementsMatch(t, idsOf(from), idsOf(to))
	require.Equal(t, int64(9), to.WorkersRevision())
}

func TestOverlappingChangesAreHarmless(t *testing.T) {
	from, to := NewState(time.Now, nil), NewState(time.Now, nil)
	from.ReplaceWorkers([]Worker{ready("a"), ready("b")}, 5)
	to.ReplaceWorkers([]Worker{ready("a"), ready("b")}, 5)
	added := ready("c")
	from.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}, {Object: Object{Name: "c", Worker: &added}}}, 9)
	// This one heard of the first change from elsewhere.
	to.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 7)
	to.ApplyWorkerList(from.WorkerChanges(7))
	require.ElementsMatch(t, []string{"b", "c"}, idsOf(to))
}

func TestChangesAfterRevisionGapAreIgnored(t *testing.T) {
	from, to := NewState(time.Now, nil), NewState(time.Now, nil)
	from.ReplaceWorkers([]Worker{ready("a")}, 5)
	from.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 8)
	late := from.WorkerChanges(5)
	to.ReplaceWorkers([]Worker{ready("a"), ready("b")}, 3)
	to.ApplyWorkerList(late)
	require.Equal(t, int64(3), to.WorkersRevision(), "what happened between 3 and 5 is not known")
}

func TestFullListWhenHistoryIsTooShort(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{ready("a")}, 1)
	for revision := range int64(maxHistory + 5) {
		changed := ready("b")
		changed.Slots = int(revision)
		state.ApplyWorkerChanges([]Change{{Object: Object{Name: "b", Worker: &changed}}}, revision+2)
	}
	require.Zero(t, state.WorkerChanges(2).Since)
	require.NotZero(t, state.WorkerChanges(maxHistory).Since)
}

func TestLastReceivedIsUpdatedPerEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	state := NewState(func() time.Time { return now }, nil)
	heard := func(id string) time.Time {
		listed, found := state.View().Workers.Find(id)
		require.True(t, found)
		return state.View().LastReceived(listed)
	}
	state.ReplaceWorkers([]Worker{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 10)
	first := now
	now = now.Add(time.Second)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a", Worker: &Worker{ID: "a", Instance: "a", Service: "s"}}}}, 11)
	require.Equal(t, now, heard("a"), "the same entry, written again")
	require.Equal(t, first, heard("b"))
	now = now.Add(time.Second)
	state.ReplaceWorkers([]Worker{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 11)
	require.Equal(t, first, heard("b"), "a list that is not later says nothing")
	state.ReplaceWorkers([]Worker{{ID: "b", Service: "s"}}, 12)
	require.Equal(t, now, heard("b"))
}
