package journal

import "fmt"

// heal ends all faults and lets the group work until a new proposal is
// committed, the group consists of the members that all want, and all of them
// have applied everything. It returns what is wrong.
func (s *simulation) heal(rounds int) string {
	clear(s.blocked)
	for _, name := range s.names {
		s.members[name].paused = false
	}
	proposed, wanted := uint64(0), s.threeWithout(s.choose(len(s.names)))
	for round := range rounds {
		s.healRound(wanted, round/proposeEvery)
		if s.oracle.violation != "" {
			return s.oracle.violation
		}
		if round%proposeEvery == 0 {
			// An earlier proposal may have been lost with its leader.
			proposed = s.proposeAnywhere()
		}
		if proposed > 0 && s.oracle.highest >= proposed && s.settled(wanted) {
			return s.findLeader(wanted)
		}
	}
	return "the healed group makes no progress:\n" + s.describe()
}

// findLeader restarts each member in turn, when nothing is outstanding, and asks
// it for the leader: it must find it, or become it.
func (s *simulation) findLeader(wanted []Member) string {
	for _, member := range wanted {
		for range proposeEvery {
			s.healRound(wanted, -1)
		}
		m := s.members[member.Node]
		m.crash()
		for range proposeEvery {
			m.replica.EnsureLeader()
			m.replica.Tick()
			m.work()
			s.exchange()
			if m.replica.LeaderConfirmed() {
				break
			}
		}
		if !m.replica.LeaderConfirmed() {
			return "a restarted member finds no leader:\n" + s.describe()
		}
	}
	return s.oracle.violation
}

const proposeEvery = 50

// exchange delivers and stores everything, to and fro a few times.
func (s *simulation) exchange() {
	const trips = 8
	for range trips {
		for count := len(s.flying); count > 0; count-- {
			s.deliverAt(0)
		}
		for _, name := range s.names {
			for m := s.members[name]; len(m.unwritten) > 0; {
				m.flush()
			}
		}
	}
}

// healRound lets one tick pass, in which messages go to and fro a few times.
// Only one of the nodes is asked for a leader.
func (s *simulation) healRound(wanted []Member, asked int) {
	s.exchange()
	for i, name := range s.names {
		if m := s.members[name]; m.replica != nil {
			s.trustAll(m)
			m.replica.SetDesiredVoters(wanted)
			if i == asked%len(s.names) {
				m.replica.EnsureLeader()
			}
			m.replica.Tick()
			m.work()
		}
	}
}

func (s *simulation) proposeAnywhere() uint64 {
	for _, name := range s.names {
		m := s.members[name]
		if m.replica != nil && s.proposeAt(m) {
			m.work()
			return m.replica.log.last()
		}
	}
	return 0
}

// settled reports whether the group consists of the wanted members, and all of
// them applied everything.
func (s *simulation) settled(wanted []Member) bool {
	current := s.newest().replica.current()
	if current.voterCount() != len(wanted) || len(current.members) != len(wanted) {
		return false
	}
	for _, member := range wanted {
		held, found := current.findLife(member.ID())
		m := s.members[member.Node]
		if !found || !s.remembers(held.ID()) || m.position < s.oracle.highest {
			return false
		}
	}
	return true
}

// describe tells each node's state in a line, for failures.
func (s *simulation) describe() string {
	text := ""
	for _, name := range s.names {
		m := s.members[name]
		if m.replica == nil {
			text += fmt.Sprintf("%v none, tombstone %v\n", m.id, m.tombstone)
			continue
		}
		r := m.replica
		text += fmt.Sprintf("%v %v term %d leader %v commit %d last %d members %v wanted %v suspects %v\n",
			r.Self(), r.role, r.term, r.leader, r.commit, r.log.last(), r.current(), r.wanted, r.suspected)
		for id, peer := range r.leading.peers {
			text += fmt.Sprintf("   %v %+v\n", id, *peer)
		}
	}
	return text
}
