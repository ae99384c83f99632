package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// makeRegionWorkers returns the given number of workers in each zone of modelRegions.
func makeRegionWorkers(perZone int) []*directory.WorkerRecord {
	var workers []*directory.WorkerRecord
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range perZone {
			workers = append(workers, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprint(zone, "-", i), Zone: zone}})
		}
	}
	return workers
}

// newBalancerInZone returns a balancer that has measured 40 ms of additional latency to region b
// and 90 ms to region c.
func newBalancerInZone(clock func() time.Time, zone string) *Balancer {
	places := distance.NewTopology(zone, modelRegions)
	times := distance.NewZoneLatencies(places)
	for other, milliseconds := range map[string]time.Duration{"a1": 1, "a2": 1, "b1": 41, "b2": 41, "c1": 91, "c2": 91} {
		times.Observe(clock(), other, milliseconds*time.Millisecond)
	}
	return NewMultiRegion(clock, zone, times, places)
}

func chooseDecision(t *testing.T, b *Balancer, workers []*directory.WorkerRecord, request Request) Decision {
	decision, found := b.Choose(workers, request)
	require.True(t, found)
	return decision
}

func TestAffinityIsTheSameInAllZonesOfARegion(t *testing.T) {
	_, clock := fixedClock()
	first, second := newBalancerInZone(clock, "a1"), newBalancerInZone(clock, "a2")
	used := make(map[string]bool)
	for program := range 60 {
		request := Request{Service: "s", Affinity: fmt.Sprint("p", program)}
		firstDecision, secondDecision := chooseDecision(t, first, makeRegionWorkers(2), request), chooseDecision(t, second, makeRegionWorkers(2), request)
		require.Equal(t, firstDecision.ID, secondDecision.ID)
		require.Equal(t, LocalRegion, firstDecision.RegionReason)
		require.Equal(t, "a", modelRegions[firstDecision.Zone])
		first.Done(firstDecision.ID, Served)
		second.Done(secondDecision.ID, Served)
		used[firstDecision.ID] = true
	}
	require.Len(t, used, 4, "affinities are spread over all workers of the region")
}

// Requests that are restricted to another region show nothing about the capacity of the local one.
func TestFilteredRequestsDoNotCauseSpillover(t *testing.T) {
	_, clock := fixedClock()
	b := newBalancerInZone(clock, "a1")
	all := makeRegionWorkers(2)
	var remote []*directory.WorkerRecord
	for _, each := range all {
		if modelRegions[each.Zone] == "b" {
			remote = append(remote, each)
		}
	}
	for n := range 50 {
		restricted := chooseDecision(t, b, remote, Request{Service: "s", Affinity: fmt.Sprint("confined", n), Filtered: true})
		require.Equal(t, "b", modelRegions[restricted.Zone])
		b.Done(restricted.ID, Served)
		unrestricted := chooseDecision(t, b, all, Request{Service: "s", Affinity: fmt.Sprint("free", n)})
		require.Equal(t, LocalRegion, unrestricted.RegionReason)
		b.Done(unrestricted.ID, Served)
	}
}

func TestRequestWithoutAffinityStaysInLocalZone(t *testing.T) {
	now, clock := fixedClock()
	b := newBalancerInZone(clock, "a2")
	for range 20 {
		*now = now.Add(time.Second)
		decision := chooseDecision(t, b, makeRegionWorkers(4), Request{Service: "s"})
		require.Equal(t, "a2", decision.Zone)
		require.Equal(t, distance.OwnZone, decision.Distance)
		b.Done(decision.ID, Served)
	}
}

func TestNearestRegionServesWithoutLocalWorkers(t *testing.T) {
	_, clock := fixedClock()
	b := newBalancerInZone(clock, "a1")
	workers := makeRegionWorkers(2)[4:]
	for program := range 40 {
		decision := chooseDecision(t, b, workers, Request{Service: "s", Affinity: fmt.Sprint(program), Remaining: time.Millisecond})
		require.Equal(t, NoLocalWorker, decision.RegionReason)
		require.Equal(t, "b", modelRegions[decision.Zone])
		b.Done(decision.ID, Served)
	}
}

func TestNextRegionServesWhenNearestIsFull(t *testing.T) {
	_, clock := fixedClock()
	b := newBalancerInZone(clock, "a1")
	workers := makeRegionWorkers(2)[4:]
	usedNext := false
	for range 40 {
		decision := chooseDecision(t, b, workers, Request{Service: "s"})
		if modelRegions[decision.Zone] == "c" {
			usedNext = true
			b.Done(decision.ID, Served)
			continue
		}
		b.Done(decision.ID, Rejected)
	}
	require.True(t, usedNext)
}

