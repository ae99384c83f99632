package directory

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// ConfigurationName is the name of the only object of its kind. firstGroupName is the name of the
// group of partition 0; it does not contain a number because earlier releases had only one group.
const (
	ConfigurationName = "main"
	firstGroupName    = "main"
)

// GroupName returns the name of the object that holds the group of a partition.
func GroupName(partition uint32) string {
	if partition == 0 {
		return firstGroupName
	}
	return "partition-" + strconv.FormatUint(uint64(partition), 10)
}

const (
	// minInitialBackoff is the minimum delay after the first of several failed calls. Processes
	// that watch zone drains use at least 1/initialBackoffDivisor of the maximum backoff, because
	// many of them fail at the same time when the store stops answering.
	minInitialBackoff     = 80 * time.Millisecond
	initialBackoffDivisor = 16
	// WatchTimeout is the duration of a watch.
	WatchTimeout = 12 * time.Second
	// probeWatchTimeout is the duration of a watch after a failed call.
	probeWatchTimeout = 200 * time.Millisecond
	// coalesceDelay is the delay before the next watch of a kind with many objects. It combines
	// changes, each of which would otherwise cost one call per watcher.
	coalesceDelay = 250 * time.Millisecond
)

// coalescedKinds are the kinds with many objects that may change at the same time.
var coalescedKinds = map[Kind]bool{KindWorker: true, KindReplica: true, KindGroup: true}

// Timings configures how quickly a Watcher notices changes and failures of the platform's store.
type Timings struct {
	// ConfigurationWatchTimeout is the duration of a watch of the configuration. A store that stops
	// answering during a watch is only detected at the end of the watch, which then also cancels
	// the watches of the other kinds.
	ConfigurationWatchTimeout time.Duration
	// MaxBackoff is the maximum delay between failed calls.
	MaxBackoff time.Duration
}

var (
	// ReplicaTimings is for replicas, which relay updates to other processes. GatewayTimings is for
	// gateways, which also receive updates from replicas.
	ReplicaTimings = Timings{ConfigurationWatchTimeout: 2 * time.Second, MaxBackoff: 400 * time.Millisecond}
	GatewayTimings = Timings{ConfigurationWatchTimeout: WatchTimeout, MaxBackoff: 2 * time.Second}
)

var (
	eventStoreUnavailable = event.Define(2601, event.Warning, "the platform's store does not answer", "Check the store and the network path to it. The last known state stays in effect, and replicas are asked for updates.")
	eventStoreRecovered   = event.Define(2602, event.Info, "the platform's store answers again", "")
	eventConfiguration    = event.Define(2603, event.Info, "configuration applied", "")
	eventWorkers          = event.Define(2604, event.Info, "workers changed", "")
	eventGroup            = event.Define(2605, event.Info, "the replica group of a partition changed", "")
	eventForeignGroup     = event.Define(2609, event.Error, "a replica group of another system was rejected", "Check which process uses the source's address. The address may have belonged to another system, or the settings may point to another platform's store.")
	eventZoneDrains       = event.Define(2606, event.Info, "drained zones changed", "")
)

// Sources of a group that is known to belong to this process's system.
const (
	// SourceStore is the platform's store.
	SourceStore = "store"
	// SourceDisk is the data directory of this process.
	SourceDisk = "disk"
	// SourceSelf is this process, whose proposal was accepted.
	SourceSelf = "self"
	// SourceVerifiedPeer is a peer whose group has been verified to belong to this process's
	// system.
	SourceVerifiedPeer = "verified peer"
)

// Watcher lists and watches kinds of objects in the platform's store and applies them to a State.
type Watcher struct {
	store   Store
	state   *State
	timings Timings
	// failingKinds counts the kinds whose last call failed, syncedKinds those that have been listed
	// successfully.
	failingKinds, syncedKinds atomic.Int32
	// syncedWorkerWatches counts the worker watches that have been listed successfully.
	syncedWorkerWatches atomic.Int32
	outage              *outage
	// maxBackoff is the maximum delay between failed calls, in nanoseconds.
	maxBackoff atomic.Int64
	// drainWatchTimeout is the duration of a watch of the drained zones. They are not watched if it
	// is 0.
	drainWatchTimeout time.Duration
	unusable          *unusableEntries

	mutex sync.Mutex
	// interrupt is closed and replaced when a kind starts to fail.
	interrupt chan struct{}
}

// NewWatcher returns a watcher that makes no calls until one of its List, Watch or Run methods is
// called.
func NewWatcher(store Store, state *State, timings Timings) *Watcher {
	watcher := &Watcher{store: store, state: state, timings: timings, interrupt: make(chan struct{}), outage: newOutage(), unusable: newUnusableEntries()}
	watcher.SetMaxBackoff(timings.MaxBackoff)
	return watcher
}

