package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// spreadOver returns so many workers, dealt out over so many zones.
func spreadOver(workers, zones int) []*directory.WorkerRecord {
	listed := make([]*directory.WorkerRecord, workers)
	for i := range listed {
		listed[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}}
	}
	return listed
}

func benchmarkChoice(b *testing.B, balancer *Balancer, listed []*directory.WorkerRecord) {
	b.ReportAllocs()
	for turn := 0; b.Loop(); turn++ {
		chosen, _ := balancer.Choose(listed, Request{Service: "s", Affinity: "program"})
		balancer.ObserveLatency(chosen.ID, 1)
		balancer.Done(chosen.ID, Served)
	}
}

func BenchmarkChooseOf40InOneRegion(b *testing.B) {
	benchmarkChoice(b, New(time.Now, "zone-1"), spreadOver(40, 4))
}

func BenchmarkChooseOf11000InOneRegion(b *testing.B) {
	benchmarkChoice(b, New(time.Now, "zone-1"), spreadOver(11_000, 17))
}

// inRegions names a region for each of so many zones, dealt out in turn.
func inRegions(zones, regions int) map[string]string {
	named := make(map[string]string)
	for i := range zones {
		named[fmt.Sprintf("zone-%d", i)] = fmt.Sprintf("region-%d", i%regions)
	}
	return named
}

func amongRegions(zones, regions int) *Balancer {
	places := distance.NewTopology("zone-1", inRegions(zones, regions))
	return NewMultiRegion(time.Now, "zone-1", distance.NewZoneLatencies(places), places)
}

func BenchmarkChooseOf40In3Regions(b *testing.B) {
	benchmarkChoice(b, amongRegions(6, 3), spreadOver(40, 6))
}

func BenchmarkChooseOf11000In6Regions(b *testing.B) {
	benchmarkChoice(b, amongRegions(17, 6), spreadOver(11_000, 17))
}

func TestChooseDoesNotAllocate(t *testing.T) {
	_, clock := fixed()
	places := distance.NewTopology("zone-1", inRegions(17, 6))
	b := NewMultiRegion(clock, "zone-1", distance.NewZoneLatencies(places), places)
	listed := spreadOver(2000, 17)
	each := func() {
		chosen, _ := b.Choose(listed, Request{Service: "s", Affinity: "program"})
		b.Done(chosen.ID, Canceled)
	}
	each()
	require.Zero(t, testing.AllocsPerRun(20, each))
}
