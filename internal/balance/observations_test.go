package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSuspectIsAvoidedTemporarily(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "")
	workers := makeWorkers(4)
	b.MarkSuspect([]string{"w2"})
	for range 40 {
		id := chooseID(t, b, workers, Request{})
		require.NotEqual(t, "w2", id)
		b.Done(id, Served)
	}
	*now = now.Add(suspectDuration)
	used := make(map[string]bool)
	for range 40 {
		id := chooseID(t, b, workers, Request{})
		used[id] = true
		b.Done(id, Served)
	}
	require.True(t, used["w2"], "the worker must be used again after suspectDuration")
}

func TestMostlySuspectWorkersAreAllUsed(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	b.MarkSuspect([]string{"w0", "w1", "w2"})
	used := make(map[string]bool)
	for range 60 {
		id := chooseID(t, b, makeWorkers(4), Request{})
		used[id] = true
		b.Done(id, Served)
	}
	require.Len(t, used, 4)
}

func TestObservationsAreTakenOnce(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	for _, result := range []AttemptResult{Served, Failed, WorkerError, Unreachable, Canceled, Rejected} {
		b.Begin("w")
		b.Done("w", result)
	}
	b.ObserveLatency("w", 1.5)
	b.ObserveLatency("w", 0.5)
	require.Equal(t, []Observation{{Worker: "w", Responses: 1, Failures: 3, LatencySamples: 2, LatencyRatioSum: 2}}, b.TakeObservations(),
		"canceled and rejected attempts must not count for or against the worker")
	require.Empty(t, b.TakeObservations())
}
