package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// makeWorkersInZones returns workers that are distributed evenly over zones.
func makeWorkersInZones(workers, zones int) []*directory.WorkerRecord {
	records := make([]*directory.WorkerRecord, workers)
	for i := range records {
		records[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}}
	}
	return records
}

func benchmarkChoose(b *testing.B, balancer *Balancer, workers []*directory.WorkerRecord) {
	b.ReportAllocs()
	for turn := 0; b.Loop(); turn++ {
		chosen, _ := balancer.Choose(workers, Request{Service: "s", Affinity: "program"})
		balancer.ObserveLatency(chosen.ID, 1)
		balancer.Done(chosen.ID, Served)
	}
}

func BenchmarkChooseOf40InOneRegion(b *testing.B) {
	benchmarkChoose(b, New(time.Now, "zone-1"), makeWorkersInZones(40, 4))
}

func BenchmarkChooseOf11000InOneRegion(b *testing.B) {
	benchmarkChoose(b, New(time.Now, "zone-1"), makeWorkersInZones(11_000, 17))
}

// assignRegions assigns zones to regions in turn.
func assignRegions(zones, regions int) map[string]string {
	regionOf := make(map[string]string)
	for i := range zones {
		regionOf[fmt.Sprintf("zone-%d", i)] = fmt.Sprintf("region-%d", i%regions)
	}
	return regionOf
}

func newMultiRegionBalancer(zones, regions int) *Balancer {
	places := distance.NewTopology("zone-1", assignRegions(zones, regions))
	return NewMultiRegion(time.Now, "zone-1", distance.NewZoneLatencies(places), places)
}

func BenchmarkChooseOf40In3Regions(b *testing.B) {
	benchmarkChoose(b, newMultiRegionBalancer(6, 3), makeWorkersInZones(40, 6))
}

func BenchmarkChooseOf11000In6Regions(b *testing.B) {
	benchmarkChoose(b, newMultiRegionBalancer(17, 6), makeWorkersInZones(11_000, 17))
}

func TestChooseDoesNotAllocate(t *testing.T) {
	_, clock := fixedClock()
	places := distance.NewTopology("zone-1", assignRegions(17, 6))
	b := NewMultiRegion(clock, "zone-1", distance.NewZoneLatencies(places), places)
	workers := makeWorkersInZones(2000, 17)
	chooseOnce := func() {
		chosen, _ := b.Choose(workers, Request{Service: "s", Affinity: "program"})
		b.Done(chosen.ID, Canceled)
	}
	chooseOnce()
	require.Zero(t, testing.AllocsPerRun(20, chooseOnce))
}
