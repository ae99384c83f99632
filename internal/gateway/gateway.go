package gateway

import (
	"context"
	"io"
	"log"
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
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// defaultTimeout holds where neither the route nor the client names one.
	defaultTimeout   = 30 * time.Second
	defaultBodyBytes = 4 << 20
	defaultRetention = 60 * time.Second
	// maxTries bounds the workers that are asked before a request is refused.
	maxTries = 6
	// maxResumes bounds how often a stream goes on after a break.
	maxResumes = 3
	// connectionShare is the part of a worker's connections that one gateway
	// may take, and minConnections what it may take in any case.
	connectionShare = 4
	minConnections  = 8
	// wholeAnswerBytes is the size up to which an answer is read whole before it
	// is passed on; smallAnswerBytes bounds what is read of a rejection.
	wholeAnswerBytes = 128 << 10
	smallAnswerBytes = 16 << 10

	// defaultSilence is how long a worker may take to begin its answer where the
	// route has no target; else it is these multiples of the target.
	defaultSilence = 2 * time.Second
	plainSilence   = 2
	streamSilence  = 5
	// silenceMargin is how much later a request is taken back from a silent
	// worker, so that the silence counts first.
	silenceMargin = 20 * time.Millisecond
	// retryRatio is the retries that each success allows; retrySteady those that
	// are allowed a second without any.
	retryRatio  = 0.1
	retrySteady = limit.Rate(1)

	workerDialTimeout = 150 * time.Millisecond
	workerUserTimeout = 500 * time.Millisecond
	clientUserTimeout = 5 * time.Second
	stateDialTimeout  = 300 * time.Millisecond
	stateUserTimeout  = 700 * time.Millisecond
	// stateConnections are kept to each replica at most.
	stateConnections = 16
	// maxForwardBytes bounds a call that is made for another gateway.
	maxForwardBytes = 16 << 20
	sweepEvery      = time.Second
)

// Options set up a gateway.
type Options struct {
	// Node is this machine's name, Zone its zone.
	Node, Zone string
	// IngressAddress and Readiness are IP:port addresses to listen on.
	IngressAddress, ReadinessAddress string
	// ForwarderAddress is the IP:port at which calls to replicas are made for gateways that
	// do not reach them; empty makes none.
	ForwarderAddress string
	// Seeds are addresses of replicas that may be stale.
	Seeds []string
	// ShutdownGracePeriod is how long a planned stop may take.
	ShutdownGracePeriod time.Duration
	HeaderCodec         HeaderCodec
	// MetricsAddress is the IP:port for metrics; empty serves none.
	MetricsAddress string
	// LogSink is asked whether lines of requests that ended well should give way;
	// nil never does.
	LogSink *logsink.Sink
	// MemoryBytes is what the process may use; 0 is unknown.
	MemoryBytes int64
	// RegionOf names the region of each zone.
	RegionOf map[string]string
	// WatchZoneDrains is set where operators may drain zones.
	WatchZoneDrains bool
	// MaxDrainDelay is within what time a zone that is drained must get nothing more.
	MaxDrainDelay time.Duration
	// DisabledMechanisms are mechanisms that an experiment leaves out.
	DisabledMechanisms mechanism.Disabled
	// EnabledMechanisms are optional mechanisms that are switched on.
	EnabledMechanisms mechanism.Enabled
}

// Gateway takes requests of clients.
type Gateway struct {
	options   Options
	directory *directory.State
	feed      *directory.Watcher
	relay     *quorum.DirectoryPoller
	objects   directory.Store
	quorum    *quorum.Client
	chains    *chainCache
	spent     *spentTokens
	// allowances are what tenants' limits allow here, programs those let in lately,
	// lent those of which a part of the budget was lately lent.
	allowances allowances
	granter    granter
	programs   *recentPrograms
	lent       *recentPrograms
	pool       *worker.Pool
	balancer   *balance.Balancer
	// subsets are of how many workers requests choose.
	subsets *balance.SubsetSizes
	waits   *balance.ServiceLatencies
	// places tells how far zones are, ways what connections to workers have shown of that.
	places   distance.Topology
	ways     *distance.ZoneLatencies
	splitter *route.Splitter
	retries  *limit.RetryBudget
	state    *stateHealth
	zones    *zoneWatch
	registry *telemetry.Registry
	metrics  *metrics
	// connections are those of clients.
	connections *connections
	// answerBytes are held for clients that read slowly, bodyBytes for requests until they end.
	answerBytes, bodyBytes *flowcontrol.Budget

	// started is when this process began.
	started time.Time
	// grace is how long a planned stop may take, in nanoseconds.
	grace    atomic.Int64
	inFlight atomic.Int64
	// slotQueues are the requests that wait for full workers.
	slotQueues *slotQueues
	// cold are the workers that bear few requests for a while; nil knows of none.
	cold *coldWorkers
	// fastest is how fast each service has lately begun to answer each route.
	fastest  *fastestAnswers
	stopping atomic.Bool
}

