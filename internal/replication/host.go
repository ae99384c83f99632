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

// StateMachine is the state of one shard. The host calls its methods one at a
// time, but from different goroutines.
type StateMachine interface {
	// Apply applies one committed record. The index increases from call to call.
	Apply(index uint64, data []byte)
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(data []byte) error
}

// Transport sends batches to peers. Send must not block and must not modify the
// batch. It may lose, duplicate, delay and reorder batches.
type Transport interface {
	Send(to structs.NodeID, batch *journalv1.Batch)
}

// Member is one replica of a group.
type Member = journal.Member

// InitialGroup is the initial membership of a shard. All its members must be
// created with the same one.
type InitialGroup struct {
	Shard   structs.ShardID
	Members []Member
}

// Options configure a Host. Zero values of TickInterval and RetainedLogBytes
// mean the defaults.
type Options struct {
	// Self is this daemon with its current incarnation.
	Self structs.Node
	// DataDir is the data folder. If it is empty, all state is kept only in memory.
	DataDir   string
	Transport Transport
	// Nodes returns the current view of the cluster. If it is nil, only
	// SuspectNode reports failures.
	Nodes           func() []structs.Node
	NewStateMachine func(structs.ShardID) StateMachine
	// OnLeadershipChange is called, in order, when this daemon becomes leader
	// and when it loses leadership. It is called with leading set only once
	// all committed entries are applied here.
	OnLeadershipChange func(shard structs.ShardID, leading bool, term uint64)
	// TickInterval is the unit of the replicas' timeouts.
	TickInterval time.Duration
	// RetainedLogBytes bounds the applied entries that a replica keeps in
	// memory for lagging members.
	RetainedLogBytes int
	// Seed seeds the random source that spreads campaigns. 0 draws a random seed.
	Seed uint64
	// Storage replaces the database in DataDir, for tests.
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
	writer  *storageWriter
	// shards is copied on write under mutex and read without a lock.
	shards      atomic.Pointer[map[structs.ShardID]*shard]
	mutex       sync.Mutex
	removed     map[structs.ShardID]removedShard
	suspicions  suspicionTracker
	notifier    *leadershipNotifier
	diskFailure atomic.Pointer[failure.DiskFailed]
	closing     chan struct{}
	closeOnce   sync.Once
	goroutines  sync.WaitGroup
}

// removedShard is what remains of a shard whose replica was removed from this
// daemon.
type removedShard struct {
	tombstone *journalv1.State
	status    Status
}

// NewHost starts a host with the shards in its storage. The error is a
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
		removed: map[structs.ShardID]removedShard{},
		closing: make(chan struct{}),
	}
	h.shards.Store(&map[structs.ShardID]*shard{})
	h.notifier = newLeadershipNotifier(options.OnLeadershipChange)
	for i := range min(maxWorkers, runtime.GOMAXPROCS(0)) {
		h.workers = append(h.workers, newWorker(h, uint64(i)))
	}
	if err := h.loadStorage(); err != nil {
		return nil, err
	}
	h.startGoroutines()
	return h, nil
}

func (h *Host) loadStorage() error {
	storage := h.options.Storage
	if storage == nil && h.options.DataDir != "" {
		database, err := OpenBoltStorage(h.options.DataDir, h.self.Incarnation)
		if err != nil {
			return err
		}
		storage = database
	}
	if storage == nil {
		return nil
	}
	stored, err := storage.Load()
	if err != nil {
		return err
	}
	h.writer = newStorageWriter(storage, h.handleDiskFailure)
	for id, shard := range stored {
		if err := h.restoreShard(id, shard); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) restoreShard(id structs.ShardID, stored StoredShard) error {
	if stored.State.GetRemoved() {
		h.removed[id] = removedShard{tombstone: stored.State, status: Status{Shard: id, Removed: true}}
		return nil
	}
	created := h.newShard(id, stored.RestoredReplica())
	if len(stored.Snapshot.Data) > 0 {
		if err := created.restoreStateMachine(stored.Snapshot.Data); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	created.storedSnapshotBytes, created.storedSnapshotIndex = len(stored.Snapshot.Data), stored.Snapshot.Index
	h.addShard(created)
	return nil
}

func (h *Host) startGoroutines() {
	if h.writer != nil {
		h.goroutines.Go(h.writer.run)
	}
	for _, w := range h.workers {
		h.goroutines.Go(w.run)
	}
	h.goroutines.Go(h.notifier.run)
	h.goroutines.Go(h.pollNodes)
}

// Close stops the host immediately, without transferring leadership. State that
// is only in memory is lost. Calls still waiting return an error; that of an
// accepted request says that its outcome is unknown.
func (h *Host) Close() error {
	h.closeOnce.Do(func() {
		close(h.closing)
		h.notifier.stop()
		if h.writer != nil {
			h.writer.stop()
		}
	})
	h.goroutines.Wait()
	if h.writer != nil {
		return h.writer.storage.Close()
	}
	return nil
}

// CreateReplica creates this daemon's replica of a new shard. It does nothing
// if the shard exists or existed here, or if the group does not contain the
// current incarnation of this daemon: a daemon that lost its state may only be
// added to a group by its leader.
func (h *Host) CreateReplica(group InitialGroup) error {
	if cause := h.diskFailure.Load(); cause != nil {
		return cause
	}
	if !slices.ContainsFunc(group.Members, func(m Member) bool { return m.ID() == h.self }) {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, exists := (*h.shards.Load())[group.Shard]; exists {
		return nil
	}
	if _, existed := h.removed[group.Shard]; existed {
		return nil
	}
	initial := journal.BootstrapState(group.Members)
	created := h.newShard(group.Shard, initial)
	created.initialSnapshot = &journal.Snapshot{Membership: initial.Membership}
	h.addShardLocked(created)
	created.worker.enqueue(&shardCreatedItem{shard: created})
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
	delete(h.removed, created.id)
}

func (h *Host) removeShard(removed *shard, tombstone *journalv1.State) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	next := maps.Clone(*h.shards.Load())
	delete(next, removed.id)
	h.shards.Store(&next)
	status := *removed.status.Load()
	status.Removed = true
	h.removed[removed.id] = removedShard{tombstone: tombstone, status: status}
}

func (h *Host) shard(id structs.ShardID) (*shard, bool) {
	s, exists := (*h.shards.Load())[id]
	return s, exists
}

// ReconcileMembers sets the desired voters, which the replica works toward while
// it leads the group. A daemon that does not lead keeps them until it has led.
// They are cleared when it loses leadership, so the leader must call this
// regularly.
func (h *Host) ReconcileMembers(id structs.ShardID, desired []Member) {
	s, exists := h.shard(id)
	if !exists {
		return
	}
	s.worker.enqueue(&reconcileMembersItem{shard: s, desired: slices.Clone(desired)})
}

// handleDiskFailure stops every replica, because it can no longer persist its
// votes and acknowledgements.
func (h *Host) handleDiskFailure(cause *failure.DiskFailed) {
	if !h.diskFailure.CompareAndSwap(nil, cause) {
		return
	}
	eventDiskFailed.Log("node", h.self.Node, "cause", cause.Error())
	for _, w := range h.workers {
		w.enqueue(&diskFailedItem{cause: cause})
	}
}
