package replication

import (
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ensureLeaderNoMajorityTicks is how long EnsureLeader waits while the failure
// detector reports that a majority is unreachable. ensureLeaderTicks is how
// long it waits otherwise.
const (
	ensureLeaderNoMajorityTicks = 10
	ensureLeaderTicks           = 150
)

// shard is one replica with its state machine. Only the worker's goroutine uses
// the fields other than host, id, worker and status.
type shard struct {
	host         *Host
	id           structs.ShardID
	worker       *worker
	replica      *journal.Replica
	stateMachine StateMachine
	status       atomic.Pointer[Status]

	queuedProposals      []*proposeItem
	pendingProposals     []pendingProposal
	queuedConfirmations  []*waiter
	pendingConfirmations []pendingConfirmation
	ensureLeaderWaiters  []*waiter

	initialSnapshot *journal.Snapshot
	desiredMembers  []Member
	// reportedTerm is the term in which leadership was last reported to
	// OnLeadershipChange, or 0 while this daemon is not reported as leader.
	reportedTerm uint64
	// suspicionMembershipIndex is the index of the membership whose members
	// were last checked for suspicions.
	suspicionMembershipIndex uint64
	// storedLogBytes is the size of the entries stored since the last stored
	// snapshot. storedSnapshotBytes is the size of that snapshot.
	storedLogBytes, storedSnapshotBytes int
	// storedSnapshotIndex is the index of the last snapshot passed to the
	// storage writer.
	storedSnapshotIndex uint64
	// appliedIndex is the index of the last entry applied to stateMachine.
	appliedIndex uint64
	jobs         snapshotJobs
	stopped      bool
}

func newShard(h *Host, id structs.ShardID, w *worker, replica *journal.Replica) *shard {
	s := &shard{host: h, id: id, worker: w, replica: replica, stateMachine: h.options.NewStateMachine(id)}
	_, _, _, _, s.appliedIndex = replica.BasicStatus()
	s.setSuspectedMembers()
	s.publishStatus()
	return s
}

func (s *shard) restoreStateMachine(frame []byte) error {
	data, err := decodeFrame(frame)
	if err != nil {
		return err
	}
	return s.stateMachine.Restore(data)
}

// process passes queued requests to the replica and handles its output.
func (s *shard) process() {
	if s.stopped {
		return
	}
	if s.replica.MembershipIndex() != s.suspicionMembershipIndex {
		s.setSuspectedMembers()
	}
	s.appendQueuedProposals()
	s.startConfirmations()
	for s.replica.HasReady() && !s.stopped {
		s.handleReady(s.replica.Ready())
	}
	if s.stopped {
		return
	}
	s.compactLog()
	s.startNextJob()
	s.completeConfirmations()
	s.updateLeadership()
	s.completeEnsureLeader()
	s.publishStatus()
}

func (s *shard) handleReady(ready journal.Ready) {
	s.worker.queueMessages(ready.ImmediateMessages)
	s.persistReady(ready)
	if ready.Snapshot != nil {
		s.jobs.pendingRestore, s.jobs.deferredEntries = ready.Snapshot, nil
		s.startNextJob()
	}
	s.applyOrDefer(ready.CommittedEntries)
	s.jobs.confirmedRound = max(s.jobs.confirmedRound, ready.ConfirmedRound)
	s.jobs.offerToPeers = s.jobs.offerToPeers || ready.SnapshotNeeded
	s.startNextJob()
	if ready.Removed {
		s.removeFromGroup()
	}
}

func (s *shard) applyEntry(entry *journalv1.Entry) {
	if s.stopped {
		return
	}
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		data, err := decodeFrame(entry.Data)
		if err != nil {
			s.dropRejected(err)
			return
		}
		s.stateMachine.Apply(entry.Index, data)
	}
	s.appliedIndex = entry.Index
	for len(s.pendingProposals) > 0 && s.pendingProposals[0].index <= entry.Index {
		pending := s.pendingProposals[0]
		s.pendingProposals = s.pendingProposals[1:]
		if pending.index == entry.Index && pending.term == entry.Term {
			pending.waiter.complete(nil)
			continue
		}
		// Another entry was committed at this index, so the proposal can never
		// be committed.
		pending.waiter.complete(s.notLeaderError())
	}
}

