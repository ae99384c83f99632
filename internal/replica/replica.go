package replica

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	dialTimeout = 400 * time.Millisecond
	userTimeout = 900 * time.Millisecond
	// peerConnections are kept to each other replica at most.
	peerConnections = 16
	// keepWorkersEvery is how often the list of workers is written at most.
	keepWorkersEvery = 500 * time.Millisecond
	compactEvery     = 5 * time.Second
	// maxMessageBytes bounds one message of the group.
	maxMessageBytes = 64 << 20
)

// Options set up a replica.
type Options struct {
	// Node is this machine's name, Zone its zone.
	Node, Zone string
	// Address is the IP and port that the service listens on.
	Address string
	// DataFolder is the data folder.
	DataFolder string
	// Files replaces Folder, for tests.
	Files recordlog.FileSystem
	// Bootstrap is set only when the whole system starts for the first time.
	Bootstrap bool
	// Seeds are addresses of replicas that may be stale.
	Seeds []string
	// MetricsAddress is the IP:port for metrics; empty serves none.
	MetricsAddress string
	// TenantTolerance is by how much tenants' requests may exceed their limits.
	TenantTolerance quota.Tolerance
	// RegionOf names the region of each zone.
	RegionOf map[string]string
	// WatchZoneDrains is set where operators may drain zones.
	WatchZoneDrains bool
	// ColdWorkerTolerance is by how much requests may exceed what a cold worker bears.
	ColdWorkerTolerance quota.Tolerance
	// ToleratedZoneFailures is how many zones may be lost at once with service going on.
	ToleratedZoneFailures int
	// ShutdownGracePeriod is how long a planned stop may take.
	ShutdownGracePeriod time.Duration
	// DisabledMechanisms are mechanisms that an experiment leaves out.
	DisabledMechanisms mechanism.Disabled
}

// Replica is a running replica.
type Replica struct {
	options         Options
	objects         directory.Store
	directory       *directory.State
	feed            *directory.Watcher
	followers       *followed
	peers           *failureDetector
	quorum          *quorum.Client
	relay           *quorum.DirectoryPoller
	state           *state
	grants          *grants
	underReplicated *underReplicatedGroups
	seeds           atomic.Pointer[[]string]
	// stopping is set once this process is to stop.
	stopping atomic.Bool
	// process names this process apart from all others.
	process string
	// unproven holds groups that peers offered while the own system is not known.
	unproven chan *replicav1.Group

	// copies holds a token for each seat that is being filled.
	copies chan struct{}

	// The fields below belong to the loop of reconcile.
	proposals *proposals
	standbys  *standbySearch
	handOvers map[handOverKey]handOver
	exchanges map[uint32]*exchange
	retiring  bool
	retired   bool
}

// New opens the data folder.
func New(options Options, objects directory.Store) (*Replica, error) {
	opened, err := openRecords(options)
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		options: options, objects: objects, state: opened, followers: newFollowed(), peers: newFailureDetector(time.Now),
		grants:          newGrants(options.Node, time.Now, options.TenantTolerance, options.ColdWorkerTolerance),
		underReplicated: newUnderReplicatedGroups(time.Now), copies: make(chan struct{}, maxCopies), proposals: newProposals(time.Now), standbys: newStandbySearch(), handOvers: make(map[handOverKey]handOver), exchanges: make(map[uint32]*exchange),
		process: rand.Text(), unproven: make(chan *replicav1.Group, maxUnproven),
	}
	logChanges := directory.LogChanges()
	replica.directory = directory.NewState(time.Now, func(view *directory.View, update directory.WorkerUpdate) {
		logChanges(view, update)
		replica.grants.take(view.Groups)
		replica.keep(view)
		replica.keepZoneDrains(view)
	})
	replica.directory.SetUnverifiedGroupHandler(replica.holdUnproven)
	replica.feed = directory.NewWatcher(objects, replica.directory, directory.ReplicaTimings)
	if options.WatchZoneDrains {
		// The watch of the configuration is short, and cuts this one short where it fails.
		replica.feed.EnableZoneDrains(directory.WatchTimeout)
	}
	client := transport.NewPeerClient(transport.Options{DialTimeout: dialTimeout, UserTimeout: userTimeout}, peerConnections)
	replica.quorum = quorum.NewClient(replica.directory, options.Zone, client)
	replica.quorum.SetTopology(replica.places())
	replica.quorum.SetZoneRegions(options.RegionOf)
	replica.seeds.Store(&options.Seeds)
	replica.relay = quorum.NewDirectoryPoller(replica.quorum, replica.directory, quorum.DirectoryPollerOptions{
		Seeds: options.Seeds, Nodes: replica.followers, Sources: replica.otherWatchers,
	})
	replica.offerKept()
	return replica, nil
}

// places returns how far zones are from this replica's.
func (r *Replica) places() distance.Topology {
	return distance.NewTopology(r.options.Zone, r.regions())
}

// regions names the region of each zone, for what depends on distance.
func (r *Replica) regions() map[string]string {
	if r.options.DisabledMechanisms.Has(mechanism.RegionPreference) {
		return nil
	}
	return r.options.RegionOf
}

// SetSeeds puts changed seeds in force.
func (r *Replica) SetSeeds(seeds []string) {
	r.seeds.Store(&seeds)
	r.relay.SetSeeds(seeds)
}

// openRecords opens the log of the data folder, or of what replaces it.
func openRecords(options Options) (*state, error) {
	if options.Files != nil {
		return openState(options.Files)
	}
	return openFolder(options.DataFolder)
}

