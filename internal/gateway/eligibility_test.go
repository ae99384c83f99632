package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// gatewayWithUnreachableWorkers returns a gateway that watches zone drains and knows one
// unreachable worker in each zone, with the zone's name as its id.
func gatewayWithUnreachableWorkers(zones ...string) *Gateway {
	g := gatewayWithOptions(Options{Zone: zones[0], WatchZoneDrains: true})
	var listed []directory.Worker
	for _, zone := range zones {
		listed = append(listed, directory.Worker{ID: zone, Instance: zone, Service: "s", Zone: zone, Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(listed, 1)
	return g
}

// newUnsafeRequest returns a request that may run only once.
func newUnsafeRequest(t *testing.T, g *Gateway) *request {
	return requestOnRoute(t, g, &route.Route{Kind: route.Unsafe})
}

func TestRequestIsRefusedWhileDrainsAreUnknown(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b")
	_, err := newUnsafeRequest(t, g).send(t.Context(), "")
	var unknown *DrainsUnknown
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "s", unknown.Service)
	require.ErrorAs(t, newUnsafeRequest(t, g).checkEligibleWorkers(), &unknown)
	require.False(t, g.readiness().Ready)

	g.options.WatchZoneDrains = false
	require.NoError(t, newUnsafeRequest(t, g).checkEligibleWorkers(), "without zone drains every zone is eligible")
	g.options.WatchZoneDrains = true
	g.directory.ReplaceZoneDrains(nil, 1)
	require.NoError(t, newUnsafeRequest(t, g).checkEligibleWorkers())
}

func TestDrainedZonesAreNeverChosen(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b", "c")
	g.directory.ReplaceZoneDrains([]string{"a", "c", "unheard-of"}, 5)
	for range 20 {
		chosen, found := newUnsafeRequest(t, g).choose()
		require.True(t, found)
		require.Equal(t, "b", chosen.Zone)
	}
	g.directory.ReplaceZoneDrains(nil, 6)
	zones := make(map[string]bool)
	for range 60 {
		chosen, found := newUnsafeRequest(t, g).choose()
		require.True(t, found)
		zones[chosen.Zone] = true
	}
	require.Len(t, zones, 3, "the drains have ended")
}

func TestAllZonesDrainedIsRefusedAtOnce(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b")
	g.directory.ReplaceZoneDrains([]string{"b", "a", "c"}, 5)
	r := newUnsafeRequest(t, g)
	start := time.Now()
	_, err := r.send(t.Context(), "")
	var drained *ZonesDrained
	require.ErrorAs(t, err, &drained)
	require.Equal(t, &ZonesDrained{Service: "s", Zones: []string{"a", "b", "c"}}, drained)
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, r.rejections, "no worker was tried")
	require.Equal(t, drainedRetryAfter, drained.Retry().After)

	g.directory.ReplaceZoneDrains([]string{"c"}, 6)
	_, err = newUnsafeRequest(t, g).send(t.Context(), "")
	var noWorker *NoWorker
	require.ErrorAs(t, err, &noWorker, "unreachable workers are not reported as drained")
}

// TestWorkerDrainedAfterSelectionGetsNoRequest drains the zone of a worker between its
// selection and the send, which may also happen when a stream resumes. The worker's health must
// not be affected.
func TestWorkerDrainedAfterSelectionGetsNoRequest(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b")
	g.directory.ReplaceZoneDrains(nil, 4)
	r := newUnsafeRequest(t, g)
	chosen, found := r.choose()
	require.True(t, found)
	g.directory.ReplaceZoneDrains([]string{chosen.Zone}, 5)
	_, err := r.sendTo(t.Context(), chosen, "")
	var ineligible *NotEligible
	require.ErrorAs(t, err, &ineligible)
	require.Equal(t, eligibility.ZoneDrained, ineligible.Reason)
	requireNoEffectOnWorker(t, g, chosen.ID)
}

// requireNoEffectOnWorker verifies that a worker has no attempt in progress and no observation
// recorded.
func requireNoEffectOnWorker(t *testing.T, g *Gateway, id string) {
	require.Zero(t, g.balancer.InFlight(id))
	for _, each := range g.balancer.TakeObservations() {
		require.NotEqual(t, id, each.Worker, "no observation of the worker is recorded")
	}
}

// TestWorkerDrainedDuringConnectGetsNoRequest drains the zone while the connection to its
// worker is being opened.
func TestWorkerDrainedDuringConnectGetsNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	received := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		n, _ := connection.Read(make([]byte, 1))
		received <- n
	}()
	g := gatewayWithUnreachableWorkers("a")
	g.directory.ReplaceZoneDrains(nil, 4)
	g.pool = worker.NewPool(&net.Dialer{ControlContext: func(_ context.Context, _, _ string, _ syscall.RawConn) error {
		g.directory.ReplaceZoneDrains([]string{"a"}, 5)
		return nil
	}})
	g.balancer.Begin("a")
	_, err = newUnsafeRequest(t, g).sendTo(t.Context(), directory.Worker{ID: "a", Zone: "a", Address: listener.Addr().String()}, "")
	var ineligible *NotEligible
	require.ErrorAs(t, err, &ineligible)
	// The connection is kept for other requests until the pool is swept.
	g.pool.CloseStale(func(string) bool { return false })
	require.Zero(t, <-received, "nothing is sent")
	requireNoEffectOnWorker(t, g, "a")
}

