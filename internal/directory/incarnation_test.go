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

// incarnationOf returns an incarnation of an instance.
func incarnationOf(instance string, startedMs int64) Worker {
	return Worker{ID: IncarnationID(instance, startedMs), Instance: instance, StartedMs: startedMs, Service: "s", Address: "10.0.0.1:1"}
}

func changeTo(worker Worker) Change {
	return Change{Object: Object{Name: worker.Instance, Worker: &worker}}
}

// workerIDs returns the IDs of the available workers.
func workerIDs(state *State) (result []string) {
	for _, each := range state.View().Workers.List("s") {
		result = append(result, each.ID)
	}
	return result
}

func TestIncarnationIDsAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := rapid.SampledFrom([]string{"a", "a@1", "a@", "@", "a@1@2", ""})
		started := rapid.Int64Range(0, 3)
		first, second := instance.Draw(t, "first"), instance.Draw(t, "second")
		firstStart, secondStart := started.Draw(t, "first start"), started.Draw(t, "second start")
		same := first == second && firstStart == secondStart
		require.Equal(t, same, IncarnationID(first, firstStart) == IncarnationID(second, secondStart))
	})
}

func TestRestartedWorkerReplacesPreviousIncarnation(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{incarnationOf("a", 1), incarnationOf("b", 1)}, 5)
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 2))}, 6)
	require.ElementsMatch(t, []string{"a@2", "b@1"}, workerIDs(state), "the previous incarnation must not be available as a last resort")
	_, foundPrevious := state.View().Workers.Find("a@1")
	require.False(t, foundPrevious)
	current, found := state.View().Workers.Find("a@2")
	require.True(t, found)
	require.False(t, state.View().LastReceived(current).IsZero())
	state.ReplaceWorkers([]Worker{incarnationOf("a", 3), incarnationOf("b", 1)}, 9)
	require.ElementsMatch(t, []string{"a@3", "b@1"}, workerIDs(state))
}

func TestPreviousIncarnationIsNeverRegisteredAgain(t *testing.T) {
	for name, late := range map[string]func(state *State){
		"late entry": func(state *State) { state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 1))}, 8) },
		"newer list with the previous incarnation": func(state *State) { state.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 8) },
		"outdated list": func(state *State) { state.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 5) },
		"relay that lags behind": func(state *State) {
			state.ApplyWorkerList(&replicav1.WorkerList{Revision: 8, Since: 7, Workers: []*replicav1.Worker{encodeWorker(incarnationOf("a", 1))}})
		},
	} {
		state := NewState(time.Now, nil)
		state.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 5)
		state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 2))}, 7)
		late(state)
		require.Equal(t, []string{"a@2"}, workerIDs(state), name)
		state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 9)
		state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 1))}, 10)
		require.NotContains(t, workerIDs(state), "a@1", "%s, after the newer incarnation was deleted", name)
	}
}

func TestNextIncarnationReplacesLapsedOne(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 5)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}}, 6)
	require.Equal(t, []string{"a@1"}, workerIDs(state), "the lapsed worker is a last resort")
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 2))}, 7)
	require.Equal(t, []string{"a@2"}, workerIDs(state))
}

func TestWorkerWithoutStartIsAlwaysAdmitted(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{incarnationOf("a", 5)}, 5)
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 0))}, 6)
	require.Equal(t, []string{"a"}, workerIDs(state))
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 4))}, 7)
	require.Equal(t, []string{"a"}, workerIDs(state), "it started before a known incarnation")
}

func TestStartInTheFutureIsRejected(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 5)
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", time.Now().Add(time.Hour).UnixMilli()))}, 6)
	require.Equal(t, []string{"a@1"}, workerIDs(state))
	state.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", time.Now().Add(time.Second).UnixMilli()))}, 7)
	require.NotContains(t, workerIDs(state), "a@1", "a clock skew of seconds is allowed")
}

