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
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// gatewayWithWorkers returns a gateway that follows drains and knows one worker in each of
// some zones, named as its zone; none answers.
func gatewayWithWorkers(zones ...string) *Gateway {
	g := &Gateway{
		options: Options{HeaderCodec: silentDialect{}, WatchZoneDrains: true}, balancer: balance.New(time.Now, zones[0]), subsets: balance.NewSubsetSizes(time.Now), waits: balance.NewServiceLatencies(),
		directory: directory.NewState(time.Now, nil), metrics: newMetrics(telemetry.NewRegistry()),
		slotQueues: newSlotQueues(), fastest: newFastestAnswers(),
		pool: worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})),
	}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	var listed []directory.Worker
	for _, zone := range zones {
		listed = append(listed, directory.Worker{ID: zone, Instance: zone, Service: "s", Zone: zone, Address: "127.0.0.1:1"})
	}
	g.directory.ReplaceWorkers(listed, 1)
	return g
}

// toolRequest returns a request that may run once.
func toolRequest(t *testing.T, g *Gateway) *request {
	incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	return &request{
		gateway: g, incoming: incoming, route: &route.Route{Kind: route.Unsafe}, service: route.Service{Name: "s"},
		received: time.Now(), deadline: time.Now().Add(time.Minute),
		tried: make(map[string]bool), ran: make(map[string]bool), gone: make(map[string]bool),
	}
}

func TestRequestIsRefusedWhileDrainsAreUnknown(t *testing.T) {
	g := gatewayWithWorkers("a", "b")
	_, err := toolRequest(t, g).send(t.Context(), "")
	var unknown *DrainsUnknown
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "s", unknown.Service)
	require.ErrorAs(t, toolRequest(t, g).checkPlaces(), &unknown)
	require.False(t, g.readiness().Ready)

	g.options.WatchZoneDrains = false
	require.NoError(t, toolRequest(t, g).checkPlaces(), "where no zone may be drained none is")
	g.options.WatchZoneDrains = true
	g.directory.ReplaceZoneDrains(nil, 1)
	require.NoError(t, toolRequest(t, g).checkPlaces())
}

func TestDrainedZonesAreNeverChosen(t *testing.T) {
	g := gatewayWithWorkers("a", "b", "c")
	g.directory.ReplaceZoneDrains([]string{"a", "c", "unheard-of"}, 5)
	for range 20 {
		chosen, found := toolRequest(t, g).choose()
		require.True(t, found)
		require.Equal(t, "b", chosen.Zone)
	}
	g.directory.ReplaceZoneDrains(nil, 6)
	zones := make(map[string]bool)
	for range 60 {
		chosen, found := toolRequest(t, g).choose()
		require.True(t, found)
		zones[chosen.Zone] = true
	}
	require.Len(t, zones, 3, "the drains were taken back")
}

func TestAllZonesDrainedIsRefusedAtOnce(t *testing.T) {
	g := gatewayWithWorkers("a", "b")
	g.directory.ReplaceZoneDrains([]string{"b", "a", "c"}, 5)
	r := toolRequest(t, g)
	began := time.Now()
	_, err := r.send(t.Context(), "")
	var drained *ZonesDrained
	require.ErrorAs(t, err, &drained)
	require.Equal(t, &ZonesDrained{Service: "s", Zones: []string{"a", "b", "c"}}, drained)
	require.Less(t, time.Since(began), time.Second)
	require.Zero(t, r.turnedAway, "no worker was asked")
	require.Equal(t, drainedComeBack, drained.Retry().After)

	g.directory.ReplaceZoneDrains([]string{"c"}, 6)
	_, err = toolRequest(t, g).send(t.Context(), "")
	var none *NoWorker
	require.ErrorAs(t, err, &none, "workers that do not answer are no drained ones")
}

