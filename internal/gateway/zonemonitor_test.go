package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// zoneDetectionTimeout is the time within which a lost zone is detected even on a loaded test
	// machine.
	zoneDetectionTimeout = 10 * time.Second
	zonePollInterval     = 20 * time.Millisecond
)

// unresponsiveAddress returns an address where connections are neither accepted nor refused, as
// behind a network partition: its accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for {
		filler, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { filler.Close() })
	}
}

// reachableAddress returns the address of a server that answers every replica call with an
// error.
func reachableAddress(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(replicav1connect.UnimplementedReplicaServiceHandler{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// gatewayWithZones returns a gateway in zone "a" that knows a replica and a worker in each
// zone, at the given addresses, and monitors the zones.
func gatewayWithZones(t *testing.T, zones map[string]string) *Gateway {
	g := gatewayWithOptions(Options{Zone: "a"})
	g.pool = worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: workerDialTimeout, UserTimeout: time.Second}))
	g.spentTokens, g.replicaHealth = newSpentTokens(time.Now), &replicaHealth{}
	state := g.directory
	g.quorum = quorum.NewClient(state, "a", transport.NewPeerClient(transport.Options{DialTimeout: 100 * time.Millisecond, UserTimeout: time.Second}, 4))
	group := &replicav1.Group{Epoch: 1}
	var workers []directory.Worker
	for zone, address := range zones {
		group.Members = append(group.Members, &replicav1.Member{Seat: uint32(len(group.Members)), Node: zone, Address: address, Zone: zone})
		workers = append(workers, directory.Worker{ID: zone, Instance: zone, Service: "s", Address: address, Zone: zone})
	}
	state.ApplyPeerGroup(group, "")
	state.ReplaceWorkers(workers, 1)
	state.ApplyConfiguration(&route.Configuration{Version: 1})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go g.zoneMonitor.run(ctx)
	return g
}

// TestLostZoneCancelsItsAttempts verifies that attempts in a lost zone are canceled and its
// workers are skipped while others are left.
func TestLostZoneCancelsItsAttempts(t *testing.T) {
	g := gatewayWithZones(t, map[string]string{"a": reachableAddress(t), "b": unresponsiveAddress(t), "c": reachableAddress(t)})
	attempt, release := g.zoneMonitor.attemptContext(t.Context(), "b")
	defer release()
	other, releaseOther := g.zoneMonitor.attemptContext(t.Context(), "c")
	defer releaseOther()
	select {
	case <-attempt.Done():
	case <-time.After(zoneDetectionTimeout):
		require.Fail(t, "the attempt was not canceled")
	}
	var lost *ZoneLost
	require.ErrorAs(t, zoneLostCause(attempt), &lost)
	require.Equal(t, "b", lost.Zone)
	require.NoError(t, other.Err())
	listed := g.directory.View().Workers.List("s")
	require.Len(t, listed, 3)
	for _, each := range g.withoutUnreachableZones(listed) {
		require.NotEqual(t, "b", each.Zone)
	}
	require.Len(t, g.withoutUnreachableZones(listed), 2)
	only := []*directory.WorkerRecord{{Worker: directory.Worker{ID: "b", Zone: "b"}}}
	require.Equal(t, only, g.withoutUnreachableZones(only), "unreachable workers are kept if no others are left")
	require.True(t, g.Ready())
}

// TestZoneWithReachableWorkersIsNotLost verifies that an answer from any machine of a zone
// keeps it reachable.
func TestZoneWithReachableWorkersIsNotLost(t *testing.T) {
	g := gatewayWithZones(t, map[string]string{"a": reachableAddress(t), "b": unresponsiveAddress(t), "c": reachableAddress(t)})
	g.directory.ReplaceWorkers([]directory.Worker{{ID: "b", Instance: "b", Service: "s", Address: reachableAddress(t), Zone: "b"}}, 2)
	require.Never(t, func() bool { return g.zoneMonitor.detector.IsUnreachable("b") }, 2*time.Second, zonePollInterval)
}

// TestGatewayInCutOffZoneIsNotReady verifies that such a gateway refuses turns at once, and
// returns the time until the load balancer sends clients elsewhere.
func TestGatewayInCutOffZoneIsNotReady(t *testing.T) {
	g := gatewayWithZones(t, map[string]string{"a": reachableAddress(t), "b": unresponsiveAddress(t), "c": unresponsiveAddress(t)})
	require.True(t, g.Ready())
	require.Eventually(t, func() bool { return !g.Ready() }, zoneDetectionTimeout, zonePollInterval)
	r := requestWithPriority(g, 0, time.Minute)
	r.route.Stateful = true
	start := time.Now()
	_, err := r.beginTurn(t.Context())
	var refused *ZoneCutOff
	require.ErrorAs(t, err, &refused)
	require.Less(t, time.Since(start), defaultRetryAfter)
	require.Positive(t, refused.RetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, loadBalancerFailoverDelay)
	require.Len(t, g.withoutUnreachableZones(g.directory.View().Workers.List("s")), 1, "only workers of the own zone are left")
	g.zoneMonitor.workerAnswered("b")
	require.True(t, g.Ready(), "the gateway is ready once another zone answers")
}

