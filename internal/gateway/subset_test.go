package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// gatewayBefore returns a gateway before so many workers of one service in six zones.
func gatewayBefore(workers int) *Gateway {
	g := &Gateway{
		balancer: balance.New(time.Now, "zone-0"), subsets: balance.NewSubsetSizes(time.Now), metrics: newMetrics(telemetry.NewRegistry()),
		pool: worker.NewPool(nil), waits: balance.NewServiceLatencies(), cold: newColdWorkers(func() bool { return false }), directory: directory.NewState(time.Now, nil),
	}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	var listed []directory.Worker
	for i := range workers {
		id := fmt.Sprintf("worker-%05d", i)
		listed = append(listed, directory.Worker{ID: id, Instance: id, Service: "s", Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	g.directory.ReplaceWorkers(listed, 1)
	return g
}

func choosingAt(g *Gateway) *request {
	r := requestOf(g)
	r.route, r.service = &route.Route{}, route.Service{Name: "s"}
	return r
}

// TestSubsetSizeDoesNotGrowWithWorkers counts the workers that a request chooses from.
func TestSubsetSizeDoesNotGrowWithWorkers(t *testing.T) {
	require.Len(t, gatewayBefore(3000).subset("s"), len(gatewayBefore(12_000).subset("s")))
	require.Len(t, gatewayBefore(60).subset("s"), 60, "few workers are all chosen from")
}

// TestAllWorkersAreConsideredAfterSubsetIsExhausted is about workers of the subset that have all
// turned the request away.
func TestAllWorkersAreConsideredAfterSubsetIsExhausted(t *testing.T) {
	g := gatewayBefore(3000)
	r := choosingAt(g)
	for _, each := range g.subset("s") {
		r.tried[each.ID] = true
	}
	chosen, found := r.choose()
	require.True(t, found)
	require.False(t, r.tried[chosen.ID])
}

// TestGatewaysOfZoneChooseSameWorkerForProgram is what keeps prompts warm.
func TestGatewaysOfZoneChooseSameWorkerForProgram(t *testing.T) {
	first, second := gatewayBefore(3000), gatewayBefore(3000)
	for program := range 20 {
		var chosen []string
		for _, g := range []*Gateway{first, second} {
			r := choosingAt(g)
			r.service.Engine = &route.Engine{}
			r.envelope.Program = fmt.Sprint("program-", program)
			one, found := r.choose()
			require.True(t, found)
			require.Equal(t, "zone-0", one.Zone)
			chosen = append(chosen, one.ID)
		}
		require.Equal(t, chosen[0], chosen[1])
	}
}
