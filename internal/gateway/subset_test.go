package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// gatewayWithWorkers returns a gateway with the given number of workers of one service in six
// zones.
func gatewayWithWorkers(workers int) *Gateway {
	g := gatewayWithOptions(Options{Zone: "zone-0"})
	var listed []directory.Worker
	for i := range workers {
		id := fmt.Sprintf("worker-%05d", i)
		listed = append(listed, directory.Worker{ID: id, Instance: id, Service: "s", Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	g.directory.ReplaceWorkers(listed, 1)
	return g
}

func requestForService(g *Gateway) *request {
	r := newRequest(g)
	r.route, r.service = &route.Route{}, route.Service{Name: "s"}
	return r
}

// TestSubsetSizeDoesNotGrowWithWorkers compares the number of candidates for services of
// different sizes.
func TestSubsetSizeDoesNotGrowWithWorkers(t *testing.T) {
	require.Len(t, gatewayWithWorkers(3000).workerSubset("s"), len(gatewayWithWorkers(12_000).workerSubset("s")))
	require.Len(t, gatewayWithWorkers(60).workerSubset("s"), 60, "a small service has all workers in its subset")
}

// TestAllWorkersAreConsideredAfterSubsetIsExhausted uses a subset whose workers have all
// rejected the request.
func TestAllWorkersAreConsideredAfterSubsetIsExhausted(t *testing.T) {
	g := gatewayWithWorkers(3000)
	r := requestForService(g)
	for _, each := range g.workerSubset("s") {
		r.tried[each.ID] = true
	}
	chosen, found := r.choose()
	require.True(t, found)
	require.False(t, r.tried[chosen.ID])
}

// TestGatewaysOfZoneChooseSameWorkerForProgram verifies that a program's requests reach the
// worker that has its prompts in memory.
func TestGatewaysOfZoneChooseSameWorkerForProgram(t *testing.T) {
	first, second := gatewayWithWorkers(3000), gatewayWithWorkers(3000)
	for program := range 20 {
		var chosen []string
		for _, g := range []*Gateway{first, second} {
			r := requestForService(g)
			r.service.Engine = &route.Engine{}
			r.metadata.Program = fmt.Sprint("program-", program)
			worker, found := r.choose()
			require.True(t, found)
			require.Equal(t, "zone-0", worker.Zone)
			chosen = append(chosen, worker.ID)
		}
		require.Equal(t, chosen[0], chosen[1])
	}
}
