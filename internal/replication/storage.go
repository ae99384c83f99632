package replication

import (
	"errors"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Storage persists the state of replicas.
type Storage interface {
	// Load returns the state of all shards.
	Load() (map[structs.ShardID]StoredShard, error)
	// Write stores all writes in order, or none of them. They are durable
	// when it returns nil.
	Write(writes []ShardWrite) error
	Close() error
}

// StoredShard is the stored state of one shard.
type StoredShard struct {
	State    *journalv1.State
	Snapshot journal.Snapshot
	Entries  []*journalv1.Entry
}

// RestoredReplica returns the stored state in the form from which a replica is
// restored.
func (s StoredShard) RestoredReplica() journal.InitialState {
	return journal.InitialState{
		State: s.State, Index: s.Snapshot.Index, Term: s.Snapshot.Term,
		Membership: s.Snapshot.Membership, Entries: s.Entries,
	}
}

// ShardWrite is a change to the stored state of one shard.
type ShardWrite struct {
	Shard structs.ShardID
	// Remove deletes everything except State, which is the tombstone.
	Remove bool
	State  *journalv1.State
	// Snapshot replaces the stored snapshot and all entries, or, with
	// KeepLaterEntries, only the entries up to its index.
	Snapshot         *journal.Snapshot
	KeepLaterEntries bool
	// Entries replace the stored entries from the index of the first one on.
	Entries []*journalv1.Entry
}

func (w *ShardWrite) isEmpty() bool {
	return !w.Remove && w.State == nil && w.Snapshot == nil && len(w.Entries) == 0
}

// storageWriter writes to the storage from one goroutine. It combines all queued
// writes into one durable write.
type storageWriter struct {
	storage   Storage
	onFailure func(*failure.DiskFailed)
	mutex     sync.Mutex
	queue     []queuedWrite
	wake      chan struct{}
	closing   chan struct{}
}

// queuedWrite is a write that waits for the storage.
type queuedWrite struct {
	write     ShardWrite
	onDurable func()
}

func newStorageWriter(storage Storage, onFailure func(*failure.DiskFailed)) *storageWriter {
	return &storageWriter{storage: storage, onFailure: onFailure, wake: make(chan struct{}, 1), closing: make(chan struct{})}
}

// enqueue queues a write. onDurable, if not nil, is called when the write is
// durable.
func (w *storageWriter) enqueue(write ShardWrite, onDurable func()) {
	w.mutex.Lock()
	w.queue = append(w.queue, queuedWrite{write: write, onDurable: onDurable})
	w.mutex.Unlock()
	signal(w.wake)
}

func (w *storageWriter) run() {
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

// writeQueued writes the queue. It returns false after a failure, after which
// nothing more is written.
func (w *storageWriter) writeQueued() bool {
	w.mutex.Lock()
	queue := w.queue
	w.queue = nil
	w.mutex.Unlock()
	writes := make([]ShardWrite, 0, len(queue))
	for _, item := range queue {
		if !item.write.isEmpty() {
			writes = append(writes, item.write)
		}
	}
	if len(writes) > 0 {
		if err := w.storage.Write(writes); err != nil {
			w.onFailure(asDiskFailed(err))
			return false
		}
	}
	for _, item := range queue {
		if item.onDurable != nil {
			item.onDurable()
		}
	}
	return true
}

func (w *storageWriter) stop() { close(w.closing) }

func asDiskFailed(err error) *failure.DiskFailed {
	var diskFailed *failure.DiskFailed
	if errors.As(err, &diskFailed) {
		return diskFailed
	}
	return &failure.DiskFailed{Cause: err}
}
