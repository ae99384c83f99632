package directory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// life is a worker that started at a time.
func life(instance string, started int64) Worker {
	return Worker{ID: IncarnationID(instance, started), Instance: instance, StartedMs: started, Service: "s", Address: "10.0.0.1:1"}
}

func entryOf(worker Worker) Change {
	return Change{Object: Object{Name: worker.Instance, Worker: &worker}}
}

// ids returns the lives of a view's workers.
func ids(state *State) (listed []string) {
	for _, each := range state.View().Workers.List("s") {
		listed = append(listed, each.ID)
	}
	return listed
}

func TestIncarnationIDsAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := rapid.SampledFrom([]string{"a", "a@1", "a@", "@", "a@1@2", ""})
		started := rapid.Int64Range(0, 3)
		first, second := instance.Draw(t, "first"), instance.Draw(t, "second")
		since, later := started.Draw(t, "since"), started.Draw(t, "later")
		same := first == second && since == later
		require.Equal(t, same, IncarnationID(first, since) == IncarnationID(second, later))
	})
}

func TestRestartedWorkerReplacesPreviousIncarnation(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{life("a", 1), life("b", 1)}, 5)
	state.ApplyWorkerChanges([]Change{entryOf(life("a", 2))}, 6)
	require.ElementsMatch(t, []string{"a@2", "b@1"}, ids(state), "the former life is not even a last resort")
	_, former := state.View().Workers.Find("a@1")
	require.False(t, former)
	present, found := state.View().Workers.Find("a@2")
	require.True(t, found)
	require.False(t, state.View().LastReceived(present).IsZero())
	state.ReplaceWorkers([]Worker{life("a", 3), life("b", 1)}, 9)
	require.ElementsMatch(t, []string{"a@3", "b@1"}, ids(state))
}

func TestPreviousIncarnationIsNeverRegisteredAgain(t *testing.T) {
	for name, late := range map[string]func(state *State){
		"an entry that is written late": func(state *State) { state.ApplyWorkerChanges([]Change{entryOf(life("a", 1))}, 8) },
		"a listing with it":             func(state *State) { state.ReplaceWorkers([]Worker{life("a", 1)}, 8) },
		"an old listing":                func(state *State) { state.ReplaceWorkers([]Worker{life("a", 1)}, 5) },
		"a member that is behind": func(state *State) {
			state.ApplyWorkerList(&replicav1.WorkerList{Revision: 8, Since: 7, Workers: []*replicav1.Worker{encodeWorker(life("a", 1))}})
		},
	} {
		state := NewState(time.Now, nil)
		state.ReplaceWorkers([]Worker{life("a", 1)}, 5)
		state.ApplyWorkerChanges([]Change{entryOf(life("a", 2))}, 7)
		late(state)
		require.Equal(t, []string{"a@2"}, ids(state), name)
		state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 9)
		state.ApplyWorkerChanges([]Change{entryOf(life("a", 1))}, 10)
		require.NotContains(t, ids(state), "a@1", "%s, after the newer life's entry went", name)
	}
}

func TestNextIncarnationReplacesLapsedOne(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{life("a", 1)}, 5)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 6)
	require.Equal(t, []string{"a@1"}, ids(state), "a last resort")
	state.ApplyWorkerChanges([]Change{entryOf(life("a", 2))}, 7)
	require.Equal(t, []string{"a@2"}, ids(state))
}

func TestWorkerWithoutStartIsAlwaysAdmitted(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{life("a", 5)}, 5)
	state.ApplyWorkerChanges([]Change{entryOf(life("a", 0))}, 6)
	require.Equal(t, []string{"a"}, ids(state))
	state.ApplyWorkerChanges([]Change{entryOf(life("a", 4))}, 7)
	require.Equal(t, []string{"a"}, ids(state), "it is before a life that is known")
}