func TestRejectedRequestLeavesRegionIfTimeRemains(t *testing.T) {
	_, clock := fixedClock()
	decideAfterRejections := func(remaining time.Duration) Decision {
		b := newBalancerInZone(clock, "a1")
		request := Request{Service: "s", Affinity: "p", Tried: make(map[string]bool), Remaining: remaining}
		for range minLocalRejections {
			decision := chooseDecision(t, b, makeRegionWorkers(3), request)
			require.Equal(t, LocalRegion, decision.RegionReason)
			b.Done(decision.ID, Rejected)
			request.Tried[decision.ID] = true
		}
		return chooseDecision(t, b, makeRegionWorkers(3), request)
	}
	require.Equal(t, LocalRejected, decideAfterRejections(time.Second).RegionReason)
	require.Equal(t, distance.OtherRegion, decideAfterRejections(time.Second).Distance)
	require.Equal(t, LocalRegion, decideAfterRejections(minRemainingFactor*40*time.Millisecond-1).RegionReason, "too little time remains for the way to another region")
}

func TestLowestPrioritySpillsFirst(t *testing.T) {
	now, clock := fixedClock()
	b := newBalancerInZone(clock, "a1")
	spillover := b.spilloverOf("s")
	for range 100 {
		*now = now.Add(100 * time.Millisecond)
		spillover.observe(*now, 0)
		spillover.observe(*now, 4)
	}
	leaving := func(share float64, priorityRank int) (count int) {
		spillover.share = share
		for program := range 1000 {
			if spillover.includes(*now, priorityRank, b.affinityPosition(fmt.Sprint(program))) {
				count++
			}
		}
		return count
	}
	require.Zero(t, leaving(0, 4))
	require.Zero(t, leaving(0.4, 0))
	require.InDelta(t, 800, leaving(0.4, 4), 60)
	require.Equal(t, 1000, leaving(0.6, 4))
	require.InDelta(t, 200, leaving(0.6, 0), 60)
	require.Equal(t, 1000, leaving(1, 0))
}

func TestSpilloverIsMonotonicPerProgram(t *testing.T) {
	now, clock := fixedClock()
	first, second := newBalancerInZone(clock, "a1"), newBalancerInZone(clock, "a2")
	for program := range 200 {
		hasLeft := false
		for share := 0.0; share <= 1; share += 0.1 {
			spillover := first.spilloverOf("s")
			spillover.share = share
			spillover.observe(*now, 0)
			affinity := fmt.Sprint(program)
			require.Equal(t, first.affinityPosition(affinity), second.affinityPosition(affinity), "all gateways must agree")
			leaves := spillover.includes(*now, 0, first.affinityPosition(affinity))
			require.False(t, hasLeft && !leaves, "a program that has left must not return while the share rises")
			hasLeft = leaves
		}
	}
}

// TestSpilloverShareStaysInBounds checks for random inputs that the share stays between 0 and 1, is
// 1 if no local worker is usable, and does not fall faster than maxFallRate.
func TestSpilloverShareStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1)
		state := regionState{
			usableShare: fraction.Draw(t, "usable"), localRejectedShare: fraction.Draw(t, "local rejected"), remoteRejectedShare: fraction.Draw(t, "remote rejected"),
			extraLatency:   time.Duration(rapid.IntRange(0, 400).Draw(t, "extra")) * time.Millisecond,
			typicalLatency: time.Duration(rapid.IntRange(0, 4000).Draw(t, "usual")) * time.Millisecond,
		}
		share, elapsed := fraction.Draw(t, "share"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed"))*time.Millisecond
		for _, policy := range []spilloverPolicy{costPolicy{}, thresholdPolicy{}} {
			next := policy.nextShare(share, elapsed, state)
			require.GreaterOrEqual(t, next, max(0, share-maxFallRate*maxStep.Seconds()-1e-9))
			require.LessOrEqual(t, next, 1.0)
			if state.usableShare == 0 {
				require.Equal(t, 1.0, next)
			}
		}
	})
}

func TestNoSpilloverWithoutObservations(t *testing.T) {
	require.Zero(t, costPolicy{}.nextShare(0, time.Second, regionState{usableShare: 1}))
	require.InDelta(t, 0.5-maxFallRate, costPolicy{}.nextShare(0.5, time.Second, regionState{usableShare: 1}), 1e-9)
}