// fullHeaderCodec treats each response as the rejection of a full worker.
type fullHeaderCodec struct{ noopHeaderCodec }

func (fullHeaderCodec) ReadResponse(int, http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{NotRun: true}
}

// TestSlotWaitersAreRefusedAfterDrain drains the zones of full workers while requests wait for
// a slot.
func TestSlotWaitersAreRefusedAfterDrain(t *testing.T) {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	g := gatewayWithUnreachableWorkers("a")
	g.options.HeaderCodec = fullHeaderCodec{}
	address := strings.TrimPrefix(full.URL, "http://")
	g.directory.ReplaceWorkers([]directory.Worker{{ID: "a", Instance: "a", Service: "s", Zone: "a", Address: address}}, 2)
	g.directory.ReplaceZoneDrains(nil, 4)
	const waiting = 40
	refused := make(chan error, waiting)
	for range waiting {
		r := newUnsafeRequest(t, g)
		go func() {
			_, err := r.send(t.Context(), "")
			refused <- err
		}()
	}
	require.Eventually(t, func() bool { return g.slotQueues.waitingCount() >= waiting-1 }, time.Minute, time.Millisecond)
	require.Empty(t, refused)
	start := time.Now()
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	for range waiting {
		var drained *ZonesDrained
		require.ErrorAs(t, <-refused, &drained)
	}
	require.Less(t, time.Since(start), time.Minute/2)
	require.Zero(t, g.slotQueues.waitingCount())
}

func TestDrainRefusalWakesNextSlotWaiter(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a")
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	first, next := newUnsafeRequest(t, g), newUnsafeRequest(t, g)
	for _, each := range []*request{first, next} {
		each.slotTicket = g.slotQueues.getOrCreate("s").enqueue(0, each.deadline)
	}
	first.leaveSlotQueue(false)
	require.Empty(t, next.slotTicket.wake, "a request refused for another reason wakes nobody")
	first.slotTicket = g.slotQueues.getOrCreate("s").enqueue(0, first.deadline)
	require.Error(t, first.checkEligibleWorkers())
	first.leaveSlotQueue(false)
	require.Len(t, next.slotTicket.wake, 1)
}

// TestStreamIsNotResumedInDrainedZone breaks a stream after the zone of its worker was drained.
// The request may still run there, so it goes to another worker only if its route permits two
// attempts.
func TestStreamIsNotResumedInDrainedZone(t *testing.T) {
	for attempts, allowed := range map[int]bool{1: false, 2: true} {
		g := gatewayWithUnreachableWorkers("a", "b")
		g.directory.ReplaceZoneDrains([]string{"a"}, 5)
		r := newUnsafeRequest(t, g)
		r.route = &route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: attempts}
		r.lastWorkerID, r.mayHaveRun["a"] = "a", true
		cause := &worker.ResponseLost{Cause: errCause}
		_, err := (&stream{request: r, headersSent: true}).resume(t.Context(), cause)
		var noWorker *NoWorker
		if allowed {
			require.ErrorAs(t, err, &noWorker, "the other worker was tried and is unreachable")
			require.True(t, r.tried["b"])
		} else {
			require.Equal(t, cause, err)
			require.False(t, r.tried["b"])
		}
		require.Empty(t, r.terminated["a"], "a worker in a drained zone does not count as terminated")
		requireNoEffectOnWorker(t, g, "a")
	}
}