func TestStartInTheFutureIsRejected(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{life("a", 1)}, 5)
	state.ApplyWorkerChanges([]Change{entryOf(life("a", time.Now().Add(time.Hour).UnixMilli()))}, 6)
	require.Equal(t, []string{"a@1"}, ids(state))
	state.ApplyWorkerChanges([]Change{entryOf(life("a", time.Now().Add(time.Second).UnixMilli()))}, 7)
	require.NotContains(t, ids(state), "a@1", "clocks differ a little")
}

func TestIncarnationsAreRelayed(t *testing.T) {
	first, second := NewState(time.Now, nil), NewState(time.Now, nil)
	first.ReplaceWorkers([]Worker{life("a", 1)}, 5)
	second.ApplyWorkerList(first.WorkerList())
	require.Equal(t, []string{"a@1"}, ids(second))
	first.ApplyWorkerChanges([]Change{entryOf(life("a", 2))}, 6)
	second.ApplyWorkerList(first.WorkerChanges(5))
	require.Equal(t, []string{"a@2"}, ids(second))
	first.ApplyWorkerChanges([]Change{entryOf(life("a", 3)), entryOf(life("a", 1))}, 7)
	second.ApplyWorkerList(first.WorkerChanges(6))
	require.Equal(t, []string{"a@3"}, ids(second), "an entry that was not taken hides none that was")
	second.ApplyWorkerList(&replicav1.WorkerList{Revision: 9, Workers: []*replicav1.Worker{{Id: "old", Service: "s"}}})
	require.Contains(t, ids(second), "old", "passed on by a process from before lives")
}

func TestUnusableEntryRemovesWorkerAtReceiverToo(t *testing.T) {
	bad := UnusableEntry{Name: "a", Field: "Slots", Reason: FieldMissing}
	for name, spoil := range map[string]func(state *State){
		"a listing": func(state *State) { state.ReplaceWorkers([]Worker{life("b", 1)}, 6, bad) },
		"a change": func(state *State) {
			state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true, Unusable: &bad}}, 6)
		},
	} {
		first, second := NewState(time.Now, nil), NewState(time.Now, nil)
		first.ReplaceWorkers([]Worker{life("a", 1), life("b", 1)}, 5)
		second.ApplyWorkerList(first.WorkerList())
		spoil(first)
		require.Equal(t, []string{"b@1"}, ids(first), name)
		require.Equal(t, []string{"a"}, first.WorkerChanges(5).Gone, name)
		second.ApplyWorkerList(first.WorkerChanges(5))
		require.Len(t, second.View().Workers.List("s"), 2, "a last resort for a moment")
		for _, each := range second.View().Workers.List("s") {
			require.Equal(t, each.Instance == "a", each.Lapsed, name)
		}
	}
}

func TestUnlistedInstancesArePruned(t *testing.T) {
	known := make(lives)
	for i := range int64(maxUnlistedLives + 10) {
		known.admits(life(fmt.Sprint("w", i), i+1), time.Now())
	}
	known.forget(func(instance string) bool { return instance == "w1" })
	require.Equal(t, lives{"w1": 2}, known)
}

// TestUnusableEntryIsCountedOnce: not with each heartbeat of its writer.
func TestUnusableEntryIsCountedOnce(t *testing.T) {
	entries := newUnusableEntries()
	bad := UnusableEntry{Name: "w", Field: "Slots", Reason: FieldMissing}
	entries.takeListing(KindWorker, Listing{Unusable: []UnusableEntry{bad}})
	for range 3 {
		entries.takeChanges(KindWorker, []Change{{Deleted: true, Unusable: &bad}})
	}
	require.Equal(t, map[UnusableReason]int{FieldMissing: 1}, entries.count())
	worse := UnusableEntry{Name: "v", Field: "State", Reason: FieldUnknown}
	entries.takeChanges(KindReplica, []Change{{Deleted: true, Unusable: &worse}})
	require.Equal(t, map[UnusableReason]int{FieldMissing: 1, FieldUnknown: 1}, entries.count())
	entries.takeChanges(KindWorker, []Change{{Object: Object{Name: "w"}}})
	entries.takeListing(KindReplica, Listing{})
	require.Empty(t, entries.count())
	require.True(t, strings.Contains(bad.Error(), "Slots"))
}
