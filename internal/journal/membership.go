package journal

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func encodeMembers(members []Member) []*journalv1.Member {
	encoded := make([]*journalv1.Member, 0, len(members))
	for _, member := range members {
		encoded = append(encoded, &journalv1.Member{
			Node: string(member.Node), Incarnation: uint64(member.Incarnation),
			Zone: string(member.Zone), Disk: member.Disk, Learner: member.Learner, Admission: member.Admission,
		})
	}
	return encoded
}

func decodeMembers(membership *journalv1.Membership) []Member {
	members := make([]Member, 0, len(membership.GetMembers()))
	for _, member := range membership.GetMembers() {
		members = append(members, Member{
			Node: structs.NodeID(member.Node), Incarnation: structs.Incarnation(member.Incarnation),
			Zone: structs.ZoneName(member.Zone), Disk: member.Disk, Learner: member.Learner, Admission: member.Admission,
		})
	}
	return members
}

// membership is the set of members that an entry (or the genesis) set.
type membership struct {
	index   uint64
	term    uint64
	members []Member
}

func newMembership(index uint64, encoded *journalv1.Membership) membership {
	return membership{index: index, term: encoded.GetTerm(), members: decodeMembers(encoded)}
}

func (m membership) encode() *journalv1.Membership {
	return &journalv1.Membership{Index: m.index, Term: m.term, Members: encodeMembers(m.members)}
}

func (m membership) find(id MemberID) (Member, bool) {
	at := slices.IndexFunc(m.members, func(member Member) bool { return member.ID() == id })
	if at < 0 {
		return Member{}, false
	}
	return m.members[at], true
}

// findLife returns the member of a daemon's life under whatever admission.
func (m membership) findLife(id MemberID) (Member, bool) {
	at := slices.IndexFunc(m.members, func(member Member) bool { return member.ID().WithoutAdmission() == id.WithoutAdmission() })
	if at < 0 {
		return Member{}, false
	}
	return m.members[at], true
}

func (m membership) isVoter(id MemberID) bool {
	member, found := m.find(id)
	return found && !member.Learner
}

// quorum is the number of voters in a majority.
func (m membership) quorum() int {
	return m.voterCount()/2 + 1
}

func (m membership) voterCount() int {
	count := 0
	for _, member := range m.members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// reached reports whether the voters that agree are a majority.
func (m membership) reached(agrees func(MemberID) bool) bool {
	return m.voterCount() > 0 && m.agreeing(agrees, false) >= m.quorum()
}

// agreeing counts the voters, or voters and learners, that agree.
func (m membership) agreeing(agrees func(MemberID) bool, learners bool) int {
	count := 0
	for _, member := range m.members {
		if (learners || !member.Learner) && agrees(member.ID()) {
			count++
		}
	}
	return count
}

// with returns the members with one added or replaced.
func (m membership) with(changed Member) []Member {
	members := m.without(changed.ID())
	return append(members, changed)
}

func (m membership) without(id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(member Member) bool { return member.ID() == id })
}