// TestWorkerDrainedAfterSelectionGetsNoRequest sends to a worker that was chosen, and drained
// meanwhile, as a stream that is taken up again does; its health record stays.
func TestWorkerDrainedAfterSelectionGetsNoRequest(t *testing.T) {
	g := gatewayWithWorkers("a", "b")
	g.directory.ReplaceZoneDrains(nil, 4)
	r := toolRequest(t, g)
	chosen, found := r.choose()
	require.True(t, found)
	g.directory.ReplaceZoneDrains([]string{chosen.Zone}, 5)
	_, err := r.sendTo(t.Context(), chosen, "")
	var ineligible *NotEligible
	require.ErrorAs(t, err, &ineligible)
	require.Equal(t, eligibility.ZoneDrained, ineligible.Reason)
	requireUnharmed(t, g, chosen.ID)
}

// requireUnharmed holds that nothing is under way at a worker, and that nothing was seen of
// it.
func requireUnharmed(t *testing.T, g *Gateway, id string) {
	require.Zero(t, g.balancer.InFlight(id))
	for _, each := range g.balancer.TakeObservations() {
		require.NotEqual(t, id, each.Worker, "it counts against nobody's health")
	}
}

// TestWorkerDrainedDuringConnectGetsNoRequest drains the zone while the connection to
// its worker is being opened.
func TestWorkerDrainedDuringConnectGetsNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	got := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		n, _ := connection.Read(make([]byte, 1))
		got <- n
	}()
	g := gatewayWithWorkers("a")
	g.directory.ReplaceZoneDrains(nil, 4)
	g.pool = worker.NewPool(&net.Dialer{ControlContext: func(_ context.Context, _, _ string, _ syscall.RawConn) error {
		g.directory.ReplaceZoneDrains([]string{"a"}, 5)
		return nil
	}})
	g.balancer.Begin("a")
	_, err = toolRequest(t, g).sendTo(t.Context(), directory.Worker{ID: "a", Zone: "a", Address: listener.Addr().String()}, "")
	var ineligible *NotEligible
	require.ErrorAs(t, err, &ineligible)
	// The connection is kept for other requests until it is closed here.
	g.pool.CloseStale(func(string) bool { return false })
	require.Zero(t, <-got, "not a byte")
	requireUnharmed(t, g, "a")
}

// fullDialect reads each answer as one of a worker that is full.
type fullDialect struct{ silentDialect }

func (fullDialect) ReadResponse(int, http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{NotRun: true}
}

// TestSlotWaitersAreRefusedAfterDrain lets requests wait for full workers until
// their zones are drained.
func TestSlotWaitersAreRefusedAfterDrain(t *testing.T) {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	g := gatewayWithWorkers("a")
	g.options.HeaderCodec = fullDialect{}
	address := strings.TrimPrefix(full.URL, "http://")
	g.directory.ReplaceWorkers([]directory.Worker{{ID: "a", Instance: "a", Service: "s", Zone: "a", Address: address}}, 2)
	g.directory.ReplaceZoneDrains(nil, 4)
	const waiting = 40
	refused := make(chan error, waiting)
	for range waiting {
		r := toolRequest(t, g)
		go func() {
			_, err := r.send(t.Context(), "")
			refused <- err
		}()
	}
	require.Eventually(t, func() bool { return g.slotQueues.waiting() >= waiting-1 }, time.Minute, time.Millisecond)
	require.Empty(t, refused)
	began := time.Now()
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	for range waiting {
		var drained *ZonesDrained
		require.ErrorAs(t, <-refused, &drained)
	}
	require.Less(t, time.Since(began), time.Minute/2)
	require.Zero(t, g.slotQueues.waiting())
}

func TestDrainRefusalWakesNextSlotWaiter(t *testing.T) {
	g := gatewayWithWorkers("a")
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	first, next := toolRequest(t, g), toolRequest(t, g)
	for _, each := range []*request{first, next} {
		each.place = g.slotQueues.of("s").join(0, each.deadline)
	}
	first.leaveSlotQueue(false)
	require.Empty(t, next.place.wake, "one that is refused for another reason tells nobody")
	first.place = g.slotQueues.of("s").join(0, first.deadline)
	require.Error(t, first.checkPlaces())
	first.leaveSlotQueue(false)
	require.Len(t, next.place.wake, 1)
}