func TestIncarnationsAreRelayed(t *testing.T) {
	first, second := NewState(time.Now, nil), NewState(time.Now, nil)
	first.ReplaceWorkers([]Worker{incarnationOf("a", 1)}, 5)
	second.ApplyWorkerList(first.WorkerList())
	require.Equal(t, []string{"a@1"}, workerIDs(second))
	first.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 2))}, 6)
	second.ApplyWorkerList(first.WorkerChanges(5))
	require.Equal(t, []string{"a@2"}, workerIDs(second))
	first.ApplyWorkerChanges([]Change{changeTo(incarnationOf("a", 3)), changeTo(incarnationOf("a", 1))}, 7)
	second.ApplyWorkerList(first.WorkerChanges(6))
	require.Equal(t, []string{"a@3"}, workerIDs(second), "a rejected entry must not replace an accepted one")
	second.ApplyWorkerList(&replicav1.WorkerList{Revision: 9, Workers: []*replicav1.Worker{{Id: "old", Service: "s"}}})
	require.Contains(t, workerIDs(second), "old", "sent by a release without incarnations")
}

func TestUnusableEntryRemovesWorkerAtReceiverToo(t *testing.T) {
	invalid := UnusableEntry{Name: "a", Field: "Slots", Reason: FieldMissing}
	for name, apply := range map[string]func(state *State){
		"list": func(state *State) { state.ReplaceWorkers([]Worker{incarnationOf("b", 1)}, 6, invalid) },
		"change": func(state *State) {
			state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true, Unusable: &invalid}}, 6)
		},
	} {
		first, second := NewState(time.Now, nil), NewState(time.Now, nil)
		first.ReplaceWorkers([]Worker{incarnationOf("a", 1), incarnationOf("b", 1)}, 5)
		second.ApplyWorkerList(first.WorkerList())
		apply(first)
		require.Equal(t, []string{"b@1"}, workerIDs(first), name)
		require.Equal(t, []string{"a"}, first.WorkerChanges(5).Gone, name)
		second.ApplyWorkerList(first.WorkerChanges(5))
		require.Len(t, second.View().Workers.List("s"), 2, "the removed worker is a last resort for the grace period")
		for _, each := range second.View().Workers.List("s") {
			require.Equal(t, each.Instance == "a", each.Lapsed, name)
		}
	}
}

func TestUnlistedInstancesArePruned(t *testing.T) {
	starts := make(incarnations)
	for i := range int64(maxUnlistedInstances + 10) {
		starts.admit(incarnationOf(fmt.Sprint("w", i), i+1), time.Now())
	}
	starts.prune(func(instance string) bool { return instance == "w1" })
	require.Equal(t, incarnations{"w1": 2}, starts)
}

// An entry must be counted once, not with each heartbeat of its writer.
func TestUnusableEntryIsCountedOnce(t *testing.T) {
	entries := newUnusableEntries()
	missing := UnusableEntry{Name: "w", Field: "Slots", Reason: FieldMissing}
	entries.applyListing(KindWorker, Listing{Unusable: []UnusableEntry{missing}})
	for range 3 {
		entries.applyChanges(KindWorker, []Change{{Deleted: true, Unusable: &missing}})
	}
	require.Equal(t, map[UnusableReason]int{FieldMissing: 1}, entries.count())
	unknown := UnusableEntry{Name: "v", Field: "State", Reason: FieldUnknown}
	entries.applyChanges(KindReplica, []Change{{Deleted: true, Unusable: &unknown}})
	require.Equal(t, map[UnusableReason]int{FieldMissing: 1, FieldUnknown: 1}, entries.count())
	entries.applyChanges(KindWorker, []Change{{Object: Object{Name: "w"}}})
	entries.applyListing(KindReplica, Listing{})
	require.Empty(t, entries.count())
	require.True(t, strings.Contains(missing.Error(), "Slots"))
}
