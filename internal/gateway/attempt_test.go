package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// silentDialect says nothing in heads.
type silentDialect struct{}

func (silentDialect) ReadinessPath() string                     { return "/" }
func (silentDialect) ReadRequest(http.Header) RequestMetadata   { return RequestMetadata{} }
func (silentDialect) WriteAttempt(http.Header, AttemptMetadata) {}
func (silentDialect) ReadResponse(int, http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{}
}

// TestFailedRequestLeavesNoAttemptInProgress holds that a worker which was chosen
// once too often is not taken to be busy for ever.
func TestFailedRequestLeavesNoAttemptInProgress(t *testing.T) {
	g := &Gateway{
		options: Options{HeaderCodec: silentDialect{}}, balancer: balance.New(time.Now, ""), subsets: balance.NewSubsetSizes(time.Now), waits: balance.NewServiceLatencies(),
		directory: directory.NewState(time.Now, nil), metrics: newMetrics(telemetry.NewRegistry()),
		slotQueues: newSlotQueues(), fastest: newFastestAnswers(),
		pool: worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})),
	}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	var listed []directory.Worker
	for i := range maxTries + 2 {
		listed = append(listed, directory.Worker{ID: fmt.Sprint(i), Instance: fmt.Sprint(i), Service: "s", Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(listed, 1)
	incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	r := &request{
		gateway: g, incoming: incoming, route: &route.Route{Kind: route.Unsafe}, service: route.Service{Name: "s"},
		received: time.Now(), deadline: time.Now().Add(time.Minute),
		tried: make(map[string]bool), ran: make(map[string]bool), gone: make(map[string]bool),
	}
	_, err = r.send(t.Context(), "")
	var refused *NoWorker
	require.ErrorAs(t, err, &refused)
	for _, each := range listed {
		require.Zero(t, g.balancer.InFlight(each.ID), each.ID)
	}
}
