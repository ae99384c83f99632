package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

func workers(count int) []*directory.WorkerRecord {
	var listed []*directory.WorkerRecord
	for i := range count {
		listed = append(listed, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("w%d", i)}})
	}
	return listed
}

func fixed() (*time.Time, func() time.Time) {
	now := time.Unix(1000, 0)
	return &now, func() time.Time { return now }
}

func choose(t *testing.T, b *Balancer, listed []*directory.WorkerRecord, request Request) string {
	chosen, found := b.Choose(listed, request)
	require.True(t, found)
	return chosen.ID
}

func TestAffinityIsTheSameInAllBalancers(t *testing.T) {
	_, now := fixed()
	one, other := New(now, ""), New(now, "")
	used := map[string]bool{}
	for program := range 40 {
		request := Request{Affinity: fmt.Sprintf("p%d", program)}
		id := choose(t, one, workers(5), request)
		require.Equal(t, id, choose(t, other, workers(5), request))
		one.Done(id, Served)
		other.Done(id, Served)
		used[id] = true
	}
	require.Len(t, used, 5, "programs spread over all workers")
}

func TestLoadOverridesAffinity(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	counts := map[string]int{}
	for range 30 {
		counts[choose(t, b, workers(3), Request{Affinity: "p"})]++
	}
	for id, count := range counts {
		require.LessOrEqual(t, count, 10+affinitySlack+1, id)
	}
	require.Len(t, counts, 3)
}

func TestRequestsWithoutAffinityAreSpreadEvenly(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	counts := map[string]int{}
	for range 40 {
		counts[choose(t, b, workers(4), Request{})]++
	}
	for _, count := range counts {
		require.Equal(t, 10, count)
	}
}

func TestTriedWorkerIsNotChosen(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	_, found := b.Choose(workers(2), Request{Tried: map[string]bool{"w0": true, "w1": true}})
	require.False(t, found)
	require.Equal(t, "w1", choose(t, b, workers(2), Request{Tried: map[string]bool{"w0": true}}))
}

func TestConsecutiveFailuresEjectTemporarily(t *testing.T) {
	now, clock := fixed()
	b := New(clock, "")
	only := Request{Tried: map[string]bool{"w1": true, "w2": true}}
	require.Equal(t, "w0", choose(t, b, workers(3), only))
	require.False(t, b.Done("w0", Failed), "one broken answer is no reason")
	require.Equal(t, "w0", choose(t, b, workers(3), only))
	require.True(t, b.Done("w0", Failed))
	for range 20 {
		id := choose(t, b, workers(3), Request{})
		require.NotEqual(t, "w0", id)
		b.Done(id, Served)
	}
	*now = now.Add(firstEject)
	seen := map[string]bool{}
	for range 20 {
		id := choose(t, b, workers(3), Request{})
		seen[id] = true
		b.Done(id, Canceled)
	}
	require.True(t, seen["w0"])
}

func TestRepeatedEjectionsGetLonger(t *testing.T) {
	now, clock := fixed()
	b := New(clock, "")
	ejectedAt := func(id string) time.Duration { return b.of(id).ejectedUntil.Sub(*now) }
	fail := func() {
		*now = now.Add(lastEject)
		b.Begin("w0")
		b.Done("w0", Unreachable)
	}
	fail()
	require.Equal(t, firstEject, ejectedAt("w0"))
	fail()
	require.Equal(t, 2*firstEject, ejectedAt("w0"))
	for range 20 {
		fail()
	}
	require.Equal(t, lastEject, ejectedAt("w0"))
	for range 10 {
		b.Begin("w0")
		b.Done("w0", Served)
	}
	fail()
	require.Equal(t, firstEject, ejectedAt("w0"), "a good record starts anew")
}

func TestHighFailureRateEjects(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	ejected := false
	for n := 0; n < 40 && !ejected; n++ {
		b.Begin("w0")
		verdict := Served
		if n%3 != 0 {
			verdict = WorkerError
		}
		ejected = b.Done("w0", verdict)
	}
	require.True(t, ejected, "answers in between do not wipe its record out")
}

func TestLowFailureRateDoesNotEject(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	for n := range 400 {
		b.Begin("w0")
		verdict := Served
		if n%10 == 0 {
			verdict = WorkerError
		}
		require.False(t, b.Done("w0", verdict))
	}
}

func TestSlowWorkerIsAvoidedUntilLatencyExpires(t *testing.T) {
	now, clock := fixed()
	b := New(clock, "")
	for range paceSamples {
		for _, each := range workers(5) {
			took := 0.2
			if each.ID == "w0" {
				took = 0.8
			}
			b.ObserveLatency(each.ID, took)
		}
	}
	counts := func() map[string]int {
		seen := map[string]int{}
		for range 50 {
			id := choose(t, b, workers(5), Request{})
			seen[id]++
			b.Done(id, Canceled)
		}
		return seen
	}
	require.Zero(t, counts()["w0"])
	*now = now.Add(paceMemory + time.Millisecond)
	require.NotZero(t, counts()["w0"], "its pace is forgotten")
}

func TestUniformlySlowWorkersAreAllUsed(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	for range 10 {
		for i, each := range workers(5) {
			b.ObserveLatency(each.ID, 3+float64(i)/10)
		}
	}
	used := map[string]bool{}
	for range 50 {
		id := choose(t, b, workers(5), Request{})
		used[id] = true
		b.Done(id, Canceled)
	}
	require.Len(t, used, 5, "an overload is no outlier")
}

func TestLateStartCountsAsFailure(t *testing.T) {
	_, clock := fixed()
	b := New(clock, "")
	b.Begin("w0")
	b.Begin("w0")
	require.False(t, b.RecordLateStart("w0"))
	require.True(t, b.RecordLateStart("w0"))
	require.Equal(t, 2, b.record["w0"].inFlight)
}

func TestEjectionsNeverExcludeAllWorkers(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	for _, each := range workers(3) {
		b.Begin(each.ID)
		b.Done(each.ID, Unreachable)
	}
	used := map[string]bool{}
	for range 20 {
		id := choose(t, b, workers(3), Request{})
		used[id] = true
		b.Done(id, Canceled)
	}
	require.Len(t, used, 3)
}

func TestLapsedWorkerIsLastResort(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	listed := workers(2)
	listed[0].Lapsed = true
	for range 10 {
		require.Equal(t, "w1", choose(t, b, listed, Request{}))
	}
	require.Equal(t, "w0", choose(t, b, listed[:1], Request{}))
}

func TestPruneKeepsWorkersWithRequestsInFlight(t *testing.T) {
	_, now := fixed()
	b := New(now, "")
	b.Begin("busy")
	b.Begin("idle")
	b.Done("idle", Served)
	b.Prune(func(string) bool { return false })
	require.Contains(t, b.record, "busy")
	require.NotContains(t, b.record, "idle")
}

func BenchmarkChoose(b *testing.B) {
	balancer := New(time.Now, "")
	listed := workers(40)
	for b.Loop() {
		chosen, _ := balancer.Choose(listed, Request{Affinity: "program"})
		balancer.Done(chosen.ID, Served)
	}
}
