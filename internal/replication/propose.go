package replication

import (
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/journal"
)

// proposal is a record in the log whose proposer waits.
type proposal struct {
	index, term uint64
	waiter      *waiter
}

type roundWaiter struct {
	round  uint64
	waiter *waiter
}

// propose appends all that is queued at once.
func (s *shard) propose() {
	if len(s.queued) == 0 {
		return
	}
	queued := s.queued
	s.queued = nil
	if refusal := s.refusal(); refusal != nil {
		refuse(queued, refusal)
		return
	}
	taken := queued[:0]
	data := make([][]byte, 0, len(queued))
	for _, item := range queued {
		if item.term != 0 && item.term != s.term() {
			item.waiter.finish(s.notLeader())
			continue
		}
		if item.waiter.take() {
			taken = append(taken, item)
			data = append(data, item.data)
		}
	}
	first, term, err := s.replica.Propose(data)
	if err != nil {
		refuse(taken, s.translate(err))
		return
	}
	for i, item := range taken {
		s.proposals = append(s.proposals, proposal{index: first + uint64(i), term: term, waiter: item.waiter})
	}
}

func refuse(items []*inputPropose, refusal error) {
	for _, item := range items {
		item.waiter.finish(refusal)
	}
}

// refusal returns why nothing can be proposed now, or nil.
func (s *shard) refusal() error {
	if !s.replica.Serving() {
		return s.notLeader()
	}
	if !s.replica.MajorityReachable() {
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	}
	return nil
}

func (s *shard) notLeader() error {
	_, _, leader, _, _ := s.replica.BasicStatus()
	if leader.WithoutAdmission() == s.host.self {
		leader = journal.MemberID{}
	}
	return &failure.NotLeader{Shard: uint32(s.id), Leader: string(leader.Node)}
}

func (s *shard) translate(err error) error {
	var full *journal.UncommittedLimitReached
	if errors.As(err, &full) {
		return &failure.Overloaded{Resource: "journal", Wait: overloadedWaitTicks * s.host.options.TickInterval}
	}
	return s.notLeader()
}

// overloadedWaitTicks is when to come back to a full log.
const overloadedWaitTicks = 10

func (s *shard) confirm() {
	if len(s.confirming) == 0 {
		return
	}
	waiting := s.confirming
	s.confirming = nil
	if refusal := s.refusal(); refusal != nil {
		for _, w := range waiting {
			w.finish(refusal)
		}
		return
	}
	round, err := s.replica.ConfirmLeadership()
	if err != nil {
		for _, w := range waiting {
			w.finish(s.translate(err))
		}
		return
	}
	for _, w := range waiting {
		s.rounds = append(s.rounds, roundWaiter{round: round, waiter: w})
	}
}

func (s *shard) answerRounds() {
	for s.jobs.idle() && len(s.rounds) > 0 && s.rounds[0].round <= s.jobs.confirmed {
		s.rounds[0].waiter.finish(nil)
		s.rounds = s.rounds[1:]
	}
}

func (s *shard) failWaiting(proposed, confirming error) {
	for _, waiting := range s.proposals {
		waiting.waiter.finish(proposed)
	}
	for _, waiting := range s.rounds {
		waiting.waiter.finish(confirming)
	}
	s.proposals, s.rounds = nil, nil
}

// answerEnsuring answers those who wait for a leader, or goes on looking.
func (s *shard) answerEnsuring() {
	if len(s.ensuring) == 0 {
		return
	}
	role, _, leader, _, _ := s.replica.BasicStatus()
	if s.replica.LeaderConfirmed() && (role != journal.Leader || s.serving()) {
		for _, waiting := range s.ensuring {
			waiting.leader = leader.Node
			waiting.finish(nil)
		}
		s.ensuring = nil
		return
	}
	if leader == (journal.MemberID{}) && !s.replica.IsVoter() {
		s.failEnsuring(0, s.notLeader())
		return
	}
	limit := ensureTicks
	if !s.replica.MajorityReachable() {
		limit = ensureGraceTicks
	}
	s.failEnsuring(limit, &failure.ShardUnavailable{Shard: uint32(s.id)})
	if len(s.ensuring) > 0 {
		s.replica.EnsureLeader()
	}
}

func (s *shard) failEnsuring(ticks int, cause error) {
	left := s.ensuring[:0]
	for _, waiting := range s.ensuring {
		if waiting.ticks >= ticks {
			waiting.finish(cause)
			continue
		}
		left = append(left, waiting)
	}
	s.ensuring = left
}

// term returns the replica's present term.
func (s *shard) term() uint64 {
	_, term, _, _, _ := s.replica.BasicStatus()
	return term
}