// New returns a gateway; Run starts it.
func New(options Options, objects directory.Store) *Gateway {
	if options.DisabledMechanisms.Has(mechanism.Forwarding) {
		options.ForwarderAddress = ""
	}
	places := placesOf(options)
	ways := distance.NewZoneLatencies(places)
	g := &Gateway{
		options: options, objects: objects, waits: balance.NewServiceLatencies(), splitter: route.NewSplitter(),
		places: places, ways: ways,
		balancer:    balance.NewMultiRegion(time.Now, workersZone(options), ways, places),
		subsets:     balance.NewSubsetSizes(time.Now),
		retries:     limit.NewRetryBudget(time.Now(), retryRatio, retrySteady),
		connections: newConnections(time.Now),
		answerBytes: flowcontrol.NewBudget(heldBytes(options), time.Now),
		bodyBytes:   flowcontrol.NewBudget(heldBytes(options), time.Now),
		started:     time.Now(),
		slotQueues:  newSlotQueues(),
		fastest:     newFastestAnswers(),
	}
	g.grace.Store(int64(options.ShutdownGracePeriod))
	g.cold = newColdWorkers(g.newsAreOld)
	logChanges := directory.LogChanges()
	g.directory = directory.NewState(time.Now, func(view *directory.View, update directory.WorkerUpdate) {
		logChanges(view, update)
		g.cold.tracker.Update(view)
	})
	g.registry = telemetry.NewRegistry()
	g.metrics = newMetrics(g.registry)
	g.defineGauges(g.registry)
	g.feed = directory.NewWatcher(objects, g.directory, directory.GatewayTimings)
	g.feed.RegisterMetrics(g.registry)
	if options.WatchZoneDrains {
		g.feed.EnableZoneDrains(g.bounded(directory.WatchTimeout))
	}
	client := transport.NewPeerClient(transport.Options{DialTimeout: stateDialTimeout, UserTimeout: stateUserTimeout}, stateConnections)
	g.quorum = quorum.NewClient(g.directory, options.Zone, client)
	g.quorum.DisableMechanisms(options.DisabledMechanisms)
	g.quorum.SetTopology(places)
	g.quorum.MeterTraffic(g.metrics.traffic)
	g.quorum.SetZoneRegions(options.RegionOf)
	g.state = newStateHealth(g.quorum, g.quorum.AnsweredWithin)
	g.zones = newZoneWatch(g)
	g.relay = quorum.NewDirectoryPoller(g.quorum, g.directory, quorum.DirectoryPollerOptions{
		Seeds: options.Seeds, ForwarderAddress: options.ForwarderAddress, Workers: workerReports(g.balancer, options),
	})
	g.granter = g.quorum
	g.spent = newSpentTokens(time.Now)
	g.programs = newRecentPrograms(time.Now)
	g.lent = newRecentPrograms(time.Now)
	g.chains = newChainCache(g.quorum, chainBytes(options))
	g.chains.zone, g.chains.regionOf = options.Zone, options.RegionOf
	g.pool = worker.NewPoolWithOptions(transport.Options{
		DialTimeout: workerDialTimeout, UserTimeout: workerUserTimeout, ReceiveBuffer: workerReceiveBuffer,
	})
	return g
}

// placesOf returns how far zones are from this gateway's.
func placesOf(options Options) distance.Topology {
	if options.DisabledMechanisms.Has(mechanism.RegionPreference) {
		return distance.NewTopology(options.Zone, nil)
	}
	return distance.NewTopology(options.Zone, options.RegionOf)
}

