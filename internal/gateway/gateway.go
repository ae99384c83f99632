package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/logsink"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// defaultRequestTimeout applies if neither the route nor the client sets a timeout.
	defaultRequestTimeout  = 30 * time.Second
	defaultMaxBodyBytes    = 4 << 20
	defaultRecordRetention = 60 * time.Second
	// maxWorkerTries bounds the number of workers tried before a request is refused.
	maxWorkerTries = 6
	// maxResumes bounds how often a broken stream is resumed.
	maxResumes = 3
	// workerConnectionDivisor is the reciprocal of the fraction of a worker's connections that
	// one gateway may use. A gateway may always use minWorkerConnections.
	workerConnectionDivisor = 4
	minWorkerConnections    = 8
	// maxBufferedResponseBytes is the size up to which a response is read completely before it
	// is forwarded. smallResponseBytes bounds how much of a rejection is read.
	maxBufferedResponseBytes = 128 << 10
	smallResponseBytes       = 16 << 10
	// rejectionBodyTimeout is how long a request that was rejected waits for the rest of the rejection: it saves a
	// connection, and the next worker waits for nothing else.
	rejectionBodyTimeout = 10 * time.Millisecond
	// maxResponseBytes bounds the body of a worker's response, a stream's too. It is four times the largest request
	// body that is allowed by default.
	maxResponseBytes = 4 * defaultMaxBodyBytes
	// largeHeadsDivisor is the reciprocal of the fraction of process memory that large heads of responses may take
	// together. Heads of common size take none of it.
	largeHeadsDivisor = 32

	// defaultResponseStartTimeout is how long a worker may take to begin its response if the
	// route has no target latency. Otherwise the limit is the target times one of these
	// multiples.
	defaultResponseStartTimeout = 2 * time.Second
	plainTargetMultiple         = 2
	streamTargetMultiple        = 5
	// retryTimeoutMargin is added to the response start timeout before a request is retried at
	// another worker, so that the delay is first counted against the silent worker.
	retryTimeoutMargin = 20 * time.Millisecond
	// retriesPerSuccess is how many retries each success allows. retriesPerSecond is how many
	// are allowed a second even without any success.
	retriesPerSuccess = 0.1
	retriesPerSecond  = limit.Rate(1)

	workerDialTimeout  = 150 * time.Millisecond
	workerUserTimeout  = 500 * time.Millisecond
	clientUserTimeout  = 5 * time.Second
	replicaDialTimeout = 300 * time.Millisecond
	replicaUserTimeout = 700 * time.Millisecond
	// maxReplicaConnections is the limit of connections to each replica. Some are left for calls that
	// no request waits for.
	maxReplicaConnections = quorum.MaxMemberCalls + 4
	sweepInterval         = time.Second
)

// Options configure a gateway.
type Options struct {
	// Node is the name of this machine and Zone its zone.
	Node, Zone string
	// IngressAddress and ReadinessAddress are IP:port addresses to listen on.
	IngressAddress, ReadinessAddress string
	// ForwarderAddress is the IP:port address that serves calls to replicas on behalf of gateways
	// that cannot reach them; empty disables it.
	ForwarderAddress string
	// Seeds are addresses of replicas, possibly stale.
	Seeds []string
	// ShutdownGracePeriod is the time limit for a graceful stop.
	ShutdownGracePeriod time.Duration
	HeaderCodec         HeaderCodec
	// MetricsAddress is the IP:port address that serves metrics; empty disables it.
	MetricsAddress string
	// LogSink determines whether log entries of successful requests should be dropped; nil keeps
	// them all.
	LogSink *logsink.Sink
	// MemoryBytes is the memory available to the process; 0 if unknown.
	MemoryBytes int64
	// RegionOf maps each zone to its region.
	RegionOf map[string]string
	// WatchZoneDrains is set if operators may drain zones.
	WatchZoneDrains bool
	// MaxDrainDelay is the time within which a drained zone must stop getting requests.
	MaxDrainDelay time.Duration
	// DisabledMechanisms lists mechanisms that an experiment disables.
	DisabledMechanisms mechanism.Disabled
	// EnabledMechanisms lists optional mechanisms that are enabled.
	EnabledMechanisms mechanism.Enabled
}