// openFolder opens the log. Of a damaged one nothing is used: the replica
// starts empty and recovers from the others.
func openFolder(folder string) (*state, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	opened, err := openState(recordlog.Directory(folder))
	var damaged *recordlog.Damaged
	if !errors.As(err, &damaged) {
		return opened, err
	}
	eventFolder.Log("segment", damaged.Segment, "offset", damaged.Offset)
	if err := removeAll(folder); err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	return openState(recordlog.Directory(folder))
}

func removeAll(folder string) error {
	names, err := recordlog.Directory(folder).List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// offerKept puts the kept configuration, drained zones, workers and groups in force until
// the platform tells newer ones.
func (r *Replica) offerKept() {
	for _, group := range r.state.currentGroups() {
		r.directory.ApplyGroup(group, directory.SourceDisk)
	}
	r.directory.ApplyDrainedZoneList(r.state.drainedZones)
	r.directory.ApplyWorkerList(r.state.workers.list())
	kept := r.state.configuration
	if kept == nil {
		return
	}
	configuration := &route.Configuration{}
	if err := json.Unmarshal(kept.Document, configuration); err == nil {
		r.directory.ApplyConfiguration(configuration)
	}
}

// keep writes a newer configuration to the disk, in the background: the
// platform's store has it too.
func (r *Replica) keep(view *directory.View) {
	if view.Table == nil {
		return
	}
	r.state.mutex.Lock()
	known := r.state.configuration != nil && r.state.configuration.Version >= view.Table.Version()
	r.state.mutex.Unlock()
	if known {
		return
	}
	document, err := json.Marshal(view.Table.Configuration())
	if err != nil {
		return
	}
	kept := &replicav1.Configuration{Version: view.Table.Version(), Document: document}
	r.writeInBackground(&replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: kept}})
}

// keepZoneDrains writes later drained zones to the disk, in the background and at once:
// after a loss of power on all machines they must hold while the platform's store is down.
func (r *Replica) keepZoneDrains(view *directory.View) {
	r.state.mutex.Lock()
	known := r.state.drainedZones.GetRevision()
	r.state.mutex.Unlock()
	if view.Drains.Revision > known {
		list := &replicav1.DrainedZoneList{Revision: view.Drains.Revision, Zones: view.Drains.Zones()}
		r.writeInBackground(&replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: list}})
	}
}

// writeInBackground writes what the platform's store, or other replicas, have too.
func (r *Replica) writeInBackground(record *replicav1.Record) {
	go func() {
		if err := r.state.write(record); err != nil {
			eventWriteFailed.Log("cause", err.Error())
		}
	}()
}

// keepWorkers writes what has changed of the workers to the disk, and drained zones
// that are not there yet: after a loss of power on all machines they are the only ones while
// the platform's store is down.
func (r *Replica) keepWorkers(ctx context.Context) {
	for pause.For(ctx, keepWorkersEvery) {
		// What the disk refused when it came is written now.
		r.keepZoneDrains(r.directory.View())
		r.state.mutex.Lock()
		kept := r.state.workers.revision
		r.state.mutex.Unlock()
		if r.directory.WorkersRevision() <= kept {
			continue
		}
		record := &replicav1.Record{Kind: &replicav1.Record_Workers{Workers: r.directory.WorkerChanges(kept)}}
		if err := r.state.write(record); err != nil {
			eventWriteFailed.Log("cause", err.Error())
		}
	}
}

// compact gives space back, again and again.
func (r *Replica) compact(ctx context.Context) {
	for pause.For(ctx, compactEvery) {
		if err := r.state.compact(time.Now()); err != nil {
			eventWriteFailed.Log("cause", err.Error())
		}
	}
}

// Run serves until stop ends, and then until others hold its seats, where any stand by.
func (r *Replica) Run(stop context.Context) error {
	err := r.run(stop)
	if err != nil {
		eventEnded.Log("cause", err.Error())
	}
	return err
}

func (r *Replica) run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	listener, err := transport.Listen(ctx, r.options.Address, userTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	mux := http.NewServeMux()
	bound := newAdmission(mux)
	registry := telemetry.NewRegistry()
	r.defineGauges(registry, bound)
	r.quorum.MeterTraffic(traffic.New(registry))
	if err := telemetry.Serve(ctx, r.options.MetricsAddress, registry, r.readiness); err != nil {
		return err
	}
	handler := &service{
		node: r.options.Node, stopping: r.stopping.Load, state: r.state, directory: r.directory, peers: r.peers, roster: newRoster(time.Now).among(r.regions()), age: r.storeReportAge, followers: r.followers,
		observations: newObservations(time.Now), grants: r.grants,
	}
	handling := append(transport.HandlerOptions(maxMessageBytes), connect.WithInterceptors(quorum.VerifyCallerSystem(r.directory), identifyProcess(r.process)))
	mux.Handle(replicav1connect.NewReplicaServiceHandler(handler, handling...))
	server := &http.Server{Handler: bound, WriteTimeout: transport.PeerWriteTimeout}
	go func() {
		<-stop.Done()
		r.handSeatsOver(ctx)
		cancel()
		server.Close()
	}()
	go r.followStore(ctx)
	go func() {
		r.discoverSystem(ctx)
		r.relay.Run(ctx)
	}()
	go r.keepWorkers(ctx)
	go r.compact(ctx)
	go r.grants.sweep(ctx)
	go r.returnLoans(ctx)
	go r.register(ctx)
	go r.announce(ctx)
	go r.takeSeats(ctx)
	go r.reconcile(ctx)
	eventStarted.Log("node", r.options.Node, "address", r.options.Address, "bootstrap", r.options.Bootstrap)
	err = server.Serve(listener)
	eventStopped.Log("node", r.options.Node)
	r.state.log.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &failure.Internal{Cause: err}
}
