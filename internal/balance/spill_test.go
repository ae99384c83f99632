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

// regionWorkers returns so many workers in each of the zones of modelRegions.
func regionWorkers(each int) []*directory.WorkerRecord {
	var listed []*directory.WorkerRecord
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range each {
			listed = append(listed, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprint(zone, "-", i), Zone: zone}})
		}
	}
	return listed
}

// inZone returns a balancer of a zone that has measured 40 ms to region b and 90 ms to c.
func inZone(clock func() time.Time, zone string) *Balancer {
	places := distance.NewTopology(zone, modelRegions)
	times := distance.NewZoneLatencies(places)
	for other, took := range map[string]time.Duration{"a1": 1, "a2": 1, "b1": 41, "b2": 41, "c1": 91, "c2": 91} {
		times.Observe(clock(), other, took*time.Millisecond)
	}
	return NewMultiRegion(clock, zone, times, places)
}

func decide(t *testing.T, b *Balancer, listed []*directory.WorkerRecord, request Request) Decision {
	decision, found := b.Choose(listed, request)
	require.True(t, found)
	return decision
}

func TestAffinityIsTheSameInAllZonesOfARegion(t *testing.T) {
	_, clock := fixed()
	one, other := inZone(clock, "a1"), inZone(clock, "a2")
	used := make(map[string]bool)
	for program := range 60 {
		request := Request{Service: "s", Affinity: fmt.Sprint("p", program)}
		here, there := decide(t, one, regionWorkers(2), request), decide(t, other, regionWorkers(2), request)
		require.Equal(t, here.ID, there.ID)
		require.Equal(t, LocalRegion, here.RegionReason)
		require.Equal(t, "a", modelRegions[here.Zone])
		one.Done(here.ID, Served)
		other.Done(there.ID, Served)
		used[here.ID] = true
	}
	require.Len(t, used, 4, "programs spread over the region")
}

// TestFilteredRequestsDoNotCauseSpillover holds that requests which are confined to
// another region say nothing of what the own one has left.
func TestFilteredRequestsDoNotCauseSpillover(t *testing.T) {
	_, clock := fixed()
	b := inZone(clock, "a1")
	all := regionWorkers(2)
	var elsewhere []*directory.WorkerRecord
	for _, each := range all {
		if modelRegions[each.Zone] == "b" {
			elsewhere = append(elsewhere, each)
		}
	}
	for n := range 50 {
		confined := decide(t, b, elsewhere, Request{Service: "s", Affinity: fmt.Sprint("confined", n), Filtered: true})
		require.Equal(t, "b", modelRegions[confined.Zone])
		b.Done(confined.ID, Served)
		free := decide(t, b, all, Request{Service: "s", Affinity: fmt.Sprint("free", n)})
		require.Equal(t, LocalRegion, free.RegionReason)
		b.Done(free.ID, Served)
	}
}

func TestRequestWithoutAffinityStaysInLocalZone(t *testing.T) {
	now, clock := fixed()
	b := inZone(clock, "a2")
	for range 20 {
		*now = now.Add(time.Second)
		decision := decide(t, b, regionWorkers(4), Request{Service: "s"})
		require.Equal(t, "a2", decision.Zone)
		require.Equal(t, distance.OwnZone, decision.Distance)
		b.Done(decision.ID, Served)
	}
}

func TestNearestRegionServesWithoutLocalWorkers(t *testing.T) {
	_, clock := fixed()
	b := inZone(clock, "a1")
	listed := regionWorkers(2)[4:]
	for program := range 40 {
		decision := decide(t, b, listed, Request{Service: "s", Affinity: fmt.Sprint(program), Remaining: time.Millisecond})
		require.Equal(t, NoLocalWorker, decision.RegionReason)
		require.Equal(t, "b", modelRegions[decision.Zone])
		b.Done(decision.ID, Served)
	}
}

func TestNextRegionServesWhenNearestIsFull(t *testing.T) {
	_, clock := fixed()
	b := inZone(clock, "a1")
	listed := regionWorkers(2)[4:]
	next := false
	for range 40 {
		decision := decide(t, b, listed, Request{Service: "s"})
		if modelRegions[decision.Zone] == "c" {
			next = true
			b.Done(decision.ID, Served)
			continue
		}
		b.Done(decision.ID, Rejected)
	}
	require.True(t, next)
}

func TestRejectedRequestLeavesRegionIfTimeRemains(t *testing.T) {
	_, clock := fixed()
	request := func(left time.Duration) Decision {
		b := inZone(clock, "a1")
		asked := Request{Service: "s", Affinity: "p", Tried: make(map[string]bool), Remaining: left}
		for range homeTries {
			decision := decide(t, b, regionWorkers(3), asked)
			require.Equal(t, LocalRegion, decision.RegionReason)
			b.Done(decision.ID, Rejected)
			asked.Tried[decision.ID] = true
		}
		return decide(t, b, regionWorkers(3), asked)
	}
	require.Equal(t, LocalRejected, request(time.Second).RegionReason)
	require.Equal(t, distance.OtherRegion, request(time.Second).Distance)
	require.Equal(t, LocalRegion, request(leftFactor*40*time.Millisecond-1).RegionReason, "most of its time would go by on the way")
}

func TestLowestPrioritySpillsFirst(t *testing.T) {
	now, clock := fixed()
	b := inZone(clock, "a1")
	spill := b.spillOf("s")
	for range 100 {
		*now = now.Add(100 * time.Millisecond)
		spill.count(*now, 0)
		spill.count(*now, 4)
	}
	leaving := func(share float64, urgency int) (count int) {
		spill.share = share
		for program := range 1000 {
			if spill.leaves(*now, urgency, b.place(fmt.Sprint(program))) {
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
	now, clock := fixed()
	one, other := inZone(clock, "a1"), inZone(clock, "a2")
	for program := range 200 {
		left := false
		for share := 0.0; share <= 1; share += 0.1 {
			spill := one.spillOf("s")
			spill.share = share
			spill.count(*now, 0)
			affinity := fmt.Sprint(program)
			require.Equal(t, one.place(affinity), other.place(affinity), "all gateways agree")
			leaves := spill.leaves(*now, 0, one.place(affinity))
			require.False(t, left && !leaves, "a program that has left stays away while the share rises")
			left = leaves
		}
	}
}

// TestSpilloverShareStaysInBounds holds for any sight that the share stays between none and all, leaves
// nobody at home where nothing is usable, and falls no faster than it may.
func TestSpilloverShareStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0, 1)
		seen := sight{
			usable: part.Draw(t, "usable"), refused: part.Draw(t, "refused"), elsewhere: part.Draw(t, "elsewhere"),
			extra: time.Duration(rapid.IntRange(0, 400).Draw(t, "extra")) * time.Millisecond,
			usual: time.Duration(rapid.IntRange(0, 4000).Draw(t, "usual")) * time.Millisecond,
		}
		share, elapsed := part.Draw(t, "share"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed"))*time.Millisecond
		for _, rule := range []spillRule{byCost{}, byClass{}} {
			next := rule.next(share, elapsed, seen)
			require.GreaterOrEqual(t, next, max(0, share-fallRate*longestStep.Seconds()-1e-9))
			require.LessOrEqual(t, next, 1.0)
			if seen.usable == 0 {
				require.Equal(t, 1.0, next)
			}
		}
	})
}

func TestNoSpilloverWithoutObservations(t *testing.T) {
	require.Zero(t, byCost{}.next(0, time.Second, sight{usable: 1}))
	require.InDelta(t, 0.5-fallRate, byCost{}.next(0.5, time.Second, sight{usable: 1}), 1e-9)
}