func TestIneligibleWorkersAreLoggedOnce(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b")
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	r := newUnsafeRequest(t, g)
	for range 3 {
		r.choose()
	}
	var messages []string
	for _, each := range r.logEntries {
		if each.event == eventWorkersIneligible {
			messages = append(messages, fmt.Sprint(each.values...))
		}
	}
	require.Len(t, messages, 1)
	for _, part := range []string{string(eligibility.ZoneDrained), "[a]", "revision"} {
		require.Contains(t, messages[0], part)
	}
}

// TestUrgentWatchDelayIsWithinHalfDrainDelay verifies the limit for delays of any number of
// gateways.
func TestUrgentWatchDelayIsWithinHalfDrainDelay(t *testing.T) {
	g := &Gateway{options: Options{WatchZoneDrains: true, MaxDrainDelay: 5 * time.Second}}
	g.poller = quorum.NewDirectoryPoller(quorum.NewClient(nil, "z", http.DefaultClient), directory.NewState(time.Now, nil), quorum.DirectoryPollerOptions{})
	require.Equal(t, directory.GatewayTimings.MaxBackoff, g.maxStoreBackoff(true))
	require.LessOrEqual(t, g.maxStoreBackoff(false), g.options.MaxDrainDelay/2)
	for _, startOffset := range []float64{0, 0.5, 1} {
		for watchDelay := directory.MaxReplicaReportAge; watchDelay < time.Minute; watchDelay *= 2 {
			urgent := g.urgentWatchDelay(watchDelay, startOffset)
			require.LessOrEqual(t, urgent+maxStoreListTime, g.options.MaxDrainDelay/2)
			require.LessOrEqual(t, urgent, watchDelay)
			require.GreaterOrEqual(t, urgent, directory.MaxReplicaReportAge)
		}
	}
	g.options.WatchZoneDrains = false
	require.Equal(t, time.Minute, g.urgentWatchDelay(time.Minute, 1), "the delay is unchanged without zone drains")
	require.Equal(t, time.Minute, g.capAtHalfDrainDelay(time.Minute))
}

func TestRequestWaitsForFirstZoneDrains(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a")
	g.startedAt = time.Now().Add(time.Minute)
	r, done := newUnsafeRequest(t, g), make(chan error, 1)
	go func() {
		r.awaitWorkers(t.Context())
		done <- r.checkEligibleWorkers()
	}()
	time.Sleep(2 * minLoggedWait)
	require.Empty(t, done)
	g.directory.ReplaceZoneDrains([]string{"b"}, 1)
	require.NoError(t, <-done)
}

// TestDrainedWorkersDoNotCountAsCapacity ejects all workers outside the drained zone. They
// still get requests, because the drained workers must not count as the remaining capacity.
func TestDrainedWorkersDoNotCountAsCapacity(t *testing.T) {
	g := gatewayWithUnreachableWorkers("a", "b")
	var listed []directory.Worker
	for i := range 8 {
		zone := []string{"a", "b"}[i/6]
		listed = append(listed, directory.Worker{ID: fmt.Sprintf("%s%d", zone, i), Instance: fmt.Sprintf("%s%d", zone, i), Service: "s", Zone: zone, Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(listed, 2)
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	for _, each := range listed[6:] {
		for range 4 {
			g.balancer.Begin(each.ID)
			g.balancer.Done(each.ID, balance.Failed)
		}
	}
	selections := make(map[string]int)
	for range 20 {
		chosen, found := newUnsafeRequest(t, g).choose()
		require.True(t, found)
		selections[chosen.ID]++
	}
	require.Len(t, selections, 2)
	require.Contains(t, selections, "b6")
	require.Contains(t, selections, "b7")
}
