package journal

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// ProposeMembership proposes members as the next membership. It may differ from the one
// in force by one member. The error is *NotLeader or *MembershipChangePending.
func (r *Replica) ProposeMembership(members []Member) error {
	if r.role != Leader {
		return &NotLeader{Leader: r.leader}
	}
	if !r.broken.concurrentChanges {
		if !r.Serving() {
			return &MembershipChangePending{Index: r.leading.noop}
		}
		if r.current().index > r.commit {
			return &MembershipChangePending{Index: r.current().index}
		}
	}
	index := r.log.last() + 1
	r.appendOwn(&journalv1.Entry{
		Type:       journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Membership: &journalv1.Membership{Index: index, Term: r.term, Members: encodeMembers(r.admit(members, index))},
	})
	r.syncPeers()
	r.advanceCommit()
	r.replicate()
	return nil
}

// admit gives members that are new their admission.
func (r *Replica) admit(members []Member, index uint64) []Member {
	admitted := slices.Clone(members)
	for i := range admitted {
		if _, known := r.current().find(admitted[i].ID()); !known && !r.broken.reuseAdmission {
			admitted[i].Admission = position(r.term, index)
		}
	}
	return admitted
}

// SetDesiredVoters gives the voters that the group shall have. A leading replica
// moves toward them, one change at a time; nil leaves the group as it is.
func (r *Replica) SetDesiredVoters(wanted []Member) {
	r.wanted = wanted
	if r.role == Leader {
		r.reconcile()
	}
}

// noteCommitted handles what a leader does once entries are committed.
func (r *Replica) noteCommitted() {
	committed := r.membershipAt(r.commit)
	if _, member := committed.find(r.config.Self); !member && committed.index == r.current().index {
		r.markRemoved()
	}
}

func (r *Replica) reconcileOutstanding() bool {
	change, _ := r.nextChange()
	return change != nil || r.transferForReconcile() != (MemberID{}) || r.learnerBehind()
}

// learnerBehind reports whether a reachable learner has still to catch up.
func (r *Replica) learnerBehind() bool {
	for _, member := range r.current().members {
		if member.Learner && !r.suspected[member.ID().WithoutAdmission()] && r.isWanted(member.ID()) {
			return true
		}
	}
	return false
}

func (r *Replica) reconcile() {
	pending := r.current().index > r.commit && !r.broken.concurrentChanges
	if !r.Serving() || pending || r.leading.transferIn > 0 {
		return
	}
	if members, ok := r.nextChange(); ok {
		_ = r.ProposeMembership(members)
		return
	}
	if to := r.transferForReconcile(); to != (MemberID{}) {
		r.TransferLeadership(to)
	}
}

// nextChange returns the membership that is one step nearer to what is wanted.
// A member that is gone for good leaves first: it only makes majorities harder.
// One that is merely out of reach leaves when its successor has caught up, and
// one that can be reached after its successor votes, so that the group never
// depends on more members than it has to.
func (r *Replica) nextChange() ([]Member, bool) {
	if len(r.wanted) == 0 {
		return nil, false
	}
	if members, ok := r.remove(r.superseded); ok {
		return members, true
	}
	if members, ok := r.changeLearner(); ok {
		return members, true
	}
	if r.learning() {
		return nil, false
	}
	if members, ok := r.admitWanted(); ok || !r.wantedVote() {
		return members, ok
	}
	return r.remove(func(id MemberID) bool { return !r.isWanted(id) })
}

func (r *Replica) learning() bool {
	return slices.ContainsFunc(r.current().members, func(member Member) bool { return member.Learner })
}

// changeLearner drops a learner that is not wanted, or promotes one that has
// caught up.
func (r *Replica) changeLearner() ([]Member, bool) {
	for _, member := range r.current().members {
		switch {
		case !member.Learner:
		case !r.isWanted(member.ID()):
			return r.current().without(member.ID()), true
		case r.caughtUp(member.ID()) && r.leading.peers[member.ID()].fresh:
			return r.promote(member)
		}
	}
	return nil, false
}

