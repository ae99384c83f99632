package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// newest is the replica that knows the newest committed membership.
func (s *simulation) newest() *simulated {
	var best *simulated
	for _, name := range s.names {
		m := s.members[name]
		if m.replica == nil {
			continue
		}
		if best == nil || m.replica.commit > best.replica.commit {
			best = m
		}
	}
	return best
}

// survives reports whether, without the memory of lost, every membership that
// may come into force keeps a majority of members that remember.
func (s *simulation) survives(lost *simulated) bool {
	newest := s.newest().replica
	committed := newest.membershipAt(newest.commit).index
	for _, held := range s.everyMembership() {
		remembers := func(id MemberID) bool { return s.members[id.Node] != lost && s.remembers(id) }
		if held.index >= committed && !reachedWhatever(held, remembers) {
			return false
		}
	}
	return true
}

// reachedWhatever reports whether the voters are a majority, and would still
// be if any learner were promoted before its loss is known.
func reachedWhatever(held membership, remembers func(MemberID) bool) bool {
	for _, member := range held.members {
		if !member.Learner {
			continue
		}
		member.Learner = false
		if promoted := (membership{members: held.with(member)}); !promoted.reached(remembers) {
			return false
		}
	}
	return held.reached(remembers)
}

// everyMembership returns those that replicas hold or stored or messages carry.
func (s *simulation) everyMembership() []membership {
	var all []membership
	var entries []*journalv1.Entry
	for _, name := range s.names {
		if m := s.members[name]; m.replica != nil {
			all = append(all, m.replica.memberships...)
			entries = append(entries, m.stored.Entries...)
		}
	}
	for _, f := range s.flying {
		entries = append(entries, f.message.Entries...)
	}
	for _, entry := range entries {
		if entry.Membership != nil {
			all = append(all, newMembership(entry.Index, entry.Membership))
		}
	}
	return all
}

// remembers reports whether a member still lives as that member.
func (s *simulation) remembers(id MemberID) bool {
	holder := s.members[id.Node]
	return holder.replica != nil && holder.replica.Self() == id
}

func (s *simulation) forget() {
	m := s.anyone()
	if s.faults.reuseIncarnation || s.survives(m) {
		m.forget()
	}
}

// wantMembers tells every replica of three members that the group shall have.
func (s *simulation) wantMembers() {
	wanted := s.threeWithout(s.choose(len(s.names)))
	for _, name := range s.names {
		if m := s.members[name]; m.replica != nil && !m.paused {
			m.replica.SetDesiredVoters(wanted)
			m.work()
		}
	}
}

func (s *simulation) threeWithout(skip int) []Member {
	var wanted []Member
	for i, name := range s.names {
		if i != skip && len(wanted) < 3 {
			wanted = append(wanted, Member{Node: name, Incarnation: s.members[name].id.Incarnation})
		}
	}
	return wanted
}

// change proposes membership changes as operators might, up to three in a row.
func (s *simulation) change() {
	m := s.among(func(m *simulated) bool { return m.replica.role == Leader })
	if m == nil {
		return
	}
	for range 1 + s.choose(3) {
		s.changeAt(m, s.anyone())
	}
	m.work()
}

func (s *simulation) changeAt(m, other *simulated) {
	current := m.replica.current()
	member, known := current.findLife(other.id)
	switch {
	case !known:
		_ = m.replica.ProposeMembership(current.with(Member{Node: other.id.Node, Incarnation: other.id.Incarnation, Learner: true}))
	case member.Learner && m.replica.role == Leader && m.replica.caughtUp(member.ID()):
		member.Learner = false
		_ = m.replica.ProposeMembership(current.with(member))
	case current.voterCount() > 1 && other != m:
		left := membership{members: current.without(member.ID())}
		if left.reached(s.remembers) {
			_ = m.replica.ProposeMembership(left.members)
		}
	}
}

func (s *simulation) transfer() {
	s.withReplica(func(m *simulated) {
		if to, found := m.replica.TransferTarget(); found {
			m.replica.TransferLeadership(to)
		}
	})
}
