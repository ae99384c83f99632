package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// jobs are the parts of a shard's work that take time in proportion to its
// state: taking and restoring snapshots. They run apart from the worker, so
// that its other shards go on; entries committed meanwhile wait in deferred.
type jobs struct {
	// busy is set while the state machine belongs to a job.
	busy bool
	// deferred are committed entries that wait for the job's end.
	deferred []*journalv1.Entry
	// restore is the snapshot that is to be restored next, or nil.
	restore *journal.Snapshot
	// offer and store say who wants the next snapshot of the state.
	offer, store bool
	// confirmed is the highest confirmed round; it counts once nothing waits.
	confirmed uint64
}

// idle reports whether the state machine holds all that was committed here.
func (j *jobs) idle() bool {
	return len(j.deferred) == 0 && j.restore == nil
}

// applyAll applies committed entries, or keeps them until the job's end.
func (s *shard) applyAll(entries []*journalv1.Entry) {
	if s.jobs.busy || s.jobs.restore != nil {
		s.jobs.deferred = append(s.jobs.deferred, entries...)
		return
	}
	for _, entry := range entries {
		s.apply(entry)
	}
}

// startJob begins the next job, if one is wanted and none runs.
func (s *shard) startJob() {
	switch {
	case s.jobs.busy || s.dropped:
	case s.jobs.restore != nil:
		s.jobs.busy = true
		s.startRestore(s.jobs.restore)
	case s.jobs.offer || s.jobs.store:
		s.jobs.busy = true
		s.startSnapshot()
	}
}

func (s *shard) startRestore(snapshot *journal.Snapshot) {
	s.host.done.Go(func() {
		err := s.restoreMachine(snapshot.Data)
		s.worker.post(&inputRestored{shard: s, snapshot: snapshot, err: err})
	})
}

// inputRestored reports that the state machine was restored.
type inputRestored struct {
	shard    *shard
	snapshot *journal.Snapshot
	err      error
}

func (in *inputRestored) run(w *worker) {
	s := in.shard
	if s.dropped {
		return
	}
	if in.err != nil {
		s.refused(in.err)
		return
	}
	if s.jobs.restore == in.snapshot {
		s.jobs.restore = nil
	}
	s.applied = in.snapshot.Index
	s.jobDone(w)
}

// jobDone applies what waited for the job.
func (s *shard) jobDone(w *worker) {
	s.jobs.busy = false
	if s.dropped {
		return
	}
	waiting := s.jobs.deferred
	s.jobs.deferred = nil
	s.applyAll(waiting)
	w.touched[s] = true
}

// startSnapshot takes the state as of the last applied entry. The state
// machine is free again once its copy is taken; compression goes on apart.
func (s *shard) startSnapshot() {
	index, term, members := s.replica.AppliedPosition()
	taken := &inputSnapshot{
		shard: s, offer: s.jobs.offer, store: s.jobs.store,
		snapshot: journal.Snapshot{Index: index, Term: term, Membership: members},
	}
	s.jobs.offer, s.jobs.store = false, false
	s.host.done.Go(func() {
		data, err := s.machine.Snapshot()
		s.worker.post(&inputCopied{shard: s})
		if err != nil {
			eventSnapshotFailed.Log("shard", s.id, "cause", err.Error())
			return
		}
		taken.snapshot.Data = encodeRecord(data)
		s.worker.post(taken)
	})
}

// inputCopied reports that the state machine may be changed again.
type inputCopied struct{ shard *shard }

func (in *inputCopied) run(w *worker) { in.shard.jobDone(w) }

// inputSnapshot is a snapshot that was taken.
type inputSnapshot struct {
	shard        *shard
	offer, store bool
	snapshot     journal.Snapshot
}

func (in *inputSnapshot) run(w *worker) {
	s := in.shard
	if s.dropped {
		return
	}
	if in.offer {
		s.replica.OfferSnapshot(in.snapshot)
	}
	if in.store && in.snapshot.Index > s.storedSnapshot {
		s.storedSnapshot, s.snapshotBytes = in.snapshot.Index, len(in.snapshot.Data)
		s.host.store.write(ShardWrite{Shard: s.id, Snapshot: &in.snapshot, KeepLaterEntries: true}, nil)
	}
	w.touched[s] = true
}
