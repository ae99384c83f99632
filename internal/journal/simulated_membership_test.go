package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// newestNode returns the node whose replica has the highest commit index, and
// thus the newest committed membership.
func (s *simulation) newestNode() *simulatedNode {
	var newest *simulatedNode
	for _, name := range s.nodeNames {
		m := s.nodes[name]
		if m.replica == nil {
			continue
		}
		if newest == nil || m.replica.commitIndex > newest.replica.commitIndex {
			newest = m
		}
	}
	return newest
}

// survivesMemoryLoss reports whether every membership that may become current
// keeps a majority of members with their memory if the node loses its own.
func (s *simulation) survivesMemoryLoss(lost *simulatedNode) bool {
	newest := s.newestNode().replica
	committed := newest.membershipAt(newest.commitIndex).index
	for _, candidate := range s.allMemberships() {
		keepsMemory := func(id MemberID) bool { return s.nodes[id.Node] != lost && s.isCurrentIdentity(id) }
		if candidate.index >= committed && !hasMajorityDespitePromotion(candidate, keepsMemory) {
			return false
		}
	}
	return true
}

// hasMajorityDespitePromotion reports whether the voters for which keepsMemory
// is true are a majority, and would still be one if any learner were promoted
// before its loss is known.
func hasMajorityDespitePromotion(current membership, keepsMemory func(MemberID) bool) bool {
	for _, member := range current.members {
		if !member.Learner {
			continue
		}
		member.Learner = false
		if promoted := (membership{members: current.withMember(member)}); !promoted.hasMajority(keepsMemory) {
			return false
		}
	}
	return current.hasMajority(keepsMemory)
}

// allMemberships returns the memberships in replicas, in stores and in
// messages in transit.
func (s *simulation) allMemberships() []membership {
	var all []membership
	var entries []*journalv1.Entry
	for _, name := range s.nodeNames {
		if m := s.nodes[name]; m.replica != nil {
			all = append(all, m.replica.memberships...)
			entries = append(entries, m.store.Entries...)
		}
	}
	for _, transit := range s.inTransit {
		entries = append(entries, transit.message.Entries...)
	}
	for _, entry := range entries {
		if entry.Membership != nil {
			all = append(all, newMembership(entry.Index, entry.Membership))
		}
	}
	return all
}

// isCurrentIdentity reports whether the node's replica still has this
// identity.
func (s *simulation) isCurrentIdentity(id MemberID) bool {
	holder := s.nodes[id.Node]
	return holder.replica != nil && holder.replica.Self() == id
}

func (s *simulation) loseMemory() {
	m := s.randomNode()
	if s.faults.reuseIncarnation || s.survivesMemoryLoss(m) {
		m.loseMemory()
	}
}

// setRandomDesiredVoters sets the same three desired voters on every running
// replica.
func (s *simulation) setRandomDesiredVoters() {
	desired := s.threeMembersExcept(s.choose(len(s.nodeNames)))
	for _, name := range s.nodeNames {
		if m := s.nodes[name]; m.replica != nil && !m.paused {
			m.replica.SetDesiredVoters(desired)
			m.processReady()
		}
	}
}

func (s *simulation) threeMembersExcept(skip int) []Member {
	var desired []Member
	for i, name := range s.nodeNames {
		if i != skip && len(desired) < 3 {
			desired = append(desired, Member{Node: name, Incarnation: s.nodes[name].id.Incarnation})
		}
	}
	return desired
}

// proposeRandomChanges proposes up to three membership changes in a row, as an
// operator might.
func (s *simulation) proposeRandomChanges() {
	m := s.randomNodeWhere(func(m *simulatedNode) bool { return m.replica.role == Leader })
	if m == nil {
		return
	}
	for range 1 + s.choose(3) {
		s.proposeChangeAt(m, s.randomNode())
	}
	m.processReady()
}

func (s *simulation) proposeChangeAt(m, other *simulatedNode) {
	current := m.replica.currentMembership()
	member, known := current.findAnyAdmission(other.id)
	switch {
	case !known:
		_ = m.replica.ProposeMembership(current.withMember(Member{Node: other.id.Node, Incarnation: other.id.Incarnation, Learner: true}))
	case member.Learner && m.replica.role == Leader && m.replica.caughtUp(member.ID()):
		member.Learner = false
		_ = m.replica.ProposeMembership(current.withMember(member))
	case current.voterCount() > 1 && other != m:
		reduced := membership{members: current.withoutMember(member.ID())}
		if reduced.hasMajority(s.isCurrentIdentity) {
			_ = m.replica.ProposeMembership(reduced.members)
		}
	}
}

func (s *simulation) transferLeadership() {
	s.withRandomReplica(func(m *simulatedNode) {
		if to, found := m.replica.TransferTarget(); found {
			m.replica.TransferLeadership(to)
		}
	})
}
