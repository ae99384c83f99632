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

// ConfigurationName is the name of the single object of its kind, and firstGroupName
// that of the group of partition 0, which was the only one once.
const (
	ConfigurationName = "main"
	firstGroupName    = "main"
)

// GroupName returns the name of the object that holds a partition's group.
func GroupName(partition uint32) string {
	if partition == 0 {
		return firstGroupName
	}
	return "partition-" + strconv.FormatUint(uint64(partition), 10)
}

const (
	// firstRetry is the time after the first failed call of a row. Where drains are followed
	// many processes begin together soon after the store falls silent; there it is at least
	// this part of the longest distance between failed calls.
	firstRetry      = 80 * time.Millisecond
	firstRetryShare = 16
	// WatchTimeout is how long a watch lasts.
	WatchTimeout = 12 * time.Second
	// probeWait is the wait of a watch after a failed call.
	probeWait = 200 * time.Millisecond
	// gather is the time for which changes of a kind with many objects are gathered
	// before the next watch: each change would cost each follower a call.
	gather = 250 * time.Millisecond
)

// gathered are the kinds of which many objects may change at a time.
var gathered = map[Kind]bool{KindWorker: true, KindReplica: true, KindGroup: true}

// Timings is how closely a process follows the platform's store.
type Timings struct {
	// ConfigurationWatchTimeout is how long a watch of the configuration lasts: a store that
	// has fallen silent in the middle of a watch shows only when the watch is over,
	// and then the watches of the other kinds are cut short.
	ConfigurationWatchTimeout time.Duration
	// MaxBackoff is the longest time between failed calls.
	MaxBackoff time.Duration
}

var (
	// ReplicaTimings is for processes that pass news on, Hearing for those that hear them
	// from others too.
	ReplicaTimings = Timings{ConfigurationWatchTimeout: 2 * time.Second, MaxBackoff: 400 * time.Millisecond}
	GatewayTimings = Timings{ConfigurationWatchTimeout: WatchTimeout, MaxBackoff: 2 * time.Second}
)

var (
	eventStoreLost     = event.Define(2601, event.Warning, "the platform's store does not answer", "Look at the store and the path to it; what is known stays in force, and replicas are asked for news.")
	eventStoreBack     = event.Define(2602, event.Info, "the platform's store answers again", "")
	eventConfiguration = event.Define(2603, event.Info, "configuration in force", "")
	eventWorkers       = event.Define(2604, event.Info, "workers changed", "")
	eventGroup         = event.Define(2605, event.Info, "a partition's group of replicas changed", "")
	eventForeignGroup  = event.Define(2609, event.Error, "a group of replicas of another system is refused", "Look whose process is at the source's address: an address that another system had, or settings that lead to another platform's store.")
	eventZoneDrains    = event.Define(2606, event.Info, "drained zones changed", "")
)

// Sources of a group that is known to be of the own system.
const (
	// SourceStore is the platform's store.
	SourceStore = "store"
	// SourceDisk is this process's own data folder.
	SourceDisk = "disk"
	// SourceSelf is this process, whose proposal was accepted.
	SourceSelf = "self"
	// SourceVerifiedPeer is a peer whose group has been shown to be this process's own.
	SourceVerifiedPeer = "proven peer"
)

// Watcher follows kinds of objects in the platform's store into a State.
type Watcher struct {
	objects Store
	state   *State
	pace    Timings
	// failing counts the kinds whose last call failed, heard those whose calls have
	// been answered.
	failing, heard atomic.Int32
	// workersHeard counts the followers of the workers whose calls have been answered.
	workersHeard atomic.Int32
	outage       *outage
	// lastRetry is the longest time between failed calls.
	lastRetry atomic.Int64
	// drainWait is how long a watch of the drained zones lasts; 0 does not follow them.
	drainWait time.Duration
	unusable  *unusableEntries

	mutex sync.Mutex
	// suspicion is closed, and replaced, when a kind begins to fail.
	suspicion chan struct{}
}

// NewWatcher returns a feed; Run starts it.
func NewWatcher(objects Store, state *State, pace Timings) *Watcher {
	feed := &Watcher{objects: objects, state: state, pace: pace, suspicion: make(chan struct{}), outage: newOutage(), unusable: newUnusableEntries()}
	feed.SetMaxBackoff(pace.MaxBackoff)
	return feed
}

