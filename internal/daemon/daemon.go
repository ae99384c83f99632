// Package daemon puts a daemon together: its listeners, its place in the
// cluster, the shards it holds replicas of, and its planned stop.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/config"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/identity"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/peer"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/settings"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/tool"
)

// Options are what a settings file does not say.
type Options struct {
	// Dial opens every connection of the daemon; nil means plain TCP. A test
	// bench delays and cuts links here.
	Dial peer.Dialer
	// Seed makes random choices repeatable; 0 draws one.
	Seed uint64
	// ShardsSettle is how long the members must be unchanged before the first
	// groups of a domain are made; 0 means the default.
	ShardsSettle time.Duration
}

// Daemon is one running daemon. Start it once.
type Daemon struct {
	settings settings.Settings
	options  Options
	self     structs.Node

	gate           *gate
	platformClient *http.Client
	platform       *platform.Client
	engines        *engine.Client
	tools          *tool.Client
	peers          *peer.Client
	cluster        *cluster.Cluster
	store          *config.Store
	feed           *config.Feed
	fleet          *fleet.Fleet
	tenants        *identity.Tenants
	directory      *directory
	policies       policyChoice
	shares         *limit.RateLimiter
	registry       *telemetry.Registry
	admission      *admission
	core           atomic.Pointer[core]

	security security

	servers []*server
	// stopping is set when a planned stop begins, draining when new requests
	// are refused for it.
	stopping atomic.Bool
	draining atomic.Bool
	// applied is the version of the configuration that every part acts on.
	applied atomic.Uint64
	active  activeRequests

	context  context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	stopOnce sync.Once
	stopped  chan struct{}
}

// New prepares a daemon with valid settings. The error is a failure.Failure.
func New(configured settings.Settings, options Options) (*Daemon, error) {
	if err := configured.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings:  configured,
		options:   options,
		gate:      newGate(),
		tenants:   identity.NewTenants(),
		directory: newDirectory(),
		context:   ctx,
		cancel:    cancel,
		stopped:   make(chan struct{}),
		registry:  telemetry.NewRegistry(),
	}
	d.self = selfNode(configured)
	d.shares = limit.NewRateLimiter(limit.Holder{Node: d.self.ID, Incarnation: d.self.Incarnation}, time.Now(), options.Seed)
	limits := caller.NewLimits(d.shares, limit.NewAdmitter(time.Now(), limit.Config{Seed: options.Seed}), time.Now)
	limits.Observe(d.registry)
	d.admission = &admission{draining: &d.draining, limits: limits}
	d.platformClient = newPlatformClient(d.gate, options.Dial)
	d.platform = platform.NewClient(configured.PlatformAddress, d.platformClient)
	calls := newCallClient(d.gate, options.Dial)
	d.engines = engine.NewClient(calls)
	d.tools = tool.NewClient(calls)
	return d, nil
}

// selfNode describes the daemon to its peers.
func selfNode(configured settings.Settings) structs.Node {
	advertised := configured.Advertised()
	incarnation := newIncarnation()
	return structs.Node{
		ID:            configured.Node,
		Incarnation:   incarnation,
		Memory:        incarnation,
		Region:        configured.Region,
		Zone:          configured.Zone,
		PeerAddress:   advertised.Peer,
		CallerAddress: advertised.Caller,
		HasDisk:       configured.DataFolder != "",
		State:         structs.NodeAlive,
	}
}

// Start opens the listeners and joins the cluster. It returns once the daemon
// can be reached; it serves callers once a configuration is in force.
func (d *Daemon) Start(ctx context.Context) error {
	for _, step := range []func() error{
		d.loadSecurity, d.bind, d.prepareStore, d.startCluster, d.startCore, d.serve,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	d.defineMetrics()
	d.startTasks()
	eventStarted.Log("node", d.self.ID, "zone", d.self.Zone, "incarnation", d.self.Incarnation)
	return ctx.Err()
}

// startTasks begins the daemon's background work.
func (d *Daemon) startTasks() {
	d.task(func() { d.feed.Run(d.context) })
	d.task(func() { d.fleet.Run(d.context) })
	d.task(d.runGroups)
	d.task(d.runReconcile)
	d.task(d.runShares)
	d.watchCertificates()
}

func (d *Daemon) task(work func()) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		work()
	}()
}

// CallerAddress returns IP:port of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.settings.Advertised().Caller }

// PeerAddress returns IP:port of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.settings.Advertised().Peer }

// OperatorAddress returns IP:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.settings.Advertised().Operator }

// Pause freezes the daemon as seen from outside: nothing it would send or
// answer leaves it, until Resume. Its clocks go on. It is a bench's fault.
func (d *Daemon) Pause() { d.gate.close() }

// Resume ends Pause.
func (d *Daemon) Resume() { d.gate.open() }

// Kill stops the daemon at once, as a crash would: nothing is handed over. It
// also clears up after a Start that failed.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		d.gate.open()
		// Connections break before any handler can answer that it was cancelled.
		d.closeListeners()
		d.cancel()
		if d.cluster != nil {
			d.peers.Close()
			d.closeCore()
			<-d.cluster.Done()
		}
		d.tasks.Wait()
		d.platformClient.CloseIdleConnections()
		close(d.stopped)
	})
}