// Gateway serves client requests.
type Gateway struct {
	options     Options
	directory   *directory.State
	watcher     *directory.Watcher
	poller      *quorum.DirectoryPoller
	store       directory.Store
	quorum      *quorum.Client
	turns       *turnCache
	spentTokens *spentTokens
	// allowances holds quota permits of tenants. admittedPrograms holds the programs whose
	// requests were recently admitted, and lentPrograms those with recent budget loans.
	allowances       allowanceMap
	granter          quotaGranter
	admittedPrograms *recentPrograms
	lentPrograms     *recentPrograms
	pool             *worker.Pool
	balancer         *balance.Balancer
	// subsetSizes holds the number of workers that requests choose from, by service.
	subsetSizes         *balance.SubsetSizes
	firstEventLatencies *balance.ServiceLatencies
	// zoneDistances classifies zones by distance, and connectTimes holds the connect times
	// measured to each zone.
	zoneDistances distance.Topology
	connectTimes  *distance.ZoneLatencies
	splitter      *route.Splitter
	retryBudget   *limit.RetryBudget
	replicaHealth *replicaHealth
	zoneMonitor   *zoneMonitor
	registry      *telemetry.Registry
	metrics       *metrics
	// connections tracks client connections.
	connections *connectionTracker
	// responseBudget counts response bytes buffered for slow clients, and bodyBudget request bytes
	// buffered until the requests end. receiveBuffers has a budget of its own.
	responseBudget, bodyBudget *flowcontrol.Budget

	// startedAt is the start time of this process.
	startedAt time.Time
	// graceNanoseconds is the time limit for a graceful stop, in nanoseconds.
	graceNanoseconds atomic.Int64
	inFlight         atomic.Int64
	// slotQueues holds the requests that wait for full workers.
	slotQueues *slotQueues
	// coldWorkers tracks the workers that get few requests while they are cold; nil disables
	// that.
	coldWorkers *coldWorkers
	// fastestResponses holds the shortest recent response time of each service by route.
	fastestResponses *fastestResponses
	// receiveBuffers decides how much of each response the kernel buffers.
	receiveBuffers *receiveBuffers
	// quarantine holds the counts of requests under which workers have ended. lateExaminations counts
	// the workers that are examined after a probe without an answer.
	quarantine       *quarantine.Table
	lateExaminations atomic.Int64
	// replicasKnownAt is when a request first found that this gateway knows where replicas are.
	replicasKnownAt atomic.Pointer[time.Time]
	// streamVersions holds the versions of streams that recently began here, and versionHistory the versions
	// that services have had.
	streamVersions *streamVersions
	versionHistory *directory.VersionHistory
	stopping       atomic.Bool
	// gracePeriod is the time that a planned stop leaves for requests; nil before one.
	gracePeriod atomic.Pointer[gracePeriod]
	// requestDurations holds how long requests have recently lasted.
	requestDurations *requestDurations
	// requestContext is that of all requests; endRequests ends it with a cause.
	requestContext context.Context
	endRequests    context.CancelCauseFunc
}

