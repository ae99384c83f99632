package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// snapshotJobs schedules taking and restoring snapshots, which take time in
// proportion to the state. They run in their own goroutine, so that they do not
// block the other shards of the worker. Entries committed meanwhile wait in
// deferredEntries.
type snapshotJobs struct {
	// running is set while a job uses the state machine.
	running bool
	// deferredEntries are committed entries to apply when the job ends.
	deferredEntries []*journalv1.Entry
	// pendingRestore is the snapshot to restore next, or nil.
	pendingRestore *journal.Snapshot
	// offerToPeers and writeToStorage say what the next snapshot is for.
	offerToPeers, writeToStorage bool
	// confirmedRound is the highest confirmed round. Its waiters complete only
	// when no committed entry waits to be applied.
	confirmedRound uint64
}

// isCaughtUp reports whether all committed entries and snapshots are applied.
func (j *snapshotJobs) isCaughtUp() bool {
	return len(j.deferredEntries) == 0 && j.pendingRestore == nil
}

// applyOrDefer applies committed entries, or defers them while a job uses the
// state machine or a snapshot is to be restored first.
func (s *shard) applyOrDefer(entries []*journalv1.Entry) {
	if s.jobs.running || s.jobs.pendingRestore != nil {
		s.jobs.deferredEntries = append(s.jobs.deferredEntries, entries...)
		return
	}
	for _, entry := range entries {
		s.applyEntry(entry)
	}
}

// startNextJob starts the next requested job unless one is running.
func (s *shard) startNextJob() {
	switch {
	case s.jobs.running || s.stopped:
	case s.jobs.pendingRestore != nil:
		s.jobs.running = true
		s.startRestore(s.jobs.pendingRestore)
	case s.jobs.offerToPeers || s.jobs.writeToStorage:
		s.jobs.running = true
		s.startSnapshot()
	}
}

func (s *shard) startRestore(snapshot *journal.Snapshot) {
	s.host.goroutines.Go(func() {
		err := s.restoreStateMachine(snapshot.Data)
		s.worker.enqueue(&stateRestoredItem{shard: s, snapshot: snapshot, err: err})
	})
}

// stateRestoredItem reports the result of restoring a snapshot.
type stateRestoredItem struct {
	shard    *shard
	snapshot *journal.Snapshot
	err      error
}

func (item *stateRestoredItem) run(w *worker) {
	s := item.shard
	if s.stopped {
		return
	}
	if item.err != nil {
		s.dropRejected(item.err)
		return
	}
	if s.jobs.pendingRestore == item.snapshot {
		s.jobs.pendingRestore = nil
	}
	s.appliedIndex = item.snapshot.Index
	s.finishJob(w)
}

// finishJob releases the state machine and applies the deferred entries.
func (s *shard) finishJob(w *worker) {
	s.jobs.running = false
	if s.stopped {
		return
	}
	deferred := s.jobs.deferredEntries
	s.jobs.deferredEntries = nil
	s.applyOrDefer(deferred)
	w.dirty[s] = true
}

// startSnapshot takes a snapshot of the state at the last applied entry. The
// state machine is released as soon as its state is copied; compression runs
// afterwards.
func (s *shard) startSnapshot() {
	index, term, members := s.replica.AppliedPosition()
	taken := &snapshotTakenItem{
		shard: s, offerToPeers: s.jobs.offerToPeers, writeToStorage: s.jobs.writeToStorage,
		snapshot: journal.Snapshot{Index: index, Term: term, Membership: members},
	}
	s.jobs.offerToPeers, s.jobs.writeToStorage = false, false
	s.host.goroutines.Go(func() {
		data, err := s.stateMachine.Snapshot()
		s.worker.enqueue(&stateCopiedItem{shard: s})
		if err != nil {
			eventSnapshotFailed.Log("shard", s.id, "cause", err.Error())
			return
		}
		taken.snapshot.Data = encodeFrame(data)
		s.worker.enqueue(taken)
	})
}

// stateCopiedItem reports that the state machine may be modified again.
type stateCopiedItem struct{ shard *shard }

func (item *stateCopiedItem) run(w *worker) { item.shard.finishJob(w) }

// snapshotTakenItem carries a snapshot that is ready to offer or store.
type snapshotTakenItem struct {
	shard                        *shard
	offerToPeers, writeToStorage bool
	snapshot                     journal.Snapshot
}

func (item *snapshotTakenItem) run(w *worker) {
	s := item.shard
	if s.stopped {
		return
	}
	if item.offerToPeers {
		s.replica.OfferSnapshot(item.snapshot)
	}
	if item.writeToStorage && item.snapshot.Index > s.storedSnapshotIndex {
		s.storedSnapshotIndex, s.storedSnapshotBytes = item.snapshot.Index, len(item.snapshot.Data)
		s.host.writer.enqueue(ShardWrite{Shard: s.id, Snapshot: &item.snapshot, KeepLaterEntries: true}, nil)
	}
	w.dirty[s] = true
}
