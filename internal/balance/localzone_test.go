package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// makeZonedWorkers returns the given number of workers in each of the zones "a" to "f".
func makeZonedWorkers(perZone int) []*directory.WorkerRecord {
	var workers []*directory.WorkerRecord
	for _, zone := range []string{"a", "b", "c", "d", "e", "f"} {
		for i := range perZone {
			workers = append(workers, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("%s%d", zone, i), Zone: zone}})
		}
	}
	return workers
}

// countByZone sends requests at a rate and returns how many went to each zone.
func countByZone(t *testing.T, b *Balancer, now *time.Time, workers []*directory.WorkerRecord, perSecond float64) map[string]int {
	zones := make(map[string]int)
	for n := range 400 {
		*now = now.Add(time.Duration(float64(time.Second) / perSecond))
		chosen, found := b.Choose(workers, Request{Service: "s", Affinity: fmt.Sprintf("p%d", n)})
		require.True(t, found)
		b.Done(chosen.ID, Served)
		zones[chosen.Zone]++
	}
	return zones
}

func TestLowRatePrefersLocalZone(t *testing.T) {
	now, clock := fixedClock()
	zones := countByZone(t, New(clock, "c"), now, makeZonedWorkers(17), 4)
	require.Equal(t, map[string]int{"c": 400}, zones)
}

func TestHighRateUsesAllZones(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "c")
	countByZone(t, b, now, makeZonedWorkers(2), 10)
	zones := countByZone(t, b, now, makeZonedWorkers(2), 10)
	require.Len(t, zones, 6)
}

// A process that was idle must not send its requests only to its own zone for the first second.
func TestRisingRateIsDetectedAfterFewRequests(t *testing.T) {
	const perSecond, ignored = 25, 4
	now, clock := fixedClock()
	b := New(clock, "c")
	workers := makeZonedWorkers(2)
	inOtherZones := 0
	for n := range perSecond {
		*now = now.Add(time.Second / perSecond)
		chosen, found := b.Choose(workers, Request{Service: "s", Affinity: fmt.Sprintf("p%d", n)})
		require.True(t, found)
		b.Done(chosen.ID, Served)
		if n >= ignored && chosen.Zone != "c" {
			inOtherZones++
		}
	}
	require.Greater(t, inOtherZones, (perSecond-ignored)/2, "five of six workers are in other zones")
}

func TestOtherZonesServeExcessLoad(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "c")
	workers := makeZonedWorkers(3)
	zones := make(map[string]int)
	for range 12 {
		// Many requests at once would raise the request rate.
		*now = now.Add(2 * time.Second)
		chosen, found := b.Choose(workers, Request{Service: "s"})
		require.True(t, found)
		zones[chosen.Zone]++
	}
	require.Equal(t, (1+localZoneSlack)*3, zones["c"], "each worker of the local zone has localZoneSlack more requests than the others")
	require.Greater(t, len(zones), 1)
}

func TestOtherZonesServeWhenLocalZoneIsUnhealthy(t *testing.T) {
	now, clock := fixedClock()
	b := New(clock, "c")
	workers := makeZonedWorkers(4)
	for _, id := range []string{"c0", "c1", "c2"} {
		b.Begin(id)
		b.Done(id, Unreachable)
	}
	zones := countByZone(t, b, now, workers, 1000)
	require.Greater(t, len(zones), 1, "the remaining worker of four must not get all requests of the zone")
}

func TestRequestRateDecays(t *testing.T) {
	now, _ := fixedClock()
	var rate requestRate
	for range 600 {
		*now = now.Add(50 * time.Millisecond)
		rate.observe(*now)
	}
	require.InDelta(t, 20, rate.perSecond(*now), 2)
	require.Less(t, rate.perSecond(now.Add(3*slowRateWindow)), 1.5)
}

func TestRequestWithoutAffinityUsesIdleConnection(t *testing.T) {
	_, clock := fixedClock()
	b := New(clock, "c")
	connected := func(address string) bool { return address == "c1" || address == "d1" }
	workers := makeZonedWorkers(3)
	for i := range workers {
		workers[i].Address = workers[i].ID
	}
	request := Request{Service: "s", HasIdleConnection: connected}
	for range 1 + localZoneSlack {
		require.Equal(t, "c1", chooseID(t, b, workers, request))
	}
	require.Contains(t, []string{"c0", "c2"}, chooseID(t, b, workers, request), "a connected worker at the slack must not be chosen")
	request.Affinity = "p"
	used := make(map[string]bool)
	for program := range 40 {
		request.Affinity = fmt.Sprint(program)
		used[chooseID(t, New(clock, "c"), workers, request)] = true
	}
	require.Len(t, used, 3, "requests with an affinity ignore connections")
}