// EnableZoneDrains makes the feed follow which zones are drained too, by watches that last
// for a time: a store that has fallen silent in the middle of one shows when it is over.
// Without it no call is made for them. It is called before Run.
func (f *Watcher) EnableZoneDrains(wait time.Duration) { f.drainWait = wait }

// RegisterMetrics keeps a gauge of the store's entries that name nothing to use.
func (f *Watcher) RegisterMetrics(registry *telemetry.Registry) { f.unusable.report(registry) }

// WorkerWatchHealthy reports whether the workers are followed at the store, which answers.
func (f *Watcher) WorkerWatchHealthy() bool {
	return f.workersHeard.Load() > 0 && f.failing.Load() == 0
}

// Healthy reports whether the store is followed and answers.
func (f *Watcher) Healthy() bool { return f.heard.Load() > 0 && f.failing.Load() == 0 }

// SetMaxBackoff changes the longest time between failed calls.
func (f *Watcher) SetMaxBackoff(last time.Duration) { f.lastRetry.Store(int64(last)) }

// firstRetry returns the time after the first failed call of a row.
func (f *Watcher) firstRetry() time.Duration {
	if f.drainWait == 0 {
		return firstRetry
	}
	return max(firstRetry, f.MaxBackoff()/firstRetryShare)
}

// MaxBackoff returns the longest time between failed calls.
func (f *Watcher) MaxBackoff() time.Duration { return time.Duration(f.lastRetry.Load()) }

// Run follows the configuration, the drained zones, the workers and the group until ctx
// ends.
func (f *Watcher) Run(ctx context.Context) {
	go f.WatchConfiguration(ctx)
	go f.WatchZoneDrains(ctx)
	f.WatchWorkersAndGroups(ctx)
}

// WatchConfiguration follows the configuration alone until ctx ends.
func (f *Watcher) WatchConfiguration(ctx context.Context) {
	f.ListAndWatch(ctx, KindConfiguration, "configuration", f.pace.ConfigurationWatchTimeout, f.takeConfiguration)
}

// WatchZoneDrains follows the drained zones alone until ctx ends; it returns at once where
// they are not followed.
func (f *Watcher) WatchZoneDrains(ctx context.Context) {
	if f.drainWait > 0 {
		f.ListAndWatch(ctx, KindZoneDrain, "zone drains", f.drainWait, f.takeZoneDrains)
	}
}

// WatchWorkersAndGroups follows the workers and the group until ctx ends.
func (f *Watcher) WatchWorkersAndGroups(ctx context.Context) {
	go f.ListAndWatch(ctx, KindGroup, "groups", WatchTimeout, f.takeGroup)
	f.ListAndWatch(ctx, KindWorker, "workers", WatchTimeout, f.takeWorkers)
}

// ListConfiguration lists the configuration once. A call that fails is not repeated.
func (f *Watcher) ListConfiguration(ctx context.Context) {
	f.listOnce(ctx, KindConfiguration, "configuration", f.takeConfiguration)
}

// ListZoneDrains lists the drained zones once, where they are followed. A call that fails
// is not repeated.
func (f *Watcher) ListZoneDrains(ctx context.Context) {
	if f.drainWait > 0 {
		f.listOnce(ctx, KindZoneDrain, "zone drains", f.takeZoneDrains)
	}
}

// ListWorkersGroupsAndDrains lists the workers, the groups and the drained zones once. A call that fails is
// not repeated.
func (f *Watcher) ListWorkersGroupsAndDrains(ctx context.Context) {
	var listing sync.WaitGroup
	listing.Go(func() { f.listOnce(ctx, KindGroup, "groups", f.takeGroup) })
	listing.Go(func() { f.listOnce(ctx, KindWorker, "workers", f.takeWorkers) })
	listing.Go(func() { f.ListZoneDrains(ctx) })
	listing.Wait()
}

func (f *Watcher) listOnce(ctx context.Context, kind Kind, name string, take func(Listing, []Change, int64)) {
	if _, err := f.step(ctx, nil, kind, 0, 0, take); err != nil {
		eventStoreLost.Log("kind", name, "cause", err.Error())
	}
}

