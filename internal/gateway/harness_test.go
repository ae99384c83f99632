package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
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

// gatewayWithOptions returns a gateway that can send requests to workers and has no replicas. It
// listens nowhere and knows no workers.
func gatewayWithOptions(options Options) *Gateway {
	if options.HeaderCodec == nil {
		options.HeaderCodec = noopHeaderCodec{}
	}
	g := &Gateway{
		options: options, balancer: balance.New(time.Now, options.Zone), subsetSizes: balance.NewSubsetSizes(time.Now),
		firstEventLatencies: balance.NewServiceLatencies(), directory: directory.NewState(time.Now, nil), metrics: newMetrics(telemetry.NewRegistry()),
		slotQueues: newSlotQueues(), fastestResponses: newFastestResponses(), coldWorkers: newColdWorkers(func() bool { return false }),
		receiveBuffers: newReceiveBuffers(maxReceiveBufferBytes, maxBufferedBytes, time.Now),
		pool:           worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})),
	}
	g.quarantine = quarantine.NewTable(time.Now)
	g.poller = quorum.NewDirectoryPoller(quorum.NewClient(g.directory, options.Zone, http.DefaultClient), g.directory, quorum.DirectoryPollerOptions{Quarantine: g.quarantine})
	g.zoneMonitor, g.connectTimes = newZoneMonitor(g), distance.NewZoneLatencies(g.zoneDistances)
	return g
}

// requestOnRoute returns a request for service "s" on a route, with a minute until its deadline.
func requestOnRoute(t *testing.T, g *Gateway, on *route.Route) *request {
	incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	return &request{
		gateway: g, incoming: incoming, route: on, service: route.Service{Name: "s"},
		receivedAt: time.Now(), deadline: time.Now().Add(time.Minute),
		tried: make(map[string]bool), mayHaveRun: make(map[string]bool), terminated: make(map[string]bool),
	}
}
