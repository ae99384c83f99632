package replication

import (
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// StateMachine is the state of one shard. The host calls one of its methods at
// a time, from changing goroutines.
type StateMachine interface {
	// Apply takes one committed record; index only rises.
	Apply(index uint64, data []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Transport carries batches to peers. Send must not block; it may lose,
// repeat, delay and reorder batches. Batches must not be changed.
type Transport interface {
	Send(to structs.NodeID, batch *journalv1.Batch)
}

// Member is one replica of a group.
type Member = journal.Member

// InitialGroup is the genesis of a shard. All members must be given the same one.
type InitialGroup struct {
	Shard   structs.ShardID
	Members []Member
}

// Options configure a Host. Zero values of the bounds mean the defaults.
type Options struct {
	// Self is this daemon in this life.
	Self structs.Node
	// DataDir is the data folder; empty keeps everything in memory only.
	DataDir   string
	Transport Transport
	// Nodes returns the present view of the cluster; nil means that only
	// SuspectNode tells of failures.
	Nodes           func() []structs.Node
	NewStateMachine func(structs.ShardID) StateMachine
	// OnLeadershipChange is told, in order, when this daemon begins and ceases to
	// lead. Leading is true only once all that was committed is applied here.
	OnLeadershipChange func(shard structs.ShardID, leading bool, term uint64)
	// TickInterval is the unit of the replicas' timeouts.
	TickInterval time.Duration
	// RetainedLogBytes bounds the applied entries that a replica keeps in memory for
	// members that lag.
	RetainedLogBytes int
	// Seed of the random source that spreads campaigns; 0 draws one.
	Seed uint64
	// Storage replaces the store in DataDir, for tests.
	Storage Storage
}

// Defaults of the options.
const (
	DefaultTickInterval     = 20 * time.Millisecond
	DefaultRetainedLogBytes = 1 << 20
	maxWorkers              = 4
)

// Host runs the replicas of one daemon.
type Host struct {
	options Options
	self    journal.MemberID
	workers []*worker
	store   *writer
	// shards is copied on write under mutex and read without a lock.
	shards   atomic.Pointer[map[structs.ShardID]*shard]
	mutex    sync.Mutex
	former   map[structs.ShardID]formerShard
	suspects suspects
	notices  *notifier
	failed   atomic.Pointer[failure.DiskFailed]
	closing  chan struct{}
	closed   sync.Once
	done     sync.WaitGroup
}

// formerShard is what is kept of a shard that left this daemon.
type formerShard struct {
	tombstone *journalv1.State
	status    Status
}

// NewHost starts a host with the shards that its store holds. The error is a
// *failure.DiskFailed.
func NewHost(options Options) (*Host, error) {
	if options.TickInterval == 0 {
		options.TickInterval = DefaultTickInterval
	}
	if options.RetainedLogBytes == 0 {
		options.RetainedLogBytes = DefaultRetainedLogBytes
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	h := &Host{
		options: options,
		self:    journal.MemberID{Node: options.Self.ID, Incarnation: options.Self.Incarnation},
		former:  map[structs.ShardID]formerShard{},
		closing: make(chan struct{}),
	}
	h.shards.Store(&map[structs.ShardID]*shard{})
	h.notices = newNotifier(options.OnLeadershipChange)
	for i := range min(maxWorkers, runtime.GOMAXPROCS(0)) {
		h.workers = append(h.workers, newWorker(h, uint64(i)))
	}
	if err := h.openStore(); err != nil {
		return nil, err
	}
	h.start()
	return h, nil
}

func (h *Host) openStore() error {
	storage := h.options.Storage
	if storage == nil && h.options.DataDir != "" {
		opened, err := OpenBoltStorage(h.options.DataDir, h.self.Incarnation)
		if err != nil {
			return err
		}
		storage = opened
	}
	if storage == nil {
		return nil
	}
	stored, err := storage.Load()
	if err != nil {
		return err
	}
	h.store = newWriter(storage, h.diskFailed)
	for id, found := range stored {
		if err := h.restore(id, found); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) restore(id structs.ShardID, found StoredShard) error {
	if found.State.GetRemoved() {
		h.former[id] = formerShard{tombstone: found.State, status: Status{Shard: id, Removed: true}}
		return nil
	}
	created := h.newShard(id, found.RestoredReplica())
	if len(found.Snapshot.Data) > 0 {
		if err := created.restoreMachine(found.Snapshot.Data); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	created.snapshotBytes, created.storedSnapshot = len(found.Snapshot.Data), found.Snapshot.Index
	h.addShard(created)
	return nil
}

func (h *Host) start() {
	if h.store != nil {
		h.done.Go(h.store.run)
	}
	for _, w := range h.workers {
		h.done.Go(w.run)
	}
	h.done.Go(h.notices.run)
	h.done.Go(h.watchNodes)
}

// Close stops the host at once. It hands nothing over and loses what only
// memory holds; those who wait are told that the outcome is unknown.
func (h *Host) Close() error {
	h.closed.Do(func() {
		close(h.closing)
		h.notices.stop()
		if h.store != nil {
			h.store.stop()
		}
	})
	h.done.Wait()
	if h.store != nil {
		return h.store.storage.Close()
	}
	return nil
}

// CreateReplica makes this daemon's replica of a new shard. It does nothing where the
// shard exists or existed here, and where the group does not name this very
// incarnation: a daemon that lost its memory is only ever admitted by a leader.
func (h *Host) CreateReplica(group InitialGroup) error {
	if failed := h.failed.Load(); failed != nil {
		return failed
	}
	if !slices.ContainsFunc(group.Members, func(m Member) bool { return m.ID() == h.self }) {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, exists := (*h.shards.Load())[group.Shard]; exists {
		return nil
	}
	if _, existed := h.former[group.Shard]; existed {
		return nil
	}
	genesis := journal.BootstrapState(group.Members)
	created := h.newShard(group.Shard, genesis)
	created.genesis = &journal.Snapshot{Membership: genesis.Membership}
	h.addShardLocked(created)
	created.worker.post(&inputCreated{shard: created})
	return nil
}

func (h *Host) newShard(id structs.ShardID, restored journal.InitialState) *shard {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(id)))
	self := h.self
	self.Admission = restored.State.GetAdmission()
	config := journal.DefaultConfig(id, self, random)
	return newShard(h, id, h.workers[int(id)%len(h.workers)], journal.New(config, restored))
}

func (h *Host) addShard(created *shard) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.addShardLocked(created)
}

func (h *Host) addShardLocked(created *shard) {
	next := maps.Clone(*h.shards.Load())
	next[created.id] = created
	h.shards.Store(&next)
	delete(h.former, created.id)
}

func (h *Host) dropShard(dropped *shard, tombstone *journalv1.State) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	next := maps.Clone(*h.shards.Load())
	delete(next, dropped.id)
	h.shards.Store(&next)
	status := *dropped.status.Load()
	status.Removed = true
	h.former[dropped.id] = formerShard{tombstone: tombstone, status: status}
}

func (h *Host) shard(id structs.ShardID) (*shard, bool) {
	found, exists := (*h.shards.Load())[id]
	return found, exists
}

// ReconcileMembers moves the group toward the wanted voters while this daemon leads
// it. A daemon that does not lead keeps the wish until it has led; one that
// ceases to lead forgets it. Call it now and then at the leader.
func (h *Host) ReconcileMembers(id structs.ShardID, wanted []Member) {
	found, exists := h.shard(id)
	if !exists {
		return
	}
	found.worker.post(&inputReconcile{shard: found, wanted: slices.Clone(wanted)})
}

// diskFailed drops every replica: what it promises can no longer be kept.
func (h *Host) diskFailed(cause *failure.DiskFailed) {
	if !h.failed.CompareAndSwap(nil, cause) {
		return
	}
	eventDiskFailed.Log("node", h.self.Node, "cause", cause.Error())
	for _, w := range h.workers {
		w.post(&inputDiskFailed{cause: cause})
	}
}