func (f *Watcher) takeConfiguration(listing Listing, changes []Change, _ int64) {
	for _, object := range listing.Objects {
		f.state.ApplyConfiguration(object.Configuration)
	}
	for _, change := range changes {
		f.state.ApplyConfiguration(change.Object.Configuration)
	}
}

func (f *Watcher) takeGroup(listing Listing, changes []Change, _ int64) {
	for _, object := range listing.Objects {
		f.state.ApplyGroup(object.Group, SourceStore)
	}
	for _, change := range changes {
		f.state.ApplyGroup(change.Object.Group, SourceStore)
	}
}

func (f *Watcher) takeWorkers(listing Listing, changes []Change, revision int64) {
	if listing.Revision == 0 {
		f.state.ApplyWorkerChanges(changes, revision)
		return
	}
	workers := make([]Worker, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		workers = append(workers, *object.Worker)
	}
	f.state.ReplaceWorkers(workers, revision, listing.Unusable...)
}

func (f *Watcher) takeZoneDrains(listing Listing, changes []Change, revision int64) {
	if listing.Revision == 0 {
		f.state.ApplyZoneDrainChanges(changes, revision)
		return
	}
	zones := make([]string, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		zones = append(zones, object.Name)
	}
	f.state.ReplaceZoneDrains(zones, revision)
}

// ListAndWatch lists a kind once and then watches it; after lost history it lists
// again. A failed call is repeated after a growing pause, by one kind for all whose
// calls fail. When a call of another kind has failed, a watch that waits is cut short:
// it may wait on a connection that will say nothing more.
func (f *Watcher) ListAndWatch(ctx context.Context, kind Kind, name string, wait time.Duration, take func(Listing, []Change, int64)) {
	var revision int64
	retry, failed, short, heard := f.firstRetry(), false, false, false
	defer func() {
		if failed {
			f.failing.Add(-1)
		}
		if heard {
			f.noteHeard(kind, -1)
		}
	}()
	for ctx.Err() == nil {
		thisWait := wait
		if failed || short {
			thisWait = probeWait
		}
		suspected := f.suspected()
		next, err := f.step(ctx, suspected, kind, revision, thisWait, take)
		var lost *HistoryLost
		if err == nil || errors.As(err, &lost) {
			if !heard {
				heard = true
				f.noteHeard(kind, 1)
			}
			if failed {
				failed = false
				f.failing.Add(-1)
				eventStoreBack.Log("kind", name)
			}
			f.outage.end()
			if gathered[kind] && next != revision {
				pause.For(ctx, gather)
			}
			revision, retry, short = next, f.firstRetry(), false
			continue
		}
		if !failed && !short && isClosed(suspected) {
			short = true
			continue
		}
		if !failed && ctx.Err() == nil {
			failed = true
			f.failing.Add(1)
			f.suspect()
			eventStoreLost.Log("kind", name, "cause", err.Error())
		}
		f.outage.pause(ctx, kind, retry)
		retry = min(2*retry, f.MaxBackoff())
	}
	f.outage.leave(kind)
}

// noteHeard counts a follower of a kind whose calls are answered, or takes it back.
func (f *Watcher) noteHeard(kind Kind, change int32) {
	f.heard.Add(change)
	if kind == KindWorker {
		f.workersHeard.Add(change)
	}
}

// suspected returns a channel that is closed when the next call fails.
func (f *Watcher) suspected() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.suspicion
}

// suspect cuts all watches short that wait.
func (f *Watcher) suspect() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.suspicion)
	f.suspicion = make(chan struct{})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// until returns a context that also ends when the channel is closed.
func until(ctx context.Context, channel <-chan struct{}) (context.Context, context.CancelFunc) {
	ended, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-channel:
			cancel()
		case <-ended.Done():
		}
	}()
	return ended, cancel
}

func (f *Watcher) step(ctx context.Context, suspected <-chan struct{}, kind Kind, revision int64, wait time.Duration, take func(Listing, []Change, int64)) (int64, error) {
	if revision == 0 {
		listing, err := f.objects.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		f.unusable.takeListing(kind, listing)
		take(listing, nil, listing.Revision)
		return listing.Revision, nil
	}
	waiting, cancel := until(ctx, suspected)
	defer cancel()
	changes, next, err := f.objects.Watch(waiting, kind, revision, wait)
	if err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		f.unusable.takeChanges(kind, changes)
		take(Listing{}, changes, next)
	}
	return next, nil
}
