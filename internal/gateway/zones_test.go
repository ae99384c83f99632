package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// zoneJudged is within what time a zone is judged on a loaded test machine.
	zoneJudged = 10 * time.Second
	zonePolls  = 20 * time.Millisecond
)

// darkAddress returns an address at which connections are neither taken nor refused, as at a
// machine behind a cut: its queue of new connections is full.
func darkAddress(t *testing.T) string {
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

// answeringAddress returns the address of a replica that answers every call with a failure.
func answeringAddress(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(replicav1connect.UnimplementedReplicaServiceHandler{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// gatewayAmongZones returns a gateway of zone "a" that knows a replica and a worker in each
// zone, at these addresses, and judges zones.
func gatewayAmongZones(t *testing.T, zones map[string]string) *Gateway {
	known := directory.NewState(time.Now, nil)
	dialer := transport.NewDialer(transport.Options{DialTimeout: workerDialTimeout, UserTimeout: time.Second})
	g := &Gateway{
		options: Options{HeaderCodec: silentDialect{}, Zone: "a"}, directory: known, balancer: balance.New(time.Now, "a"), subsets: balance.NewSubsetSizes(time.Now),
		waits: balance.NewServiceLatencies(), metrics: newMetrics(telemetry.NewRegistry()), slotQueues: newSlotQueues(),
		fastest: newFastestAnswers(), spent: newSpentTokens(time.Now), pool: worker.NewPool(dialer), state: &stateHealth{},
		quorum: quorum.NewClient(known, "a", transport.NewPeerClient(transport.Options{DialTimeout: 100 * time.Millisecond, UserTimeout: time.Second}, 4)),
	}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	group := &replicav1.Group{Epoch: 1}
	var workers []directory.Worker
	for zone, address := range zones {
		group.Members = append(group.Members, &replicav1.Member{Seat: uint32(len(group.Members)), Node: zone, Address: address, Zone: zone})
		workers = append(workers, directory.Worker{ID: zone, Instance: zone, Service: "s", Address: address, Zone: zone})
	}
	known.ApplyPeerGroup(group, "")
	known.ReplaceWorkers(workers, 1)
	known.ApplyConfiguration(&route.Configuration{Version: 1})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go g.zones.run(ctx)
	return g
}

// TestLostZoneCancelsItsAttempts: attempts at its workers end, and its workers are passed over, as
// long as others are left.
func TestLostZoneCancelsItsAttempts(t *testing.T) {
	g := gatewayAmongZones(t, map[string]string{"a": answeringAddress(t), "b": darkAddress(t), "c": answeringAddress(t)})
	attempt, release := g.zones.during(t.Context(), "b")
	defer release()
	other, releaseOther := g.zones.during(t.Context(), "c")
	defer releaseOther()
	select {
	case <-attempt.Done():
	case <-time.After(zoneJudged):
		require.Fail(t, "the attempt goes on")
	}
	var lost *ZoneLost
	require.ErrorAs(t, zoneLost(attempt), &lost)
	require.Equal(t, "b", lost.Zone)
	require.NoError(t, other.Err())
	listed := g.directory.View().Workers.List("s")
	require.Len(t, listed, 3)
	for _, each := range g.reached(listed) {
		require.NotEqual(t, "b", each.Zone)
	}
	require.Len(t, g.reached(listed), 2)
	only := []*directory.WorkerRecord{{Worker: directory.Worker{ID: "b", Zone: "b"}}}
	require.Equal(t, only, g.reached(only), "nothing else is left")
	require.True(t, g.Ready())
}

// TestZoneWithReachableWorkersIsNotLost: what speaks for a zone is anybody in it.
func TestZoneWithReachableWorkersIsNotLost(t *testing.T) {
	g := gatewayAmongZones(t, map[string]string{"a": answeringAddress(t), "b": darkAddress(t), "c": answeringAddress(t)})
	g.directory.ReplaceWorkers([]directory.Worker{{ID: "b", Instance: "b", Service: "s", Address: answeringAddress(t), Zone: "b"}}, 2)
	require.Never(t, func() bool { return g.zones.detector.IsUnreachable("b") }, 2*time.Second, zonePolls)
}

// TestGatewayInCutOffZoneIsNotReady: it refuses turns at once, and tells when the entry
// has led clients elsewhere.
func TestGatewayInCutOffZoneIsNotReady(t *testing.T) {
	g := gatewayAmongZones(t, map[string]string{"a": answeringAddress(t), "b": darkAddress(t), "c": darkAddress(t)})
	require.True(t, g.Ready())
	require.Eventually(t, func() bool { return !g.Ready() }, zoneJudged, zonePolls)
	r := requestOfKind(g, 0, time.Minute)
	r.route.Stateful = true
	began := time.Now()
	_, err := r.beginTurn(t.Context())
	var refused *ZoneCutOff
	require.ErrorAs(t, err, &refused)
	require.Less(t, time.Since(began), comeBackAfter)
	require.Positive(t, refused.RetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, entryLag)
	require.Len(t, g.reached(g.directory.View().Workers.List("s")), 1, "its own workers")
	g.zones.answered("b")
	require.True(t, g.Ready(), "another zone answers")
}

// TestStreamMayResumeElsewhereAfterZoneLoss: the worker counts as ended, so that the request
// may run at another one.
func TestStreamMayResumeElsewhereAfterZoneLoss(t *testing.T) {
	g := &Gateway{options: Options{Zone: "a"}}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	r := &request{
		gateway: g, route: &route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 1},
		tried: make(map[string]bool), ran: map[string]bool{"w": true}, gone: make(map[string]bool),
	}
	zoned, release := r.watchZone(t.Context(), directory.Worker{ID: "w", Zone: "b"})
	defer release()
	g.zones.lost("b")
	err := r.causeOf(zoned, directory.Worker{ID: "w", Zone: "b"}, errors.New("cancelled"))
	var lost *worker.ResponseLost
	require.ErrorAs(t, err, &lost)
	require.Equal(t, balance.Canceled, verdictOfBreak(t.Context(), err))
	require.True(t, r.gone["w"])
	require.True(t, r.tried["w"])
	r.route.Kind, r.route.Resumable = route.Unsafe, false
	unsafe, end := r.watchZone(t.Context(), directory.Worker{ID: "w", Zone: "b"})
	defer end()
	require.Equal(t, t.Context(), unsafe, "what may not be repeated waits for its answer")
}

// TestUnsentAttemptStaysNotSent also where its zone was lost meanwhile, or it was given
// up for silence.
func TestUnsentAttemptStaysNotSent(t *testing.T) {
	g := &Gateway{options: Options{Zone: "a"}}
	g.zones = newZoneWatch(g)
	r := &request{
		gateway: g, route: &route.Route{Kind: route.Streaming, Resumable: true},
		tried: make(map[string]bool), ran: make(map[string]bool), gone: make(map[string]bool),
	}
	chosen := directory.Worker{ID: "w", Zone: "b"}
	zoned, release := r.watchZone(t.Context(), chosen)
	defer release()
	g.zones.lost("b")
	var notSent *worker.NotSent
	require.ErrorAs(t, r.causeOf(zoned, chosen, &worker.NotSent{Cause: context.Canceled}), &notSent)
	silent := &silenceWatch{}
	silent.expired.Store(true)
	require.ErrorAs(t, silent.blame(&worker.NotSent{Cause: context.Canceled}), &notSent)
	var lost *worker.ResponseLost
	require.ErrorAs(t, silent.blame(context.Canceled), &lost)
}

// TestCompletedAttemptKeepsItsConnection: the watches of an attempt end after its answer.
func TestCompletedAttemptKeepsItsConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
	g := gatewayAmongZones(t, map[string]string{"a": answeringAddress(t)})
	incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	for range 3 {
		r := requestOfKind(g, 0, time.Minute)
		r.incoming, r.writer = incoming, httptest.NewRecorder()
		r.route = &route.Route{Name: "r", Kind: route.Streaming, Resumable: true, TargetLatency: time.Second}
		r.tried, r.ran, r.gone = make(map[string]bool), make(map[string]bool), make(map[string]bool)
		chosen := directory.Worker{ID: "a", Zone: "a", Address: address}
		g.balancer.Begin(chosen.ID)
		one, err := r.sendTo(t.Context(), chosen, "")
		require.NoError(t, err)
		require.NoError(t, (&stream{request: r}).pass(t.Context(), one))
	}
	require.EqualValues(t, 1, connections.Load())
}