// EnableZoneDrains makes the watcher also list and watch the drained zones, for which it makes no
// calls otherwise. A store that stops answering during a watch is only detected when watchTimeout
// has passed. It must be called before Run.
func (w *Watcher) EnableZoneDrains(watchTimeout time.Duration) { w.drainWatchTimeout = watchTimeout }

// RegisterMetrics registers the gauge of unusable entries in the store, and the store's own metrics.
func (w *Watcher) RegisterMetrics(registry *telemetry.Registry) {
	w.unusable.registerMetrics(registry)
	if metered, ok := w.store.(MeteredStore); ok {
		metered.RegisterMetrics(registry)
	}
}

// WorkerWatchHealthy reports whether the workers are being watched and no kind is failing.
func (w *Watcher) WorkerWatchHealthy() bool {
	return w.syncedWorkerWatches.Load() > 0 && w.failingKinds.Load() == 0
}

// Healthy reports whether at least one kind is being watched and none is failing.
func (w *Watcher) Healthy() bool { return w.syncedKinds.Load() > 0 && w.failingKinds.Load() == 0 }

// SetMaxBackoff sets the maximum delay between failed calls.
func (w *Watcher) SetMaxBackoff(backoff time.Duration) { w.maxBackoff.Store(int64(backoff)) }

// initialBackoff returns the delay after the first of several failed calls.
func (w *Watcher) initialBackoff() time.Duration {
	if w.drainWatchTimeout == 0 {
		return minInitialBackoff
	}
	return max(minInitialBackoff, w.MaxBackoff()/initialBackoffDivisor)
}

// MaxBackoff returns the maximum delay between failed calls.
func (w *Watcher) MaxBackoff() time.Duration { return time.Duration(w.maxBackoff.Load()) }

// Run watches the configuration, the drained zones, the workers and the groups until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.WatchConfiguration(ctx)
	go w.WatchZoneDrains(ctx)
	w.WatchWorkersAndGroups(ctx)
}

// WatchConfiguration watches only the configuration until ctx ends.
func (w *Watcher) WatchConfiguration(ctx context.Context) {
	w.ListAndWatch(ctx, KindConfiguration, "configuration", w.timings.ConfigurationWatchTimeout, w.applyConfiguration)
}

// WatchZoneDrains watches only the drained zones until ctx ends. It returns at once if
// EnableZoneDrains was not called.
func (w *Watcher) WatchZoneDrains(ctx context.Context) {
	if w.drainWatchTimeout > 0 {
		w.ListAndWatch(ctx, KindZoneDrain, "zone drains", w.drainWatchTimeout, w.applyZoneDrains)
	}
}

// WatchWorkersAndGroups watches the workers and the groups until ctx ends.
func (w *Watcher) WatchWorkersAndGroups(ctx context.Context) {
	go w.ListAndWatch(ctx, KindGroup, "groups", WatchTimeout, w.applyGroup)
	w.ListAndWatch(ctx, KindWorker, "workers", WatchTimeout, w.applyWorkers)
}

// ListConfiguration lists the configuration once and does not retry a failed call.
func (w *Watcher) ListConfiguration(ctx context.Context) {
	w.listOnce(ctx, KindConfiguration, "configuration", w.applyConfiguration)
}

// ListZoneDrains lists the drained zones once, if EnableZoneDrains was called. It does not retry a
// failed call.
func (w *Watcher) ListZoneDrains(ctx context.Context) {
	if w.drainWatchTimeout > 0 {
		w.listOnce(ctx, KindZoneDrain, "zone drains", w.applyZoneDrains)
	}
}

// ListWorkersGroupsAndDrains lists the workers, the groups and, if enabled, the drained zones once.
// It does not retry a failed call.
func (w *Watcher) ListWorkersGroupsAndDrains(ctx context.Context) {
	var pending sync.WaitGroup
	pending.Go(func() { w.listOnce(ctx, KindGroup, "groups", w.applyGroup) })
	pending.Go(func() { w.listOnce(ctx, KindWorker, "workers", w.applyWorkers) })
	pending.Go(func() { w.ListZoneDrains(ctx) })
	pending.Wait()
}

func (w *Watcher) listOnce(ctx context.Context, kind Kind, name string, apply func(Listing, []Change, int64)) {
	if _, err := w.listOrWatch(ctx, nil, kind, 0, 0, apply); err != nil {
		eventStoreUnavailable.Log("kind", name, "cause", err.Error())
	}
}