func (r *Replica) admitWanted() ([]Member, bool) {
	for _, member := range r.wanted {
		if _, known := r.current().findLife(member.ID()); !known && !r.suspected[member.ID().WithoutAdmission()] {
			member.Learner, member.Admission = true, 0
			return r.current().with(member), true
		}
	}
	return nil, false
}

// promote makes the learner a voter, after an unwanted voter that is out of
// reach has left.
func (r *Replica) promote(learner Member) ([]Member, bool) {
	unreachable := func(id MemberID) bool { return !r.isWanted(id) && r.suspected[id.WithoutAdmission()] }
	if members, ok := r.remove(unreachable); ok {
		return members, true
	}
	learner.Learner = false
	members := r.current().with(learner)
	return members, r.majorityTrusted(members)
}

// superseded reports whether a wanted member is a later life of the same node.
func (r *Replica) superseded(id MemberID) bool {
	for _, member := range r.wanted {
		if member.Node == id.Node && member.Incarnation > id.Incarnation {
			return true
		}
	}
	return false
}

// remove returns the membership without the first voter, other than this
// replica, that goes, if a majority of the rest can be reached.
func (r *Replica) remove(goes func(MemberID) bool) ([]Member, bool) {
	for _, member := range r.current().members {
		if member.Learner || member.ID() == r.config.Self || !goes(member.ID()) {
			continue
		}
		members := r.current().without(member.ID())
		return members, r.majorityTrusted(members)
	}
	return nil, false
}

func (r *Replica) caughtUp(id MemberID) bool {
	peer, known := r.leading.peers[id]
	return known && !r.suspected[id.WithoutAdmission()] && peer.snapshot == 0 && peer.match >= r.commit
}

// majorityTrusted reports whether a majority of the voters is not suspected.
func (r *Replica) majorityTrusted(members []Member) bool {
	return membership{members: members}.reached(func(id MemberID) bool { return !r.suspected[id.WithoutAdmission()] })
}

// wantedVote reports whether all wanted members are voters.
func (r *Replica) wantedVote() bool {
	for _, member := range r.wanted {
		held, found := r.current().findLife(member.ID())
		if !found || held.Learner {
			return false
		}
	}
	return true
}

func (r *Replica) isWanted(id MemberID) bool {
	_, found := membership{members: r.wanted}.findLife(id)
	return found
}

// transferForReconcile returns the voter that is to lead instead of a replica
// that is the last to be removed, or the zero value.
func (r *Replica) transferForReconcile() MemberID {
	if len(r.wanted) == 0 || r.isWanted(r.config.Self) || !r.wantedVote() {
		return MemberID{}
	}
	for _, member := range r.wanted {
		if held, _ := r.current().findLife(member.ID()); r.caughtUp(held.ID()) {
			return held.ID()
		}
	}
	return MemberID{}
}

// ProbeMembership asks the other members whether a committed membership still
// names this replica. One that is not named learns it from the answers.
func (r *Replica) ProbeMembership() {
	if r.role == Leader {
		return
	}
	for _, member := range r.current().members {
		if member.ID() != r.config.Self {
			r.sendEarly(member.ID(), &journalv1.Message{
				Type: journalv1.MessageType_MESSAGE_TYPE_PROBE, Term: r.term, Index: r.log.last(),
			})
		}
	}
}

// unwanted reports whether the group is to go on without a member.
func (r *Replica) unwanted(id MemberID) bool { return len(r.wanted) > 0 && !r.isWanted(id) }

// Leaving reports whether the group is to go on without this replica, as far
// as it was told by SetDesiredVoters or by its leader's last answer to a probe.
func (r *Replica) Leaving() bool { return r.unwanted(r.config.Self) || r.toldLeaving }

// IsVoter reports whether the replica is a voter of the membership in force.
func (r *Replica) IsVoter() bool { return !r.removed && r.current().isVoter(r.config.Self) }

// MajorityReachable reports whether a majority of voters is not suspected.
func (r *Replica) MajorityReachable() bool { return r.majorityTrusted(r.Members()) }