// TestStreamIsNotResumedInDrainedZone breaks a stream whose worker's zone was drained since:
// it may still run there, so it goes to another worker only where its route permits two.
func TestStreamIsNotResumedInDrainedZone(t *testing.T) {
	for attempts, allowed := range map[int]bool{1: false, 2: true} {
		g := gatewayWithWorkers("a", "b")
		g.directory.ReplaceZoneDrains([]string{"a"}, 5)
		r := toolRequest(t, g)
		r.route = &route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: attempts}
		r.workerID, r.ran["a"] = "a", true
		broken := &worker.ResponseLost{Cause: errCause}
		_, err := (&stream{request: r, begun: true}).resume(t.Context(), broken)
		var none *NoWorker
		if allowed {
			require.ErrorAs(t, err, &none, "the other worker was asked, and does not answer")
			require.True(t, r.tried["b"])
		} else {
			require.Equal(t, broken, err)
			require.False(t, r.tried["b"])
		}
		require.Empty(t, r.gone["a"], "a drained zone's worker has not ended")
		requireUnharmed(t, g, "a")
	}
}

func TestIneligibleWorkersAreLoggedOnce(t *testing.T) {
	g := gatewayWithWorkers("a", "b")
	g.directory.ReplaceZoneDrains([]string{"a"}, 5)
	r := toolRequest(t, g)
	for range 3 {
		r.choose()
	}
	var told []string
	for _, each := range r.decisions {
		if each.event == eventIneligible {
			told = append(told, fmt.Sprint(each.values...))
		}
	}
	require.Len(t, told, 1)
	for _, part := range []string{string(eligibility.ZoneDrained), "[a]", "revision"} {
		require.Contains(t, told[0], part)
	}
}

// TestUrgentWatchDelayIsWithinHalfDrainDelay holds that for any number of gateways.
func TestUrgentWatchDelayIsWithinHalfDrainDelay(t *testing.T) {
	g := &Gateway{options: Options{WatchZoneDrains: true, MaxDrainDelay: 5 * time.Second}}
	g.relay = quorum.NewDirectoryPoller(quorum.NewClient(nil, "z", nil), directory.NewState(time.Now, nil), quorum.DirectoryPollerOptions{})
	require.Equal(t, directory.GatewayTimings.MaxBackoff, g.lastRetry(true))
	require.LessOrEqual(t, g.lastRetry(false), g.options.MaxDrainDelay/2)
	for _, late := range []float64{0, 0.5, 1} {
		for patience := directory.MaxReplicaReportAge; patience < time.Minute; patience *= 2 {
			pressing := g.pressingPatience(patience, late)
			require.LessOrEqual(t, pressing+storeListing, g.options.MaxDrainDelay/2)
			require.LessOrEqual(t, pressing, patience)
			require.GreaterOrEqual(t, pressing, directory.MaxReplicaReportAge)
		}
	}
	g.options.WatchZoneDrains = false
	require.Equal(t, time.Minute, g.pressingPatience(time.Minute, 1), "as before where nothing is drained")
	require.Equal(t, time.Minute, g.bounded(time.Minute))
}

func TestRequestWaitsForFirstZoneDrains(t *testing.T) {
	g := gatewayWithWorkers("a")
	g.started = time.Now().Add(time.Minute)
	r, done := toolRequest(t, g), make(chan error, 1)
	go func() {
		r.awaitWorkers(t.Context())
		done <- r.checkPlaces()
	}()
	time.Sleep(2 * minLoggedHold)
	require.Empty(t, done)
	g.directory.ReplaceZoneDrains([]string{"b"}, 1)
	require.NoError(t, <-done)
}

// TestDrainedWorkersDoNotCountAsCapacity ejects all workers that remain: they are all that there is,
// so they take work, whatever the drained zone has.
func TestDrainedWorkersDoNotCountAsCapacity(t *testing.T) {
	g := gatewayWithWorkers("a", "b")
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
	zones := make(map[string]int)
	for range 20 {
		chosen, found := toolRequest(t, g).choose()
		require.True(t, found)
		zones[chosen.ID]++
	}
	require.Len(t, zones, 2)
	require.Contains(t, zones, "b6")
	require.Contains(t, zones, "b7")
}
