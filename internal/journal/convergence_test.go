package journal

import "fmt"

// heal ends all faults and runs the group until a new proposal is committed,
// the group consists of the desired members, and all of them have applied all
// entries. It returns a description of the failure, or an empty string.
func (s *simulation) heal(rounds int) string {
	clear(s.blocked)
	for _, name := range s.nodeNames {
		s.nodes[name].paused = false
	}
	proposed, desired := uint64(0), s.threeMembersExcept(s.choose(len(s.nodeNames)))
	for round := range rounds {
		s.healRound(desired, round/proposeEveryRounds)
		if s.oracle.violation != "" {
			return s.oracle.violation
		}
		if round%proposeEveryRounds == 0 {
			// An earlier proposal may have been lost with its leader.
			proposed = s.proposeAtAnyLeader()
		}
		if proposed > 0 && s.oracle.highestCommitted >= proposed && s.hasConverged(desired) {
			return s.checkRestartedMembersFindLeader(desired)
		}
	}
	return "the group makes no progress after all faults ended:\n" + s.describe()
}

// checkRestartedMembersFindLeader restarts each member in turn while nothing
// is outstanding. After EnsureLeader it must find the leader or become leader.
func (s *simulation) checkRestartedMembersFindLeader(desired []Member) string {
	for _, member := range desired {
		for range proposeEveryRounds {
			s.healRound(desired, -1)
		}
		m := s.nodes[member.Node]
		m.crash()
		for range proposeEveryRounds {
			m.replica.EnsureLeader()
			m.replica.Tick()
			m.processReady()
			s.deliverAndStoreAll()
			if m.replica.LeaderConfirmed() {
				break
			}
		}
		if !m.replica.LeaderConfirmed() {
			return "a restarted member found no leader:\n" + s.describe()
		}
	}
	return s.oracle.violation
}

const proposeEveryRounds = 50

// deliverAndStoreAll delivers all messages and completes all writes, in
// several rounds so that answers are delivered too.
func (s *simulation) deliverAndStoreAll() {
	const rounds = 8
	for range rounds {
		for count := len(s.inTransit); count > 0; count-- {
			s.deliverAt(0)
		}
		for _, name := range s.nodeNames {
			for m := s.nodes[name]; len(m.pendingWrites) > 0; {
				m.completeWrite()
			}
		}
	}
}

// healRound runs one tick and delivers messages several times. It calls
// EnsureLeader on only one of the nodes.
func (s *simulation) healRound(desired []Member, ensureLeaderOn int) {
	s.deliverAndStoreAll()
	for i, name := range s.nodeNames {
		if m := s.nodes[name]; m.replica != nil {
			s.suspectOnlyFormerIncarnations(m)
			m.replica.SetDesiredVoters(desired)
			if i == ensureLeaderOn%len(s.nodeNames) {
				m.replica.EnsureLeader()
			}
			m.replica.Tick()
			m.processReady()
		}
	}
}

func (s *simulation) proposeAtAnyLeader() uint64 {
	for _, name := range s.nodeNames {
		m := s.nodes[name]
		if m.replica != nil && s.proposeAt(m) {
			m.processReady()
			return m.replica.log.lastIndex()
		}
	}
	return 0
}

// hasConverged reports whether the group consists of the desired members and
// all of them have applied all entries.
func (s *simulation) hasConverged(desired []Member) bool {
	current := s.newestNode().replica.currentMembership()
	if current.voterCount() != len(desired) || len(current.members) != len(desired) {
		return false
	}
	for _, member := range desired {
		admitted, found := current.findAnyAdmission(member.ID())
		m := s.nodes[member.Node]
		if !found || !s.isCurrentIdentity(admitted.ID()) || m.appliedIndex < s.oracle.highestCommitted {
			return false
		}
	}
	return true
}

// describe returns the state of each node, for failure messages.
func (s *simulation) describe() string {
	text := ""
	for _, name := range s.nodeNames {
		m := s.nodes[name]
		if m.replica == nil {
			text += fmt.Sprintf("%v no replica, tombstone %v\n", m.id, m.tombstone)
			continue
		}
		r := m.replica
		text += fmt.Sprintf("%v %v term %d leader %v commit %d last %d members %v desired %v suspected %v\n",
			r.Self(), r.role, r.term, r.leader, r.commitIndex, r.log.lastIndex(), r.currentMembership(), r.desiredVoters, r.suspected)
		for id, peer := range r.leaderState.peers {
			text += fmt.Sprintf("   %v %+v\n", id, *peer)
		}
	}
	return text
}
