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

// membership is the set of members set by an entry or by the initial
// membership.
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
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.ID() == id })
	if i < 0 {
		return Member{}, false
	}
	return m.members[i], true
}

// findAnyAdmission returns the member with the same node and incarnation,
// regardless of its admission.
func (m membership) findAnyAdmission(id MemberID) (Member, bool) {
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.ID().WithoutAdmission() == id.WithoutAdmission() })
	if i < 0 {
		return Member{}, false
	}
	return m.members[i], true
}

func (m membership) isVoter(id MemberID) bool {
	member, found := m.find(id)
	return found && !member.Learner
}

// quorum returns the number of voters in a majority.
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

// hasMajority reports whether the voters that agree are a majority.
func (m membership) hasMajority(agrees func(MemberID) bool) bool {
	return m.voterCount() > 0 && m.countAgreeing(agrees, false) >= m.quorum()
}

// countAgreeing returns the number of voters that agree, including learners if
// learners is set.
func (m membership) countAgreeing(agrees func(MemberID) bool, includeLearners bool) int {
	count := 0
	for _, member := range m.members {
		if (includeLearners || !member.Learner) && agrees(member.ID()) {
			count++
		}
	}
	return count
}

// withMember returns the members with one added or replaced.
func (m membership) withMember(changed Member) []Member {
	members := m.withoutMember(changed.ID())
	return append(members, changed)
}

func (m membership) withoutMember(id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(member Member) bool { return member.ID() == id })
}
