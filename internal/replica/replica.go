package replica

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	dialTimeout    = 400 * time.Millisecond
	tcpUserTimeout = 900 * time.Millisecond
	// maxPeerConnections bounds the connections to each other replica.
	maxPeerConnections = 16
	// messagesMemoryDivisor is the reciprocal of the fraction of process memory that calls, and answers of other
	// replicas, may take.
	messagesMemoryDivisor = 8
)

// Options configures a replica.
type Options struct {
	// Node is the name of this machine and Zone its zone.
	Node, Zone string
	// Address is the IP and port that the service listens on.
	Address string
	// DataFolder is the path of the data folder.
	DataFolder string
	// Files replaces Folder in tests.
	Files recordlog.FileSystem
	// Bootstrap is set only when the whole system starts for the first time.
	Bootstrap bool
	// Seeds are addresses of replicas to contact first. They may be outdated.
	Seeds []string
	// MetricsAddress is the IP and port of the metrics endpoint. If it is empty, no metrics are
	// served.
	MetricsAddress string
	// TenantTolerance is how far requests of a tenant may exceed its limit.
	TenantTolerance quota.Tolerance
	// RegionOf maps each zone to its region.
	RegionOf map[string]string
	// WatchZoneDrains is set if operators may drain zones.
	WatchZoneDrains bool
	// ColdWorkerTolerance is how far requests may exceed the capacity of a cold worker.
	ColdWorkerTolerance quota.Tolerance
	// ToleratedZoneFailures is the number of zones that may fail at once without interrupting
	// service.
	ToleratedZoneFailures int
	// ShutdownGracePeriod is the time that a graceful stop may take.
	ShutdownGracePeriod time.Duration
	// DisabledMechanisms are mechanisms that an experiment turns off.
	DisabledMechanisms mechanism.Disabled
	// MemoryBytes is the memory available to the process; 0 if unknown.
	MemoryBytes int64
}

// Replica is one replica process.
type Replica struct {
	options         Options
	store           directory.Store
	directory       *directory.State
	versions        *directory.VersionHistory
	watcher         *directory.Watcher
	nodes           *nodeRegistry
	peers           *failureDetector
	quorum          *quorum.Client
	poller          *quorum.DirectoryPoller
	state           *state
	grants          *grantAllocator
	underReplicated *underReplicatedGroups
	seeds           atomic.Pointer[[]string]
	// aloneLogged logs once that no group is formed as no other replica has registered.
	aloneLogged sync.Once
	// stopping is set once this process has been told to stop.
	stopping atomic.Bool
	// processID is a random ID of this process, and startedAt when it started.
	processID string
	startedAt time.Time
	// unverifiedGroups queues groups that peers offered while this node's system is unknown.
	unverifiedGroups chan *replicav1.Group

	// ballots are those of this process's proposals, and chosen the groups that they have led to.
	ballots *ballots
	chosen  *chosenGroups

	// copyReports are the copies that wait for sources.
	copyReports *copyReports
	// writeFailures logs writes that the disk rejects.
	writeFailures *writeFailures
	// copySlots limits the number of seats that are filled at a time.
	copySlots chan struct{}

	// The fields below are used only by the goroutine of reconcileGroups.
	proposals           *proposals
	standbySearch       *standbySearch
	pushes              map[pushTarget]pushProgress
	exchanges           map[uint32]*exchange
	retirementStarted   bool
	retirementCompleted bool
}

// New opens the data folder and returns a replica that is not running yet.
func New(options Options, store directory.Store) (*Replica, error) {
	storage, err := openStorage(options)
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		options:          options,
		store:            store,
		state:            storage,
		nodes:            newNodeRegistry(),
		peers:            newFailureDetector(time.Now),
		grants:           newGrantAllocator(options.Node, time.Now, options.TenantTolerance, options.ColdWorkerTolerance),
		underReplicated:  newUnderReplicatedGroups(time.Now),
		copySlots:        make(chan struct{}, maxConcurrentCopies),
		copyReports:      newCopyReports(),
		proposals:        newProposals(time.Now),
		standbySearch:    newStandbySearch(),
		pushes:           make(map[pushTarget]pushProgress),
		exchanges:        make(map[uint32]*exchange),
		ballots:          newBallots(),
		chosen:           newChosenGroups(),
		writeFailures:    newWriteFailures(time.Now),
		processID:        rand.Text(),
		startedAt:        time.Now(),
		unverifiedGroups: make(chan *replicav1.Group, maxUnverifiedGroups),
	}
	logChanges := directory.LogChanges()
	replica.versions = directory.NewVersionHistory(time.Now)
	replica.directory = directory.NewState(time.Now, func(view *directory.View, update directory.WorkerUpdate) {
		logChanges(view, update)
		replica.versions.Update(view, update, options.Bootstrap)
		replica.grants.updateSeats(view.Groups)
		replica.persistConfiguration(view)
		replica.persistZoneDrains(view)
	})
	replica.directory.SetUnverifiedGroupHandler(replica.queueUnverifiedGroup)
	replica.watcher = directory.NewWatcher(store, replica.directory, directory.ReplicaTimings)
	if options.WatchZoneDrains {
		// The configuration watch uses a short wait, and ends this watch early when it fails.
		replica.watcher.EnableZoneDrains(directory.WatchTimeout)
	}
	peerClient := transport.NewPeerClient(transport.Options{DialTimeout: dialTimeout, UserTimeout: tcpUserTimeout}, maxPeerConnections)
	replica.quorum = quorum.NewClient(replica.directory, options.Zone, peerClient)
	if options.MemoryBytes > 0 {
		replica.quorum.LimitHeld(options.MemoryBytes / messagesMemoryDivisor)
	}
	replica.quorum.SetTopology(replica.topology())
	replica.quorum.SetZoneRegions(options.RegionOf)
	replica.seeds.Store(&options.Seeds)
	replica.poller = quorum.NewDirectoryPoller(replica.quorum, replica.directory, quorum.DirectoryPollerOptions{
		Seeds: options.Seeds, Nodes: replica.nodes, Sources: replica.otherWatchers, Quarantine: storage.quarantine,
	})
	replica.restoreDirectory()
	replica.markFirstStart()
	return replica, nil
}

