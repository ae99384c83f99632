package replication

import (
	"errors"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Storage keeps what members must not forget.
type Storage interface {
	// Load returns all shards.
	Load() (map[structs.ShardID]StoredShard, error)
	// ShardWrite stores all writes in their order, or none; they are durable when it
	// returns nil.
	Write(writes []ShardWrite) error
	Close() error
}

// StoredShard is what a storage holds of one shard.
type StoredShard struct {
	State    *journalv1.State
	Snapshot journal.Snapshot
	Entries  []*journalv1.Entry
}

// RestoredReplica returns it in the form that a replica goes on from.
func (s StoredShard) RestoredReplica() journal.InitialState {
	return journal.InitialState{
		State: s.State, Index: s.Snapshot.Index, Term: s.Snapshot.Term,
		Membership: s.Snapshot.Membership, Entries: s.Entries,
	}
}

// ShardWrite is a change of one shard.
type ShardWrite struct {
	Shard structs.ShardID
	// Remove drops all but State, which is the tombstone.
	Remove bool
	State  *journalv1.State
	// Snapshot replaces what is stored; with KeepLaterEntries only up to its index.
	Snapshot         *journal.Snapshot
	KeepLaterEntries bool
	// Entries replace stored entries from the first one's index on.
	Entries []*journalv1.Entry
}

func (w *ShardWrite) empty() bool {
	return !w.Remove && w.State == nil && w.Snapshot == nil && len(w.Entries) == 0
}

// writer is the one goroutine that writes: all that waits for it becomes one
// durable write.
type writer struct {
	storage Storage
	failed  func(*failure.DiskFailed)
	mutex   sync.Mutex
	queue   []queuedWrite
	wake    chan struct{}
	closing chan struct{}
}

type queuedWrite struct {
	write ShardWrite
	done  func()
}

func newWriter(storage Storage, failed func(*failure.DiskFailed)) *writer {
	return &writer{storage: storage, failed: failed, wake: make(chan struct{}, 1), closing: make(chan struct{})}
}

// write queues a write; done, if not nil, is called once it is durable.
func (w *writer) write(write ShardWrite, done func()) {
	w.mutex.Lock()
	w.queue = append(w.queue, queuedWrite{write: write, done: done})
	w.mutex.Unlock()
	signal(w.wake)
}

func (w *writer) run() {
	for {
		select {
		case <-w.closing:
			return
		case <-w.wake:
		}
		if !w.writeQueued() {
			return
		}
	}
}

// writeQueued reports false after a failure: nothing is written any more.
func (w *writer) writeQueued() bool {
	w.mutex.Lock()
	queue := w.queue
	w.queue = nil
	w.mutex.Unlock()
	writes := make([]ShardWrite, 0, len(queue))
	for _, item := range queue {
		if !item.write.empty() {
			writes = append(writes, item.write)
		}
	}
	if len(writes) > 0 {
		if err := w.storage.Write(writes); err != nil {
			w.failed(asDiskFailed(err))
			return false
		}
	}
	for _, item := range queue {
		if item.done != nil {
			item.done()
		}
	}
	return true
}

func (w *writer) stop() { close(w.closing) }

func asDiskFailed(err error) *failure.DiskFailed {
	var known *failure.DiskFailed
	if errors.As(err, &known) {
		return known
	}
	return &failure.DiskFailed{Cause: err}
}
