package replication

import (
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ensureGraceTicks is how long EnsureLeader goes on while the failure detector
// holds that a majority is gone; ensureTicks how long otherwise.
const (
	ensureGraceTicks = 10
	ensureTicks      = 150
)

// shard is one replica with its state machine. All but id, worker and status
// belongs to the worker's goroutine.
type shard struct {
	host    *Host
	id      structs.ShardID
	worker  *worker
	replica *journal.Replica
	machine StateMachine
	status  atomic.Pointer[Status]

	queued     []*inputPropose
	proposals  []proposal
	confirming []*waiter
	rounds     []roundWaiter
	ensuring   []*waiter

	genesis *journal.Snapshot
	wanted  []Member
	// servingTerm is the term in which OnLeadershipChange was told of leading, or 0.
	servingTerm uint64
	// membersIndex is the membership whose suspicions were looked up.
	membersIndex uint64
	// logBytes counts what was stored since the last stored snapshot, which
	// had snapshotBytes.
	logBytes, snapshotBytes int
	// storedSnapshot is the index of the snapshot last handed to the store.
	storedSnapshot uint64
	// applied is the last entry that the state machine holds.
	applied uint64
	jobs    jobs
	dropped bool
}

func newShard(h *Host, id structs.ShardID, w *worker, replica *journal.Replica) *shard {
	s := &shard{host: h, id: id, worker: w, replica: replica, machine: h.options.NewStateMachine(id)}
	_, _, _, _, s.applied = replica.BasicStatus()
	s.refreshSuspicion()
	s.publish()
	return s
}

func (s *shard) restoreMachine(frame []byte) error {
	data, err := decodeRecord(frame)
	if err != nil {
		return err
	}
	return s.machine.Restore(data)
}

// process takes what is queued to the replica and does what it wants done.
func (s *shard) process() {
	if s.dropped {
		return
	}
	if s.replica.MembershipIndex() != s.membersIndex {
		s.refreshSuspicion()
	}
	s.propose()
	s.confirm()
	for s.replica.HasReady() && !s.dropped {
		s.handle(s.replica.Ready())
	}
	if s.dropped {
		return
	}
	s.compact()
	s.startJob()
	s.answerRounds()
	s.noteLeadership()
	s.answerEnsuring()
	s.publish()
}

func (s *shard) handle(ready journal.Ready) {
	s.worker.send(ready.ImmediateMessages)
	s.store(ready)
	if ready.Snapshot != nil {
		s.jobs.restore, s.jobs.deferred = ready.Snapshot, nil
		s.startJob()
	}
	s.applyAll(ready.CommittedEntries)
	s.jobs.confirmed = max(s.jobs.confirmed, ready.ConfirmedRound)
	s.jobs.offer = s.jobs.offer || ready.SnapshotNeeded
	s.startJob()
	if ready.Removed {
		s.leave()
	}
}

func (s *shard) apply(entry *journalv1.Entry) {
	if s.dropped {
		return
	}
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		data, err := decodeRecord(entry.Data)
		if err != nil {
			s.refused(err)
			return
		}
		s.machine.Apply(entry.Index, data)
	}
	s.applied = entry.Index
	for len(s.proposals) > 0 && s.proposals[0].index <= entry.Index {
		waiting := s.proposals[0]
		s.proposals = s.proposals[1:]
		if waiting.index == entry.Index && waiting.term == entry.Term {
			waiting.waiter.finish(nil)
			continue
		}
		// Another entry was committed in its place: it can never be.
		waiting.waiter.finish(s.notLeader())
	}
}

// noteLeadership tells the daemon of changes, and those who wait on a
// leadership that is over.
func (s *shard) noteLeadership() {
	role, term, _, _, _ := s.replica.BasicStatus()
	serving := s.serving()
	if s.servingTerm != 0 && (!serving || term != s.servingTerm) {
		eventNotLeading.Log("shard", s.id, "term", s.servingTerm)
		s.host.notices.notify(leadershipNotice{shard: s.id, term: s.servingTerm})
		s.servingTerm = 0
		// What a leader wished for may be long out of date when it leads again.
		s.reconcile(nil)
	}
	if role != journal.Leader {
		s.failWaiting(&failure.ProposalUnknown{Shard: uint32(s.id)}, s.notLeader())
	}
	if serving && s.servingTerm == 0 {
		s.servingTerm = term
		eventLeading.Log("shard", s.id, "term", term)
		s.host.notices.notify(leadershipNotice{shard: s.id, leading: true, term: term})
	}
}

// serving reports whether the replica leads and all that was committed before
// is applied here.
func (s *shard) serving() bool { return s.replica.Serving() && s.jobs.idle() }

func (s *shard) publish() {
	role, term, leader, commit, _ := s.replica.BasicStatus()
	s.status.Store(&Status{
		Shard: s.id, Role: role, Term: term, Leader: leader.Node, Serving: s.serving(),
		Members: s.replica.Members(), MembershipIndex: s.replica.MembershipIndex(), CommitIndex: commit, AppliedIndex: s.applied, RemovalPending: s.replica.Leaving(),
		LeaderSearch: s.replica.LeaderSearch(),
	})
}

func (s *shard) needsTicks() bool {
	return !s.dropped && (s.replica.NeedsTicks() || len(s.ensuring) > 0)
}

func (s *shard) tick() {
	if s.dropped {
		return
	}
	s.replica.Tick()
	for _, waiting := range s.ensuring {
		waiting.ticks++
	}
}

func (s *shard) reconcile(wanted []Member) {
	s.wanted = wanted
	s.refreshSuspicion()
	s.replica.SetDesiredVoters(wanted)
}

// leave drops the replica of a group that goes on without it.
func (s *shard) leave() {
	eventRemoved.Log("shard", s.id)
	tombstone := s.replica.Tombstone()
	s.publish()
	s.drop(s.notLeader())
	s.host.dropShard(s, tombstone)
	if s.host.store != nil {
		s.host.store.write(ShardWrite{Shard: s.id, State: tombstone, Remove: true}, nil)
	}
}

// refused drops a replica whose state machine no longer follows the log. It
// must neither serve nor vote, and keeps its identity so that it is not begun
// again with an empty log.
func (s *shard) refused(cause error) {
	eventSnapshotBad.Log("shard", s.id, "cause", cause.Error())
	tombstone := s.replica.Tombstone()
	s.drop(s.notLeader())
	s.host.dropShard(s, tombstone)
}

// drop answers all who wait; the replica takes part in nothing any more.
func (s *shard) drop(cause error) {
	s.dropped = true
	delete(s.worker.active, s)
	refuse(s.queued, cause)
	s.queued = nil
	for _, waiting := range s.confirming {
		waiting.finish(cause)
	}
	s.failWaiting(&failure.ProposalUnknown{Shard: uint32(s.id)}, cause)
	s.confirming = nil
	s.failEnsuring(0, cause)
	if s.servingTerm != 0 {
		s.host.notices.notify(leadershipNotice{shard: s.id, term: s.servingTerm})
		s.servingTerm = 0
	}
}