// workersZone returns the zone whose workers come first.
func workersZone(options Options) string {
	if options.DisabledMechanisms.Has(mechanism.LocalWorkers) {
		return ""
	}
	return options.Zone
}

// workerReports returns what passes reports on workers on and takes those of others.
func workerReports(balancer *balance.Balancer, options Options) quorum.WorkerObservations {
	if options.DisabledMechanisms.Has(mechanism.SharedWorkerReports) {
		return nil
	}
	return balancer
}

// Reload puts changed settings in force: the seeds, and how long a planned stop
// may take.
func (g *Gateway) Reload(seeds []string, grace time.Duration) {
	g.relay.SetSeeds(seeds)
	g.grace.Store(int64(grace))
}

// Run serves until ctx ends, and then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	err := g.run(ctx)
	if err != nil {
		eventEnded.Log("cause", err.Error())
	}
	return err
}

func (g *Gateway) run(ctx context.Context) error {
	working, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g.followStore(working)
	go g.quorum.RunDeferred(working)
	go g.sweep(working)
	go func() {
		for pause.For(working, sweepConnectionsEvery) {
			g.sweepConnections()
		}
	}()
	go g.state.run(working)
	if !g.disabled(mechanism.UnreachableZones) {
		go g.zones.run(working)
	}
	readiness, err := transport.Listen(working, g.options.ReadinessAddress, clientUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	discard := log.New(io.Discard, "", 0)
	readinessServer := &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: discard}
	go readinessServer.Serve(readiness)
	defer readinessServer.Close()
	if err := telemetry.Serve(working, g.options.MetricsAddress, g.registry, g.readiness); err != nil {
		return err
	}
	if err := g.serveForwarder(working); err != nil {
		return err
	}
	ingress, err := transport.ListenBounded(working, g.options.IngressAddress, clientUserTimeout, clientSendBuffer)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: longestTimeout, IdleTimeout: longestTimeout, ErrorLog: discard,
		ConnState: g.connections.changed, ConnContext: g.connections.remember,
	}
	eventStarted.Log("node", g.options.Node, "ingress", g.options.IngressAddress)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(ingress) }()
	go func() {
		if err := g.followReplicas(working); err != nil {
			failed <- err
		}
	}()
	select {
	case <-ctx.Done():
	case err := <-failed:
		return &failure.Internal{Cause: err}
	}
	g.stop(server, ingress)
	eventStopped.Log("node", g.options.Node, "under_way", g.inFlight.Load())
	return nil
}

// serveForwarder makes calls to replicas for other gateways.
func (g *Gateway) serveForwarder(ctx context.Context) error {
	if g.options.ForwarderAddress == "" {
		return nil
	}
	listener, err := transport.Listen(ctx, g.options.ForwarderAddress, stateUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewForwardServiceHandler(quorum.NewForwarder(g.quorum), transport.HandlerOptions(maxForwardBytes)...))
	server := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), WriteTimeout: transport.PeerWriteTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

// sweep closes idle connections and forgets workers that are gone.
func (g *Gateway) sweep(ctx context.Context) {
	for pause.For(ctx, sweepEvery) {
		workers := g.directory.View().Workers
		listed := func(id string) bool {
			_, found := workers.Find(id)
			return found
		}
		g.spent.sweep()
		g.programs.sweep()
		g.lent.sweep()
		g.allowances.sweep(time.Now())
		g.cold.allowances.sweep(time.Now())
		g.pool.CloseStale(listed)
		g.balancer.Prune(listed)
		g.forgetUndeclared()
	}
}

// forgetUndeclared drops what was learned of routes and services that are not declared any
// more.
func (g *Gateway) forgetUndeclared() {
	table := g.directory.View().Table
	if table == nil {
		return
	}
	configuration := table.Configuration()
	routes := make(map[string]bool, len(configuration.Routes))
	for _, each := range configuration.Routes {
		routes[each.Name] = true
	}
	g.fastest.forget(func(route string) bool { return routes[route] })
	declared := func(service string) bool {
		_, found := configuration.Services[service]
		return found
	}
	g.slotQueues.forget(declared)
	g.subsets.Prune(declared)
}