// topology returns the distances from this replica's zone to the others.
func (r *Replica) topology() distance.Topology {
	return distance.NewTopology(r.options.Zone, r.distanceRegions())
}

// distanceRegions returns the region of each zone, or nil if the distance mechanism is disabled.
func (r *Replica) distanceRegions() map[string]string {
	if r.options.DisabledMechanisms.Has(mechanism.RegionPreference) {
		return nil
	}
	return r.options.RegionOf
}

// SetSeeds replaces the seed addresses.
func (r *Replica) SetSeeds(seeds []string) {
	r.seeds.Store(&seeds)
	r.poller.SetSeeds(seeds)
}

// openStorage opens the log in options.Files if they are set, and else in the data folder.
func openStorage(options Options) (*state, error) {
	if options.Files != nil {
		return openState(options.Files)
	}
	return openDataFolder(options.DataFolder)
}

// openDataFolder opens the log. A damaged log is deleted completely: the replica starts empty and
// recovers from the other members.
func openDataFolder(folder string) (*state, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	opened, err := openState(recordlog.Directory(folder))
	var damaged *recordlog.Damaged
	if !errors.As(err, &damaged) {
		return opened, err
	}
	eventFolderDamaged.Log("segment", damaged.Segment, "offset", damaged.Offset)
	if err := removeFiles(folder); err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	return openState(recordlog.Directory(folder))
}

func removeFiles(folder string) error {
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

// Run serves until stop is canceled. It then waits until standbys, if there are any, have replaced
// this node in its groups.
func (r *Replica) Run(stop context.Context) error {
	err := r.run(stop)
	if err != nil {
		eventFailed.Log("cause", err.Error())
	}
	return err
}

func (r *Replica) run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	listener, err := transport.Listen(ctx, r.options.Address, tcpUserTimeout)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	mux := http.NewServeMux()
	limiter := newInFlightLimiter(r.quorum.BoundCalls(mux), quorum.NewRejecter(transport.HandlerOptions()...))
	registry := telemetry.NewRegistry()
	r.registerGauges(registry, limiter)
	r.quorum.MeterTraffic(traffic.New(registry))
	if err := telemetry.Serve(ctx, r.options.MetricsAddress, registry, r.readiness); err != nil {
		return err
	}
	handler := &service{
		node: r.options.Node, stopping: r.stopping.Load, state: r.state, directory: r.directory, peers: r.peers, gateways: newGatewayRegistry(time.Now).withRegions(r.distanceRegions()), storeViewAge: r.storeViewAge, nodes: r.nodes,
		versions:           r.versions,
		workerObservations: newWorkerObservations(time.Now), grants: r.grants, report: r.report, quarantine: newQuarantineHub(r.state.quarantine, time.Now),
	}
	handlerOptions := append(transport.HandlerOptions(), connect.WithInterceptors(quorum.VerifyCallerSystem(r.directory), processIDInterceptor(r.processID)))
	mux.Handle(replicav1connect.NewReplicaServiceHandler(handler, handlerOptions...))
	server := transport.NewPeerServer(limiter)
	go func() {
		select {
		case <-stop.Done():
			r.awaitReplacements(ctx)
		case <-r.state.log.Failed():
		}
		cancel()
		server.Close()
	}()
	go r.runStoreWatch(ctx)
	go func() {
		r.discoverSystem(ctx)
		r.poller.Run(ctx)
	}()
	go r.runWorkerPersistence(ctx)
	go r.runCompaction(ctx)
	go r.runDiskChecks(ctx)
	go r.grants.runCleanup(ctx)
	go r.runQuarantineExpiry(ctx)
	go r.runQuarantinePersistence(ctx)
	go r.runLoanReturns(ctx)
	go r.register(ctx)
	go r.runAnnouncements(ctx)
	go r.reconcileSeats(ctx)
	go r.runSelfPauseChecks(ctx)
	go r.reconcileGroups(ctx)
	go r.runStoreUpdates(ctx)
	go limiter.counts.logRejections(ctx)
	eventStarted.Log("node", r.options.Node, "address", r.options.Address, "bootstrap", r.options.Bootstrap)
	err = server.Serve(listener)
	eventStopped.Log("node", r.options.Node)
	r.state.log.Close()
	if failed := r.state.log.Failure(); failed != nil {
		// A new process opens the log again. This one would keep its seat and store nothing.
		return failed
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &failure.Internal{Cause: err}
}
