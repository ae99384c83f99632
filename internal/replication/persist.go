package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// minimumSnapshotBytes is the least growth of the stored log between two
// stored snapshots. Beyond it a snapshot waits until the log has grown by as
// much as the last snapshot held, so that snapshots cost a constant factor of
// what is written and nothing that grows with the state.
const minimumSnapshotBytes = 4 << 20

// store hands a Ready to the store, or, without one, reports it stored at once.
func (s *shard) store(ready journal.Ready) {
	stored := &inputStored{shard: s, messages: ready.MessagesAfterStore}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		stored.index, stored.term = last.Index, last.Term
	}
	if s.host.store == nil {
		s.worker.send(ready.MessagesAfterStore)
		s.replica.Persisted(stored.index, stored.term)
		return
	}
	write := ShardWrite{Shard: s.id, State: ready.State, Snapshot: ready.Snapshot, Entries: ready.Entries}
	if s.genesis != nil && write.Snapshot == nil {
		write.Snapshot = s.genesis
	}
	s.genesis = nil
	if write.Snapshot != nil {
		s.storedSnapshot = write.Snapshot.Index
		s.snapshotBytes, s.logBytes = len(write.Snapshot.Data), 0
	}
	for _, entry := range ready.Entries {
		s.logBytes += len(entry.Data)
	}
	if write.empty() && len(ready.MessagesAfterStore) == 0 {
		return
	}
	s.host.store.write(write, func() { s.worker.post(stored) })
}

// compact bounds the log in memory and in the store. In memory the applied
// state stands for the dropped entries, and no snapshot is made.
func (s *shard) compact() {
	if s.replica.LogBytes() > 2*s.host.options.RetainedLogBytes {
		s.replica.Compact(s.host.options.RetainedLogBytes)
	}
	if s.host.store == nil || s.logBytes < max(minimumSnapshotBytes, s.snapshotBytes) {
		return
	}
	s.logBytes = 0
	s.jobs.store = true
	s.startJob()
}
