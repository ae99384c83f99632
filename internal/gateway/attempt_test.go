package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// TestFailedRequestLeavesNoAttemptInProgress verifies that selecting one worker more than
// maxWorkerTries allows does not leave it counted as busy.
func TestFailedRequestLeavesNoAttemptInProgress(t *testing.T) {
	g := gatewayWithOptions(Options{})
	var workers []directory.Worker
	for i := range maxWorkerTries + 2 {
		workers = append(workers, directory.Worker{ID: fmt.Sprint(i), Instance: fmt.Sprint(i), Service: "s", Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(workers, 1)
	r := requestOnRoute(t, g, &route.Route{Kind: route.Unsafe})
	_, err := r.send(t.Context(), "")
	var noWorker *NoWorker
	require.ErrorAs(t, err, &noWorker)
	for _, each := range workers {
		require.Zero(t, g.balancer.InFlight(each.ID), each.ID)
	}
}
