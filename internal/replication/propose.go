package replication

import (
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// pendingProposal is a proposal in the log whose caller waits for its commit.
type pendingProposal struct {
	index, term uint64
	waiter      *waiter
}

// pendingConfirmation is a ConfirmLeadership call that waits for its round.
type pendingConfirmation struct {
	round  uint64
	waiter *waiter
}

// appendQueuedProposals appends all queued proposals in one batch.
func (s *shard) appendQueuedProposals() {
	if len(s.queuedProposals) == 0 {
		return
	}
	queued := s.queuedProposals
	s.queuedProposals = nil
	if err := s.unavailableError(); err != nil {
		failProposals(queued, err)
		return
	}
	accepted := queued[:0]
	data := make([][]byte, 0, len(queued))
	for _, item := range queued {
		if item.term != 0 && item.term != s.currentTerm() {
			item.waiter.complete(s.notLeaderError())
			continue
		}
		if item.waiter.accept() {
			accepted = append(accepted, item)
			data = append(data, item.data)
		}
	}
	first, term, err := s.replica.Propose(data)
	if err != nil {
		failProposals(accepted, s.proposeError(err))
		return
	}
	for i, item := range accepted {
		s.pendingProposals = append(s.pendingProposals, pendingProposal{index: first + uint64(i), term: term, waiter: item.waiter})
	}
}

func failProposals(items []*proposeItem, cause error) {
	for _, item := range items {
		item.waiter.complete(cause)
	}
}

// unavailableError returns why the replica cannot accept requests now, or nil.
func (s *shard) unavailableError() error {
	if !s.replica.Serving() {
		return s.notLeaderError()
	}
	if !s.replica.MajorityReachable() {
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	}
	return nil
}

func (s *shard) notLeaderError() error {
	_, _, leader, _, _ := s.replica.BasicStatus()
	if leader.WithoutAdmission() == s.host.self {
		leader = journal.MemberID{}
	}
	return &failure.NotLeader{Shard: uint32(s.id), Leader: string(leader.Node)}
}

func (s *shard) proposeError(err error) error {
	var logFull *journal.UncommittedLimitReached
	if errors.As(err, &logFull) {
		return &failure.Overloaded{Resource: "journal", Wait: overloadedRetryTicks * s.host.options.TickInterval}
	}
	return s.notLeaderError()
}

// overloadedRetryTicks is the suggested delay before a proposal that a full log
// rejected is retried.
const overloadedRetryTicks = 10

func (s *shard) startConfirmations() {
	if len(s.queuedConfirmations) == 0 {
		return
	}
	queued := s.queuedConfirmations
	s.queuedConfirmations = nil
	if err := s.unavailableError(); err != nil {
		for _, w := range queued {
			w.complete(err)
		}
		return
	}
	round, err := s.replica.ConfirmLeadership()
	if err != nil {
		for _, w := range queued {
			w.complete(s.proposeError(err))
		}
		return
	}
	for _, w := range queued {
		s.pendingConfirmations = append(s.pendingConfirmations, pendingConfirmation{round: round, waiter: w})
	}
}

func (s *shard) completeConfirmations() {
	for s.jobs.isCaughtUp() && len(s.pendingConfirmations) > 0 && s.pendingConfirmations[0].round <= s.jobs.confirmedRound {
		s.pendingConfirmations[0].waiter.complete(nil)
		s.pendingConfirmations = s.pendingConfirmations[1:]
	}
}

func (s *shard) failPending(proposalErr, confirmationErr error) {
	for _, pending := range s.pendingProposals {
		pending.waiter.complete(proposalErr)
	}
	for _, pending := range s.pendingConfirmations {
		pending.waiter.complete(confirmationErr)
	}
	s.pendingProposals, s.pendingConfirmations = nil, nil
}

// completeEnsureLeader completes the EnsureLeader calls if the leader is known,
// fails those that waited too long and continues the search for the others.
func (s *shard) completeEnsureLeader() {
	if len(s.ensureLeaderWaiters) == 0 {
		return
	}
	role, _, leader, _, _ := s.replica.BasicStatus()
	if s.replica.LeaderConfirmed() && (role != journal.Leader || s.isServing()) {
		for _, w := range s.ensureLeaderWaiters {
			w.leader = leader.Node
			w.complete(nil)
		}
		s.ensureLeaderWaiters = nil
		return
	}
	if leader == (journal.MemberID{}) && !s.replica.IsVoter() {
		s.failEnsureLeader(0, s.notLeaderError())
		return
	}
	maxTicks := ensureLeaderTicks
	if !s.replica.MajorityReachable() {
		maxTicks = ensureLeaderNoMajorityTicks
	}
	s.failEnsureLeader(maxTicks, &failure.ShardUnavailable{Shard: uint32(s.id)})
	if len(s.ensureLeaderWaiters) > 0 {
		s.replica.EnsureLeader()
	}
}

func (s *shard) failEnsureLeader(minWaitedTicks int, cause error) {
	remaining := s.ensureLeaderWaiters[:0]
	for _, w := range s.ensureLeaderWaiters {
		if w.waitedTicks >= minWaitedTicks {
			w.complete(cause)
			continue
		}
		remaining = append(remaining, w)
	}
	s.ensureLeaderWaiters = remaining
}

// currentTerm returns the replica's current term.
func (s *shard) currentTerm() uint64 {
	_, term, _, _, _ := s.replica.BasicStatus()
	return term
}
