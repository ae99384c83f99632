package journal

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// ProposeMembership proposes the members as the next membership. It may differ
// from the current membership by one member. The error is *NotLeader or
// *MembershipChangePending.
func (r *Replica) ProposeMembership(members []Member) error {
	if r.role != Leader {
		return &NotLeader{Leader: r.leader}
	}
	if !r.injected.allowConcurrentChanges {
		if !r.Serving() {
			return &MembershipChangePending{Index: r.leaderState.firstIndex}
		}
		if r.currentMembership().index > r.commitIndex {
			return &MembershipChangePending{Index: r.currentMembership().index}
		}
	}
	index := r.log.lastIndex() + 1
	r.appendAsLeader(&journalv1.Entry{
		Type:       journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Membership: &journalv1.Membership{Index: index, Term: r.term, Members: encodeMembers(r.assignAdmissions(members, index))},
	})
	r.syncPeers()
	r.advanceCommit()
	r.replicate()
	return nil
}

// assignAdmissions sets the admission of the members that are new.
func (r *Replica) assignAdmissions(members []Member, index uint64) []Member {
	admitted := slices.Clone(members)
	for i := range admitted {
		if _, known := r.currentMembership().find(admitted[i].ID()); !known && !r.injected.reuseAdmission {
			admitted[i].Admission = position(r.term, index)
		}
	}
	return admitted
}

// SetDesiredVoters sets the voters that the group should have. A leader moves
// the group toward them, one membership change at a time. nil leaves the
// membership as it is.
func (r *Replica) SetDesiredVoters(desired []Member) {
	r.desiredVoters = desired
	if r.role == Leader {
		r.reconcile()
	}
}

// checkOwnRemoval marks this leader as removed if the latest membership is
// committed and does not include it.
func (r *Replica) checkOwnRemoval() {
	committed := r.membershipAt(r.commitIndex)
	if _, member := committed.find(r.config.Self); !member && committed.index == r.currentMembership().index {
		r.markRemoved()
	}
}

// reconcilePending reports whether a change toward the desired voters is
// possible now, or may become possible because a learner can be promoted.
func (r *Replica) reconcilePending() bool {
	change, _ := r.nextMembership()
	return change != nil || r.removalTransferTarget() != (MemberID{}) || r.hasReachableLearner()
}

// hasReachableLearner reports whether a desired learner is not suspected, so
// that it can still be promoted.
func (r *Replica) hasReachableLearner() bool {
	for _, member := range r.currentMembership().members {
		if member.Learner && !r.suspected[member.ID().WithoutAdmission()] && r.isDesired(member.ID()) {
			return true
		}
	}
	return false
}

// reconcile proposes the next membership change toward the desired voters, or
// transfers leadership if this leader is to be removed.
func (r *Replica) reconcile() {
	pending := r.currentMembership().index > r.commitIndex && !r.injected.allowConcurrentChanges
	if !r.Serving() || pending || r.leaderState.transferTicksLeft > 0 {
		return
	}
	if members, ok := r.nextMembership(); ok {
		_ = r.ProposeMembership(members)
		return
	}
	if to := r.removalTransferTarget(); to != (MemberID{}) {
		r.TransferLeadership(to)
	}
}

// nextMembership returns the membership that is one change closer to the
// desired voters. A member whose incarnation has ended is removed first,
// because it only makes majorities harder to reach. A member that is only
// unreachable is removed when its successor has caught up, and a reachable
// member after its successor has become a voter. The group thus never depends
// on more members than necessary.
func (r *Replica) nextMembership() ([]Member, bool) {
	if len(r.desiredVoters) == 0 {
		return nil, false
	}
	if members, ok := r.withoutFirstVoter(r.isSuperseded); ok {
		return members, true
	}
	if members, ok := r.nextLearnerChange(); ok {
		return members, true
	}
	if r.hasLearner() {
		return nil, false
	}
	if members, ok := r.addMissingDesired(); ok || !r.allDesiredAreVoters() {
		return members, ok
	}
	return r.withoutFirstVoter(func(id MemberID) bool { return !r.isDesired(id) })
}

func (r *Replica) hasLearner() bool {
	return slices.ContainsFunc(r.currentMembership().members, func(member Member) bool { return member.Learner })
}

// nextLearnerChange removes a learner that is not desired, or promotes one
// that has caught up.
func (r *Replica) nextLearnerChange() ([]Member, bool) {
	for _, member := range r.currentMembership().members {
		switch {
		case !member.Learner:
		case !r.isDesired(member.ID()):
			return r.currentMembership().withoutMember(member.ID()), true
		case r.caughtUp(member.ID()) && r.leaderState.peers[member.ID()].answeredSinceTick:
			return r.promoteLearner(member)
		}
	}
	return nil, false
}

// addMissingDesired returns the membership with the first missing desired
// member that is not suspected, as a learner.
func (r *Replica) addMissingDesired() ([]Member, bool) {
	for _, member := range r.desiredVoters {
		if _, known := r.currentMembership().findAnyAdmission(member.ID()); !known && !r.suspected[member.ID().WithoutAdmission()] {
			member.Learner, member.Admission = true, 0
			return r.currentMembership().withMember(member), true
		}
	}
	return nil, false
}

