package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// BenchmarkChoose chooses a worker of a service that declares no cold workers.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{40, 11000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			g := &Gateway{
				balancer: balance.New(time.Now, ""), subsets: balance.NewSubsetSizes(time.Now), metrics: newMetrics(telemetry.NewRegistry()),
				cold: newColdWorkers(func() bool { return false }),
			}
			g.zones, g.ways = newZoneWatch(g), distance.NewTimes(g.places)
			g.directory = directory.NewState(time.Now, func(view *directory.View, _ directory.WorkerUpdate) { g.cold.tracker.Take(view) })
			var listed []directory.Worker
			for i := range workers {
				listed = append(listed, directory.Worker{ID: fmt.Sprint("worker-", i), Instance: fmt.Sprint("worker-", i), Service: "s"})
			}
			g.directory.OfferWorkers(listed, 1)
			r := requestOf(g)
			r.route, r.service = &route.Route{}, route.Service{Name: "s"}
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := r.choose()
				g.balancer.Done(chosen.ID, balance.Served)
				r.decisions = r.decisions[:0]
			}
		})
	}
}