func (w *Watcher) applyConfiguration(listing Listing, changes []Change, _ int64) {
	for _, object := range listing.Objects {
		w.state.ApplyConfiguration(object.Configuration)
	}
	for _, change := range changes {
		w.state.ApplyConfiguration(change.Object.Configuration)
	}
}

func (w *Watcher) applyGroup(listing Listing, changes []Change, _ int64) {
	for _, object := range listing.Objects {
		w.state.ApplyGroup(object.Group, SourceStore)
	}
	for _, change := range changes {
		w.state.ApplyGroup(change.Object.Group, SourceStore)
	}
}

func (w *Watcher) applyWorkers(listing Listing, changes []Change, revision int64) {
	if listing.Revision == 0 {
		w.state.ApplyWorkerChanges(changes, revision)
		return
	}
	workers := make([]Worker, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		workers = append(workers, *object.Worker)
	}
	w.state.ReplaceWorkers(workers, revision, listing.Unusable...)
}

func (w *Watcher) applyZoneDrains(listing Listing, changes []Change, revision int64) {
	if listing.Revision == 0 {
		w.state.ApplyZoneDrainChanges(changes, revision)
		return
	}
	zones := make([]string, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		zones = append(zones, object.Name)
	}
	w.state.ReplaceZoneDrains(zones, revision)
}

// ListAndWatch lists a kind once and then watches it until ctx ends. It lists again when the store
// has lost the history. Failed calls are retried with a growing backoff, by one kind on behalf of
// all failing kinds. When a call of another kind fails, a running watch is canceled, because its
// connection may be dead.
func (w *Watcher) ListAndWatch(ctx context.Context, kind Kind, name string, timeout time.Duration, apply func(Listing, []Change, int64)) {
	var revision int64
	backoff, failed, shortened, synced := w.initialBackoff(), false, false, false
	defer func() {
		if failed {
			w.failingKinds.Add(-1)
		}
		if synced {
			w.addSynced(kind, -1)
		}
	}()
	for ctx.Err() == nil {
		watchTimeout := timeout
		if failed || shortened {
			watchTimeout = probeWatchTimeout
		}
		interrupted := w.watchInterrupt()
		next, err := w.listOrWatch(ctx, interrupted, kind, revision, watchTimeout, apply)
		var lost *HistoryLost
		if err == nil || errors.As(err, &lost) {
			if !synced {
				synced = true
				w.addSynced(kind, 1)
			}
			if failed {
				failed = false
				w.failingKinds.Add(-1)
				eventStoreRecovered.Log("kind", name)
			}
			w.outage.end()
			if coalescedKinds[kind] && next != revision {
				pause.For(ctx, coalesceDelay)
			}
			revision, backoff, shortened = next, w.initialBackoff(), false
			continue
		}
		if !failed && !shortened && isClosed(interrupted) {
			shortened = true
			continue
		}
		if !failed && ctx.Err() == nil {
			failed = true
			w.failingKinds.Add(1)
			w.interruptWatches()
			eventStoreUnavailable.Log("kind", name, "cause", err.Error())
		}
		w.outage.waitToRetry(ctx, kind, backoff)
		backoff = min(2*backoff, w.MaxBackoff())
	}
	w.outage.releaseProber(kind)
}

// addSynced adds change to the number of kinds that have been listed successfully.
func (w *Watcher) addSynced(kind Kind, change int32) {
	w.syncedKinds.Add(change)
	if kind == KindWorker {
		w.syncedWorkerWatches.Add(change)
	}
}

// watchInterrupt returns a channel that is closed when the next kind starts to fail.
func (w *Watcher) watchInterrupt() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.interrupt
}

// interruptWatches cancels all running watches.
func (w *Watcher) interruptWatches() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	close(w.interrupt)
	w.interrupt = make(chan struct{})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// withCancelOnClose returns a context that is also canceled when the channel is closed.
func withCancelOnClose(ctx context.Context, channel <-chan struct{}) (context.Context, context.CancelFunc) {
	derived, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-channel:
			cancel()
		case <-derived.Done():
		}
	}()
	return derived, cancel
}

func (w *Watcher) listOrWatch(ctx context.Context, interrupted <-chan struct{}, kind Kind, revision int64, timeout time.Duration, apply func(Listing, []Change, int64)) (int64, error) {
	if revision == 0 {
		listing, err := w.store.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		w.unusable.applyListing(kind, listing)
		apply(listing, nil, listing.Revision)
		return listing.Revision, nil
	}
	watching, cancel := withCancelOnClose(ctx, interrupted)
	defer cancel()
	changes, next, err := w.store.Watch(watching, kind, revision, timeout)
	if err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		w.unusable.applyChanges(kind, changes)
		apply(Listing{}, changes, next)
	}
	return next, nil
}
