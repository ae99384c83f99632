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

// noopHeaderCodec neither reads nor writes headers.
type noopHeaderCodec struct{}

func (noopHeaderCodec) ReadinessPath() string                     { return "/" }
func (noopHeaderCodec) ReadRequest(http.Header) RequestMetadata   { return RequestMetadata{} }
func (noopHeaderCodec) WriteAttempt(http.Header, AttemptMetadata) {}
func (noopHeaderCodec) ReadResponse(int, http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{}
}

// TestFailedRequestLeavesNoAttemptInProgress verifies that selecting one worker more than
// maxWorkerTries allows does not leave it counted as busy.
func TestFailedRequestLeavesNoAttemptInProgress(t *testing.T) {
	g := &Gateway{
		options: Options{HeaderCodec: noopHeaderCodec{}}, balancer: balance.New(time.Now, ""), subsetSizes: balance.NewSubsetSizes(time.Now), firstEventLatencies: balance.NewServiceLatencies(),
		directory: directory.NewState(time.Now, nil), metrics: newMetrics(telemetry.NewRegistry()),
		slotQueues: newSlotQueues(), fastestResponses: newFastestResponses(),
		pool: worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})),
	}
	g.zoneMonitor, g.connectTimes = newZoneMonitor(g), distance.NewZoneLatencies(g.zoneDistances)
	var workers []directory.Worker
	for i := range maxWorkerTries + 2 {
		workers = append(workers, directory.Worker{ID: fmt.Sprint(i), Instance: fmt.Sprint(i), Service: "s", Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(workers, 1)
	incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	r := &request{
		gateway: g, incoming: incoming, route: &route.Route{Kind: route.Unsafe}, service: route.Service{Name: "s"},
		receivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		tried: make(map[string]bool), mayHaveRun: make(map[string]bool), terminated: make(map[string]bool),
	}
	_, err = r.send(t.Context(), "")
	var noWorker *NoWorker
	require.ErrorAs(t, err, &noWorker)
	for _, each := range workers {
		require.Zero(t, g.balancer.InFlight(each.ID), each.ID)
	}
}
