package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

func makeWorkers(count int) []*directory.WorkerRecord {
	var workers []*directory.WorkerRecord
	for i := range count {
		workers = append(workers, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("w%d", i)}})
	}
	return workers
}

func fixedClock() (*time.Time, func() time.Time) {
	now := time.Unix(1000, 0)
	return &now, func() time.Time { return now }
}

func chooseID(t *testing.T, b *Balancer, workers []*directory.WorkerRecord, request Request) string {
	chosen, found := b.Choose(workers, request)
	require.True(t, found)
	return chosen.ID
}

func TestAffinityIsTheSameInAllBalancers(t *testing.T) {
	_, now := fixedClock()
	first, second := New(now, ""), New(now, "")
	used := map[string]bool{}
	for program := range 40 {
		request := Request{Affinity: fmt.Sprintf("p%d", program)}
		id := chooseID(t, first, makeWorkers(5), request)
		require.Equal(t, id, chooseID(t, second, makeWorkers(5), request))
		first.Done(id, Served)
		second.Done(id, Served)
		used[id] = true
	}
	require.Len(t, used, 5, "affinities are spread over all workers")
}

func TestLoadOverridesAffinity(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	counts := map[string]int{}
	for range 30 {
		counts[chooseID(t, b, makeWorkers(3), Request{Affinity: "p"})]++
	}
	for id, count := range counts {
		require.LessOrEqual(t, count, 10+affinitySlack+1, id)
	}
	require.Len(t, counts, 3)
}

func TestRequestsWithoutAffinityAreSpreadEvenly(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	counts := map[string]int{}
	for range 40 {
		counts[chooseID(t, b, makeWorkers(4), Request{})]++
	}
	for _, count := range counts {
		require.Equal(t, 10, count)
	}
}

func TestTriedWorkerIsNotChosen(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	_, found := b.Choose(makeWorkers(2), Request{Tried: map[string]bool{"w0": true, "w1": true}})
	require.False(t, found)
	require.Equal(t, "w1", chooseID(t, b, makeWorkers(2), Request{Tried: map[string]bool{"w0": true}}))
}

func TestConsecutiveFailuresEjectTemporarily(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "")
	onlyFirst := Request{Tried: map[string]bool{"w1": true, "w2": true}}
	require.Equal(t, "w0", chooseID(t, b, makeWorkers(3), onlyFirst))
	require.False(t, b.Done("w0", Failed), "a single failure must not eject")
	require.Equal(t, "w0", chooseID(t, b, makeWorkers(3), onlyFirst))
	require.True(t, b.Done("w0", Failed))
	for range 20 {
		id := chooseID(t, b, makeWorkers(3), Request{})
		require.NotEqual(t, "w0", id)
		b.Done(id, Served)
	}
	*now = now.Add(initialEjection)
	seen := map[string]bool{}
	for range 20 {
		id := chooseID(t, b, makeWorkers(3), Request{})
		seen[id] = true
		b.Done(id, Canceled)
	}
	require.True(t, seen["w0"])
}

func TestRepeatedEjectionsGetLonger(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "")
	ejectionOf := func(id string) time.Duration { return b.statsOf(id).ejectedUntil.Sub(*now) }
	fail := func() {
		*now = now.Add(maxEjection)
		b.Begin("w0")
		b.Done("w0", Unreachable)
	}
	fail()
	require.Equal(t, initialEjection, ejectionOf("w0"))
	fail()
	require.Equal(t, 2*initialEjection, ejectionOf("w0"))
	for range 20 {
		fail()
	}
	require.Equal(t, maxEjection, ejectionOf("w0"))
	for range 10 {
		b.Begin("w0")
		b.Done("w0", Served)
	}
	fail()
	require.Equal(t, initialEjection, ejectionOf("w0"), "successes must reset the ejection time")
}

func TestHighFailureRateEjects(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	ejected := false
	for n := 0; n < 40 && !ejected; n++ {
		b.Begin("w0")
		result := Served
		if n%3 != 0 {
			result = WorkerError
		}
		ejected = b.Done("w0", result)
	}
	require.True(t, ejected, "occasional successes must not prevent the ejection")
}

func TestLowFailureRateDoesNotEject(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	for n := range 400 {
		b.Begin("w0")
		result := Served
		if n%10 == 0 {
			result = WorkerError
		}
		require.False(t, b.Done("w0", result))
	}
}

func TestSlowWorkerIsAvoidedUntilLatencyExpires(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "")
	for range minLatencySamples {
		for _, each := range makeWorkers(5) {
			ratio := 0.2
			if each.ID == "w0" {
				ratio = 0.8
			}
			b.ObserveLatency(each.ID, ratio)
		}
	}
	countByID := func() map[string]int {
		seen := map[string]int{}
		for range 50 {
			id := chooseID(t, b, makeWorkers(5), Request{})
			seen[id]++
			b.Done(id, Canceled)
		}
		return seen
	}
	require.Zero(t, countByID()["w0"])
	*now = now.Add(latencyMaxAge + time.Millisecond)
	require.NotZero(t, countByID()["w0"], "the latency average has expired")
}

func TestUniformlySlowWorkersAreAllUsed(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	for range 10 {
		for i, each := range makeWorkers(5) {
			b.ObserveLatency(each.ID, 3+float64(i)/10)
		}
	}
	used := map[string]bool{}
	for range 50 {
		id := chooseID(t, b, makeWorkers(5), Request{})
		used[id] = true
		b.Done(id, Canceled)
	}
	require.Len(t, used, 5, "no worker is an outlier if all are slow")
}

func TestLateStartCountsAsFailure(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "")
	b.Begin("w0")
	b.Begin("w0")
	require.False(t, b.RecordLateStart("w0"))
	require.True(t, b.RecordLateStart("w0"))
	require.Equal(t, 2, b.stats["w0"].inFlight)
}

func TestEjectionsNeverExcludeAllWorkers(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	for _, each := range makeWorkers(3) {
		b.Begin(each.ID)
		b.Done(each.ID, Unreachable)
	}
	used := map[string]bool{}
	for range 20 {
		id := chooseID(t, b, makeWorkers(3), Request{})
		used[id] = true
		b.Done(id, Canceled)
	}
	require.Len(t, used, 3)
}

func TestLapsedWorkerIsLastResort(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	workers := makeWorkers(2)
	workers[0].Lapsed = true
	for range 10 {
		require.Equal(t, "w1", chooseID(t, b, workers, Request{}))
	}
	require.Equal(t, "w0", chooseID(t, b, workers[:1], Request{}))
}

func TestPruneKeepsWorkersWithRequestsInFlight(t *testing.T) {
	_, now := fixedClock()
	b := New(now, "")
	b.Begin("busy")
	b.Begin("idle")
	b.Done("idle", Served)
	b.Prune(func(string) bool { return false })
	require.Contains(t, b.stats, "busy")
	require.NotContains(t, b.stats, "idle")
}

func BenchmarkChoose(b *testing.B) {
	balancer := New(time.Now, "")
	workers := makeWorkers(40)
	for b.Loop() {
		chosen, _ := balancer.Choose(workers, Request{Affinity: "program"})
		balancer.Done(chosen.ID, Served)
	}
}