// TestStreamMayResumeElsewhereAfterZoneLoss verifies that the worker counts as terminated, so
// that the request may run at another one.
func TestStreamMayResumeElsewhereAfterZoneLoss(t *testing.T) {
	g := &Gateway{options: Options{Zone: "a"}}
	g.zoneMonitor, g.connectTimes = newZoneMonitor(g), distance.NewZoneLatencies(g.zoneDistances)
	r := &request{
		gateway: g, route: &route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 1},
		tried: make(map[string]bool), mayHaveRun: map[string]bool{"w": true}, terminated: make(map[string]bool),
	}
	zoneContext, release := r.zoneContext(t.Context(), directory.Worker{ID: "w", Zone: "b"})
	defer release()
	g.zoneMonitor.cancelAttempts("b")
	err := r.explainFailure(zoneContext, directory.Worker{ID: "w", Zone: "b"}, errors.New("cancelled"))
	var lost *worker.ResponseLost
	require.ErrorAs(t, err, &lost)
	require.Equal(t, balance.Canceled, resultOfFailure(t.Context(), err))
	require.True(t, r.terminated["w"])
	require.True(t, r.tried["w"])
	r.route.Kind, r.route.Resumable = route.Unsafe, false
	unsafe, releaseUnsafe := r.zoneContext(t.Context(), directory.Worker{ID: "w", Zone: "b"})
	defer releaseUnsafe()
	require.Equal(t, t.Context(), unsafe, "a request that may not be retried is not canceled")
}

// TestUnsentAttemptStaysNotSent covers attempts whose zone was lost and attempts canceled by
// the first-event watchdog.
func TestUnsentAttemptStaysNotSent(t *testing.T) {
	g := &Gateway{options: Options{Zone: "a"}}
	g.zoneMonitor = newZoneMonitor(g)
	r := &request{
		gateway: g, route: &route.Route{Kind: route.Streaming, Resumable: true},
		tried: make(map[string]bool), mayHaveRun: make(map[string]bool), terminated: make(map[string]bool),
	}
	chosen := directory.Worker{ID: "w", Zone: "b"}
	zoneContext, release := r.zoneContext(t.Context(), chosen)
	defer release()
	g.zoneMonitor.cancelAttempts("b")
	var notSent *worker.NotSent
	require.ErrorAs(t, r.explainFailure(zoneContext, chosen, &worker.NotSent{Cause: context.Canceled}), &notSent)
	watchdog := &firstEventWatchdog{}
	require.True(t, watchdog.decide(firstEventOverdue))
	require.ErrorAs(t, watchdog.explainFailure(&worker.NotSent{Cause: context.Canceled}), &notSent)
	var lost *worker.ResponseLost
	require.ErrorAs(t, watchdog.explainFailure(context.Canceled), &lost)
}

// echoedIDHeaderCodec reads the ID of the request that a response belongs to.
type echoedIDHeaderCodec struct{ noopHeaderCodec }

const echoedIDHeader = "Id"

func (echoedIDHeaderCodec) ReadResponse(_ int, header http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{RequestID: header.Get(echoedIDHeader)}
}

// TestCompletedAttemptKeepsItsConnection verifies that the contexts of an attempt end after its
// response is closed.
func TestCompletedAttemptKeepsItsConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, received *http.Request) {
		w.Header().Set(echoedIDHeader, received.Header.Get(echoedIDHeader))
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	g := gatewayWithZones(t, map[string]string{"a": reachableAddress(t)})
	g.options.HeaderCodec = echoedIDHeaderCodec{}
	for number := range 3 {
		incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
		require.NoError(t, err)
		r := requestWithPriority(g, 0, time.Minute)
		r.metadata.RequestID = strconv.Itoa(number)
		incoming.Header.Set(echoedIDHeader, r.metadata.RequestID)
		r.incoming, r.writer = incoming, httptest.NewRecorder()
		r.route = &route.Route{Name: "r", Kind: route.Streaming, Resumable: true, TargetLatency: time.Second}
		r.tried, r.mayHaveRun, r.terminated = make(map[string]bool), make(map[string]bool), make(map[string]bool)
		chosen := directory.Worker{ID: "a", Zone: "a", Address: address}
		g.balancer.Begin(chosen.ID)
		attempt, err := r.sendTo(t.Context(), chosen, "")
		require.NoError(t, err)
		require.NoError(t, (&stream{request: r}).forwardEvents(t.Context(), attempt))
	}
	require.EqualValues(t, 1, connections.Load())
}