// New returns a gateway; Run starts it.
func New(options Options, store directory.Store) *Gateway {
	if options.DisabledMechanisms.Has(mechanism.Forwarding) {
		options.ForwarderAddress = ""
	}
	distances := zoneDistances(options)
	connectTimes := distance.NewZoneLatencies(distances)
	g := &Gateway{
		options: options, store: store, firstEventLatencies: balance.NewServiceLatencies(), splitter: route.NewSplitter(),
		zoneDistances: distances, connectTimes: connectTimes,
		balancer:         balance.NewMultiRegion(time.Now, preferredWorkerZone(options), connectTimes, distances),
		subsetSizes:      balance.NewSubsetSizes(time.Now),
		retryBudget:      limit.NewRetryBudget(time.Now(), retriesPerSuccess, retriesPerSecond),
		connections:      newConnectionTracker(time.Now),
		responseBudget:   flowcontrol.NewBudget(bufferedBytesLimit(options), time.Now),
		bodyBudget:       flowcontrol.NewBudget(bufferedBytesLimit(options), time.Now),
		startedAt:        time.Now(),
		slotQueues:       newSlotQueues(),
		fastestResponses: newFastestResponses(),
		requestDurations: &requestDurations{},
		quarantine:       quarantine.NewTable(time.Now),
		receiveBuffers:   newReceiveBuffers(grantedReceiveBuffer(options), bufferedBytesLimit(options), time.Now),
	}
	g.graceNanoseconds.Store(int64(options.ShutdownGracePeriod))
	g.requestContext, g.endRequests = context.WithCancelCause(context.Background())
	g.coldWorkers = newColdWorkers(g.updatesAreStale)
	logChanges := directory.LogChanges()
	g.versionHistory = directory.NewVersionHistory(time.Now)
	g.directory = directory.NewState(time.Now, func(view *directory.View, update directory.WorkerUpdate) {
		logChanges(view, update)
		g.coldWorkers.tracker.Update(view)
		if g.versionHistory.Update(view, update, false) {
			// Starts that still wait were not written at once, as their service had one version.
			go g.quorum.WriteDeferred(context.Background())
		}
	})
	g.registry = telemetry.NewRegistry()
	g.metrics = newMetrics(g.registry)
	g.defineGauges(g.registry)
	g.watcher = directory.NewWatcher(store, g.directory, directory.GatewayTimings)
	g.watcher.RegisterMetrics(g.registry)
	if options.WatchZoneDrains {
		g.watcher.EnableZoneDrains(g.capAtHalfDrainDelay(directory.WatchTimeout))
	}
	client := transport.NewPeerClient(transport.Options{DialTimeout: replicaDialTimeout, UserTimeout: replicaUserTimeout}, maxReplicaConnections)
	g.quorum = quorum.NewClient(g.directory, options.Zone, client)
	g.quorum.LimitHeld(bufferedBytesLimit(options))
	g.quorum.RegisterMetrics(g.registry)
	g.quorum.DisableMechanisms(options.DisabledMechanisms)
	g.quorum.SetTopology(distances)
	g.quorum.MeterTraffic(g.metrics.traffic)
	g.quorum.SetZoneRegions(options.RegionOf)
	g.replicaHealth = newReplicaHealth(g.quorum, g.quorum.AnsweredWithin)
	g.zoneMonitor = newZoneMonitor(g)
	g.poller = quorum.NewDirectoryPoller(g.quorum, g.directory, quorum.DirectoryPollerOptions{
		Seeds: options.Seeds, ForwarderAddress: options.ForwarderAddress, Workers: workerReports(g.balancer, options), Quarantine: g.quarantine,
	})
	g.granter = g.quorum
	g.spentTokens = newSpentTokens(time.Now)
	g.streamVersions = newStreamVersions(time.Now)
	g.admittedPrograms = newRecentPrograms(time.Now)
	g.lentPrograms = newRecentPrograms(time.Now)
	g.turns = newTurnCache(g.quorum, turnCacheLimit(options))
	g.turns.zone, g.turns.regionOf = options.Zone, options.RegionOf
	g.pool = worker.NewPoolWithOptions(transport.Options{
		DialTimeout: workerDialTimeout, UserTimeout: workerUserTimeout, ReceiveBuffer: workerReceiveBufferBytes,
	})
	g.pool.LimitLargeHeads(largeHeadsLimit(options))
	return g
}

// largeHeadsLimit returns how many bytes large heads of responses may take together.
func largeHeadsLimit(options Options) int64 {
	if options.MemoryBytes <= 0 {
		return worker.DefaultLargeHeadsBytes
	}
	return min(worker.DefaultLargeHeadsBytes, options.MemoryBytes/largeHeadsDivisor)
}

// zoneDistances returns the distances of zones from this gateway's zone.
func zoneDistances(options Options) distance.Topology {
	if options.DisabledMechanisms.Has(mechanism.RegionPreference) {
		return distance.NewTopology(options.Zone, nil)
	}
	return distance.NewTopology(options.Zone, options.RegionOf)
}

// preferredWorkerZone returns the zone whose workers are preferred; empty for none.
func preferredWorkerZone(options Options) string {
	if options.DisabledMechanisms.Has(mechanism.LocalWorkers) {
		return ""
	}
	return options.Zone
}

// workerReports returns the exchange of worker observations with other gateways, or nil if it
// is disabled.
func workerReports(balancer *balance.Balancer, options Options) quorum.WorkerObservations {
	if options.DisabledMechanisms.Has(mechanism.SharedWorkerReports) {
		return nil
	}
	return balancer
}

