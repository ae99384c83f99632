package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// minLogBytesBetweenSnapshots is the minimum growth of the stored log between
// two stored snapshots. If the last snapshot was larger, the log must grow by
// the size of that snapshot. The cost of snapshots is then proportional to the
// bytes written and does not grow with the state.
const minLogBytesBetweenSnapshots = 4 << 20

// persistReady passes a Ready to the storage writer. Without storage it reports
// the Ready as persisted immediately.
func (s *shard) persistReady(ready journal.Ready) {
	persisted := &persistedItem{shard: s, messages: ready.MessagesAfterStore}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		persisted.index, persisted.term = last.Index, last.Term
	}
	if s.host.writer == nil {
		s.worker.queueMessages(ready.MessagesAfterStore)
		s.replica.Persisted(persisted.index, persisted.term)
		return
	}
	write := ShardWrite{Shard: s.id, State: ready.State, Snapshot: ready.Snapshot, Entries: ready.Entries}
	if s.initialSnapshot != nil && write.Snapshot == nil {
		write.Snapshot = s.initialSnapshot
	}
	s.initialSnapshot = nil
	if write.Snapshot != nil {
		s.storedSnapshotIndex = write.Snapshot.Index
		s.storedSnapshotBytes, s.storedLogBytes = len(write.Snapshot.Data), 0
	}
	for _, entry := range ready.Entries {
		s.storedLogBytes += len(entry.Data)
	}
	if write.isEmpty() && len(ready.MessagesAfterStore) == 0 {
		return
	}
	s.host.writer.enqueue(write, func() { s.worker.enqueue(persisted) })
}

// compactLog bounds the log in memory and in storage. Compacting the log in
// memory needs no snapshot, because the state machine holds the state of the
// dropped entries.
func (s *shard) compactLog() {
	if s.replica.LogBytes() > 2*s.host.options.RetainedLogBytes {
		s.replica.Compact(s.host.options.RetainedLogBytes)
	}
	if s.host.writer == nil || s.storedLogBytes < max(minLogBytesBetweenSnapshots, s.storedSnapshotBytes) {
		return
	}
	s.storedLogBytes = 0
	s.jobs.writeToStorage = true
	s.startNextJob()
}