// updateLeadership reports leadership changes to OnLeadershipChange and fails the
// requests that waited on a lost leadership.
func (s *shard) updateLeadership() {
	role, term, _, _, _ := s.replica.BasicStatus()
	serving := s.isServing()
	if s.reportedTerm != 0 && (!serving || term != s.reportedTerm) {
		eventLostLeadership.Log("shard", s.id, "term", s.reportedTerm)
		s.host.notifier.enqueue(leadershipChange{shard: s.id, term: s.reportedTerm})
		s.reportedTerm = 0
		// Desired members of a former leader may be outdated when it leads
		// again.
		s.setDesiredMembers(nil)
	}
	if role != journal.Leader {
		s.failPending(&failure.ProposalUnknown{Shard: uint32(s.id)}, s.notLeaderError())
	}
	if serving && s.reportedTerm == 0 {
		s.reportedTerm = term
		eventBecameLeader.Log("shard", s.id, "term", term)
		s.host.notifier.enqueue(leadershipChange{shard: s.id, leading: true, term: term})
	}
}

// isServing reports whether the replica leads and all previously committed
// entries are applied here.
func (s *shard) isServing() bool { return s.replica.Serving() && s.jobs.isCaughtUp() }

func (s *shard) publishStatus() {
	role, term, leader, commit, _ := s.replica.BasicStatus()
	s.status.Store(&Status{
		Shard: s.id, Role: role, Term: term, Leader: leader.Node, Serving: s.isServing(),
		Members: s.replica.Members(), MembershipIndex: s.replica.MembershipIndex(), CommitIndex: commit, AppliedIndex: s.appliedIndex, RemovalPending: s.replica.Leaving(),
		LeaderSearch: s.replica.LeaderSearch(),
	})
}

func (s *shard) needsTicks() bool {
	return !s.stopped && (s.replica.NeedsTicks() || len(s.ensureLeaderWaiters) > 0)
}

func (s *shard) tick() {
	if s.stopped {
		return
	}
	s.replica.Tick()
	for _, w := range s.ensureLeaderWaiters {
		w.waitedTicks++
	}
}

func (s *shard) setDesiredMembers(desired []Member) {
	s.desiredMembers = desired
	s.setSuspectedMembers()
	s.replica.SetDesiredVoters(desired)
}

// removeFromGroup stops the replica after its group removed it, and stores its
// tombstone.
func (s *shard) removeFromGroup() {
	eventReplicaRemoved.Log("shard", s.id)
	tombstone := s.replica.Tombstone()
	s.publishStatus()
	s.stop(s.notLeaderError())
	s.host.removeShard(s, tombstone)
	if s.host.writer != nil {
		s.host.writer.enqueue(ShardWrite{Shard: s.id, State: tombstone, Remove: true}, nil)
	}
}

// dropRejected stops a replica whose state machine rejected committed data. The
// replica must neither serve nor vote. Its tombstone remains, so that it is not
// created again with an empty log.
func (s *shard) dropRejected(cause error) {
	eventStateMachineRejected.Log("shard", s.id, "cause", cause.Error())
	tombstone := s.replica.Tombstone()
	s.stop(s.notLeaderError())
	s.host.removeShard(s, tombstone)
}

// stop fails all waiting requests. The replica processes nothing afterwards.
func (s *shard) stop(cause error) {
	s.stopped = true
	delete(s.worker.ticking, s)
	failProposals(s.queuedProposals, cause)
	s.queuedProposals = nil
	for _, w := range s.queuedConfirmations {
		w.complete(cause)
	}
	s.failPending(&failure.ProposalUnknown{Shard: uint32(s.id)}, cause)
	s.queuedConfirmations = nil
	s.failEnsureLeader(0, cause)
	if s.reportedTerm != 0 {
		s.host.notifier.enqueue(leadershipChange{shard: s.id, term: s.reportedTerm})
		s.reportedTerm = 0
	}
}