// Reload applies changed settings: the seeds and the time limit for a graceful stop.
func (g *Gateway) Reload(seeds []string, grace time.Duration) {
	g.poller.SetSeeds(seeds)
	g.graceNanoseconds.Store(int64(grace))
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	err := g.run(ctx)
	if err != nil {
		eventUnexpectedExit.Log("cause", err.Error())
	}
	return err
}

func (g *Gateway) run(ctx context.Context) error {
	workContext, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g.watchStore(workContext)
	go g.quorum.RunDeferred(workContext)
	go g.sweep(workContext)
	go func() {
		for pause.For(workContext, connectionSweepInterval) {
			g.closeOverdueConnections()
		}
	}()
	go g.replicaHealth.probeWhileIsolated(workContext)
	if !g.disabled(mechanism.UnreachableZones) {
		go g.zoneMonitor.run(workContext)
	}
	readiness, err := transport.Listen(workContext, g.options.ReadinessAddress, clientUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	discard := log.New(io.Discard, "", 0)
	readinessServer := &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: discard}
	go readinessServer.Serve(readiness)
	defer readinessServer.Close()
	if err := telemetry.Serve(workContext, g.options.MetricsAddress, g.registry, g.readiness); err != nil {
		return err
	}
	if err := g.serveForwarder(workContext); err != nil {
		return err
	}
	ingress, err := transport.ListenForSlowPeers(workContext, g.options.IngressAddress, clientUserTimeout, clientSendBufferBytes)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: serverTimeout, IdleTimeout: serverTimeout, ErrorLog: discard,
		ConnState: g.connections.stateChanged, ConnContext: g.connections.withConnection,
		BaseContext: func(net.Listener) context.Context { return g.requestContext },
	}
	eventStarted.Log("node", g.options.Node, "ingress", g.options.IngressAddress)
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- server.Serve(ingress) }()
	go func() {
		if err := g.pollReplicas(workContext); err != nil {
			serveErrors <- err
		}
	}()
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return &failure.Internal{Cause: err}
	}
	g.stop(server, ingress)
	eventStopped.Log("node", g.options.Node, "under_way", g.inFlight.Load())
	return nil
}

// serveForwarder serves calls to replicas for other gateways.
func (g *Gateway) serveForwarder(ctx context.Context) error {
	if g.options.ForwarderAddress == "" {
		return nil
	}
	listener, err := transport.Listen(ctx, g.options.ForwarderAddress, replicaUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewForwardServiceHandler(quorum.NewForwarder(g.quorum), transport.HandlerOptions()...))
	server := transport.NewPeerServer(g.quorum.BoundCalls(mux))
	server.ErrorLog = log.New(io.Discard, "", 0)
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

// sweep periodically removes expired state, closes idle connections and drops state of workers
// that no longer exist.
func (g *Gateway) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		workers := g.directory.View().Workers
		listed := func(id string) bool {
			_, found := workers.Find(id)
			return found
		}
		g.spentTokens.removeExpired()
		g.quarantine.Expire()
		g.streamVersions.removeExpired()
		g.admittedPrograms.removeExpired()
		g.lentPrograms.removeExpired()
		g.allowances.removeIdle(time.Now())
		g.coldWorkers.allowances.removeIdle(time.Now())
		g.pool.CloseStale(listed)
		g.balancer.Prune(listed)
		g.removeUndeclared()
	}
}

// removeUndeclared removes the state of routes and services that are no longer declared.
func (g *Gateway) removeUndeclared() {
	table := g.directory.View().Table
	if table == nil {
		return
	}
	configuration := table.Configuration()
	routes := make(map[string]bool, len(configuration.Routes))
	for _, each := range configuration.Routes {
		routes[each.Name] = true
	}
	isDeclared := func(route string) bool { return routes[route] }
	g.fastestResponses.removeUndeclared(isDeclared)
	g.requestDurations.removeUndeclared(isDeclared)
	g.receiveBuffers.lengths.removeUndeclared(isDeclared)
	declared := func(service string) bool {
		_, found := configuration.Services[service]
		return found
	}
	g.slotQueues.removeUndeclared(declared)
	g.subsetSizes.Prune(declared)
}
