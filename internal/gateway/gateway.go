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
	// Ingress and Readiness are IP:port addresses to listen on.
	Ingress, Readiness string
	// Forwarder is the IP:port at which calls to replicas are made for gateways that
	// do not reach them; empty makes none.
	Forwarder string
	// Seeds are addresses of replicas that may be stale.
	Seeds []string
	// Grace is how long a planned stop may take.
	Grace   time.Duration
	Dialect Dialect
	// Metrics is the IP:port for metrics; empty serves none.
	Metrics string
	// Log is asked whether lines of requests that ended well should give way;
	// nil never does.
	Log *logsink.Sink
	// MemoryBytes is what the process may use; 0 is unknown.
	MemoryBytes int64
	// Regions names the region of each zone.
	Regions map[string]string
	// DrainsFollowed is set where operators may drain zones.
	DrainsFollowed bool
	// DrainBound is within what time a zone that is drained must get nothing more.
	DrainBound time.Duration
	// Disabled are mechanisms that an experiment leaves out.
	Disabled mechanism.Disabled
	// Enabled are optional mechanisms that are switched on.
	Enabled mechanism.Enabled
}

// Gateway takes requests of clients.
type Gateway struct {
	options   Options
	directory *directory.State
	feed      *directory.Feed
	relay     *quorum.Relay
	objects   directory.Objects
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
	waits   *balance.Waits
	// places tells how far zones are, ways what connections to workers have shown of that.
	places   distance.Places
	ways     *distance.Times
	splitter *route.Splitter
	retries  *limit.RetryBudget
	state    *stateHealth
	zones    *zoneWatch
	registry *telemetry.Registry
	metrics  *metrics
	// connections are those of clients.
	connections *connections
	// answerBytes are held for clients that read slowly, bodyBytes for requests until they end.
	answerBytes, bodyBytes *flowcontrol.Account

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
func New(options Options, objects directory.Objects) *Gateway {
	if options.Disabled.Has(mechanism.Forwarding) {
		options.Forwarder = ""
	}
	places := placesOf(options)
	ways := distance.NewTimes(places)
	g := &Gateway{
		options: options, objects: objects, waits: balance.NewWaits(), splitter: route.NewSplitter(),
		places: places, ways: ways,
		balancer:    balance.NewAmong(time.Now, workersZone(options), ways, places),
		subsets:     balance.NewSubsetSizes(time.Now),
		retries:     limit.NewRetryBudget(time.Now(), retryRatio, retrySteady),
		connections: newConnections(time.Now),
		answerBytes: flowcontrol.NewAccount(heldBytes(options), time.Now),
		bodyBytes:   flowcontrol.NewAccount(heldBytes(options), time.Now),
		started:     time.Now(),
		slotQueues:  newSlotQueues(),
		fastest:     newFastestAnswers(),
	}
	g.grace.Store(int64(options.Grace))
	g.cold = newColdWorkers(g.newsAreOld)
	logChanges := directory.LogChanges()
	g.directory = directory.NewState(time.Now, func(view *directory.View, update directory.WorkerUpdate) {
		logChanges(view, update)
		g.cold.tracker.Take(view)
	})
	g.registry = telemetry.NewRegistry()
	g.metrics = newMetrics(g.registry)
	g.defineGauges(g.registry)
	g.feed = directory.NewFeed(objects, g.directory, directory.Hearing)
	g.feed.Report(g.registry)
	if options.DrainsFollowed {
		g.feed.FollowZoneDrains(g.bounded(directory.LongWait))
	}
	client := transport.NewPeerClient(transport.Options{DialTimeout: stateDialTimeout, UserTimeout: stateUserTimeout}, stateConnections)
	g.quorum = quorum.NewClient(g.directory, options.Zone, client)
	g.quorum.Disable(options.Disabled)
	g.quorum.Locate(places)
	g.quorum.Meter(g.metrics.traffic)
	g.quorum.Confine(options.Regions)
	g.state = newStateHealth(g.quorum, g.quorum.AnsweredWithin)
	g.zones = newZoneWatch(g)
	g.relay = quorum.NewRelay(g.quorum, g.directory, quorum.RelayOptions{
		Seeds: options.Seeds, Forwarder: options.Forwarder, Workers: workerReports(g.balancer, options),
	})
	g.granter = g.quorum
	g.spent = newSpentTokens(time.Now)
	g.programs = newRecentPrograms(time.Now)
	g.lent = newRecentPrograms(time.Now)
	g.chains = newChainCache(g.quorum, chainBytes(options))
	g.chains.zone, g.chains.regionOf = options.Zone, options.Regions
	g.pool = worker.NewPoolWith(transport.Options{
		DialTimeout: workerDialTimeout, UserTimeout: workerUserTimeout, ReceiveBuffer: workerReceiveBuffer,
	})
	return g
}

// placesOf returns how far zones are from this gateway's.
func placesOf(options Options) distance.Places {
	if options.Disabled.Has(mechanism.Distance) {
		return distance.NewPlaces(options.Zone, nil)
	}
	return distance.NewPlaces(options.Zone, options.Regions)
}

// workersZone returns the zone whose workers come first.
func workersZone(options Options) string {
	if options.Disabled.Has(mechanism.NearWorkers) {
		return ""
	}
	return options.Zone
}

// workerReports returns what passes reports on workers on and takes those of others.
func workerReports(balancer *balance.Balancer, options Options) quorum.WorkerReports {
	if options.Disabled.Has(mechanism.SharedSight) {
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
	if !g.disabled(mechanism.LostZones) {
		go g.zones.run(working)
	}
	readiness, err := transport.Listen(working, g.options.Readiness, clientUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	discard := log.New(io.Discard, "", 0)
	readinessServer := &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: discard}
	go readinessServer.Serve(readiness)
	defer readinessServer.Close()
	if err := telemetry.Serve(working, g.options.Metrics, g.registry, g.readiness); err != nil {
		return err
	}
	if err := g.serveForwarder(working); err != nil {
		return err
	}
	ingress, err := transport.ListenBounded(working, g.options.Ingress, clientUserTimeout, clientSendBuffer)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: longestTimeout, IdleTimeout: longestTimeout, ErrorLog: discard,
		ConnState: g.connections.changed, ConnContext: g.connections.remember,
	}
	eventStarted.Log("node", g.options.Node, "ingress", g.options.Ingress)
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
	if g.options.Forwarder == "" {
		return nil
	}
	listener, err := transport.Listen(ctx, g.options.Forwarder, stateUserTimeout)
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
		g.pool.Sweep(listed)
		g.balancer.Forget(listed)
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
	g.subsets.Forget(declared)
}