// promoteLearner makes the learner a voter. An unreachable voter that is not
// desired is removed before that.
func (r *Replica) promoteLearner(learner Member) ([]Member, bool) {
	unreachable := func(id MemberID) bool { return !r.isDesired(id) && r.suspected[id.WithoutAdmission()] }
	if members, ok := r.withoutFirstVoter(unreachable); ok {
		return members, true
	}
	learner.Learner = false
	members := r.currentMembership().withMember(learner)
	return members, r.majorityUnsuspected(members) && (!r.raisesQuorum(members) || r.responsiveVotersAnswered())
}

// raisesQuorum reports whether a majority of the given members is larger than
// one of the current membership.
func (r *Replica) raisesQuorum(members []Member) bool {
	return membership{members: members}.quorum() > r.currentMembership().quorum()
}

// responsiveVotersAnswered reports whether every voter that is not suspected
// has answered since the last tick. A voter that is gone and not suspected yet
// must not be needed more than before.
func (r *Replica) responsiveVotersAnswered() bool {
	for _, member := range r.currentMembership().members {
		id := member.ID()
		if member.Learner || id == r.config.Self || r.suspected[id.WithoutAdmission()] {
			continue
		}
		if peer, known := r.leaderState.peers[id]; !known || !peer.answeredSinceTick {
			return false
		}
	}
	return true
}

// isSuperseded reports whether a desired member is a later incarnation of the
// same node.
func (r *Replica) isSuperseded(id MemberID) bool {
	for _, member := range r.desiredVoters {
		if member.Node == id.Node && member.Incarnation > id.Incarnation {
			return true
		}
	}
	return false
}

// withoutFirstVoter returns the membership without the first voter, other than
// this replica, for which shouldRemove is true. It reports false if there is
// none, or if the remaining voters have no majority of unsuspected ones.
func (r *Replica) withoutFirstVoter(shouldRemove func(MemberID) bool) ([]Member, bool) {
	for _, member := range r.currentMembership().members {
		if member.Learner || member.ID() == r.config.Self || !shouldRemove(member.ID()) {
			continue
		}
		members := r.currentMembership().withoutMember(member.ID())
		return members, r.majorityUnsuspected(members)
	}
	return nil, false
}

// caughtUp reports whether the member is not suspected and has stored all
// committed entries.
func (r *Replica) caughtUp(id MemberID) bool {
	peer, known := r.leaderState.peers[id]
	return known && !r.suspected[id.WithoutAdmission()] && peer.snapshotIndex == 0 && peer.match >= r.commitIndex
}

// majorityUnsuspected reports whether a majority of the voters is not
// suspected.
func (r *Replica) majorityUnsuspected(members []Member) bool {
	return membership{members: members}.hasMajority(func(id MemberID) bool { return !r.suspected[id.WithoutAdmission()] })
}

// allDesiredAreVoters reports whether all desired members are voters.
func (r *Replica) allDesiredAreVoters() bool {
	for _, member := range r.desiredVoters {
		current, found := r.currentMembership().findAnyAdmission(member.ID())
		if !found || current.Learner {
			return false
		}
	}
	return true
}

func (r *Replica) isDesired(id MemberID) bool {
	_, found := membership{members: r.desiredVoters}.findAnyAdmission(id)
	return found
}

// removalTransferTarget returns the voter to transfer leadership to if this
// leader is the last member to be removed, or the zero value.
func (r *Replica) removalTransferTarget() MemberID {
	if len(r.desiredVoters) == 0 || r.isDesired(r.config.Self) || !r.allDesiredAreVoters() {
		return MemberID{}
	}
	for _, member := range r.desiredVoters {
		if current, _ := r.currentMembership().findAnyAdmission(member.ID()); r.caughtUp(current.ID()) {
			return current.ID()
		}
	}
	return MemberID{}
}

// ProbeMembership asks the other members whether a committed membership still
// includes this replica. A replica that was removed learns it from the
// answers.
func (r *Replica) ProbeMembership() {
	if r.role == Leader {
		return
	}
	for _, member := range r.currentMembership().members {
		if member.ID() != r.config.Self {
			r.sendImmediately(member.ID(), &journalv1.Message{
				Type: journalv1.MessageType_MESSAGE_TYPE_PROBE, Term: r.term, Index: r.log.lastIndex(),
			})
		}
	}
}

// isLeaving reports whether the member is to be removed from the group.
func (r *Replica) isLeaving(id MemberID) bool { return len(r.desiredVoters) > 0 && !r.isDesired(id) }

// Leaving reports whether this replica is to be removed from the group,
// according to SetDesiredVoters or to its leader's last answer to a probe.
func (r *Replica) Leaving() bool { return r.isLeaving(r.config.Self) || r.leavingReportedByLeader }

// IsVoter reports whether the replica is a voter of the current membership.
func (r *Replica) IsVoter() bool { return !r.removed && r.currentMembership().isVoter(r.config.Self) }

// MajorityReachable reports whether a majority of the voters is not suspected.
func (r *Replica) MajorityReachable() bool { return r.majorityUnsuspected(r.Members()) }
