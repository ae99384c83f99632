package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSuspectIsAvoidedTemporarily(t *testing.T) {
	now, clock := fixed()
	b := New(clock, "")
	listed := workers(4)
	b.MarkSuspect([]string{"w2"})
	for range 40 {
		id := choose(t, b, listed, Request{})
		require.NotEqual(t, "w2", id)
		b.Done(id, Served)
	}
	*now = now.Add(suspectFor)
	used := make(map[string]bool)
	for range 40 {
		id := choose(t, b, listed, Request{})
		used[id] = true
		b.Done(id, Served)
	}
	require.True(t, used["w2"], "it is tried again")
}

func TestMostlySuspectWorkersAreAllUsed(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	b.MarkSuspect([]string{"w0", "w1", "w2"})
	used := make(map[string]bool)
	for range 60 {
		id := choose(t, b, workers(4), Request{})
		used[id] = true
		b.Done(id, Served)
	}
	require.Len(t, used, 4)
}

func TestObservationsAreTakenOnce(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	for _, verdict := range []AttemptResult{Served, Failed, WorkerError, Unreachable, Canceled, Rejected} {
		b.Begin("w")
		b.Done("w", verdict)
	}
	b.ObserveLatency("w", 1.5)
	b.ObserveLatency("w", 0.5)
	require.Equal(t, []Observation{{Worker: "w", Responses: 1, Failures: 3, LatencySamples: 2, LatencyRatioSum: 2}}, b.TakeObservations(),
		"what the client or a full worker ended says nothing of the worker")
	require.Empty(t, b.TakeObservations())
}
