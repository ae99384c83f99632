package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// Change proposes members as the next membership. It may differ from the one
// in force by one member. The error is *NotLeading or *ChangePending.
func (r *Replica) Change(members []Member) error {
	if r.role != Leader {
		return &NotLeading{Leader: r.leader}
	}
	if !r.broken.concurrentChanges {
		if !r.Serving() {
			return &ChangePending{Index: r.leading.noop}
		}
		if r.current().index > r.commit {
			return &ChangePending{Index: r.current().index}
		}
	}
	r.appendOwn(&journalv1.Entry{
		Type: journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Membership: &journalv1.Membership{
			Index: r.log.last() + 1, Members: encodeMembers(members),
		},
	})
	r.syncPeers()
	r.advanceCommit()
	r.replicate()
	return nil
}

// SetWanted gives the voters that the group shall have. A leading replica
// moves toward them, one change at a time; nil leaves the group as it is.
func (r *Replica) SetWanted(wanted []Member) {
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
		if member.Learner && !r.suspected[member.ID()] && r.isWanted(member.ID()) {
			return true
		}
	}
	return false
}

func (r *Replica) reconcile() {
	if !r.Serving() || r.current().index > r.commit || r.leading.transferIn > 0 {
		return
	}
	if to := r.transferForReconcile(); to != (MemberID{}) {
		r.TransferLeadership(to)
		return
	}
	if members, ok := r.nextChange(); ok {
		_ = r.Change(members)
	}
}

// nextChange returns the membership that is one step nearer to what is wanted.
func (r *Replica) nextChange() ([]Member, bool) {
	if len(r.wanted) == 0 {
		return nil, false
	}
	if members, ok := r.changeLearners(); ok {
		return members, true
	}
	return r.removeSurplus()
}

// changeLearners promotes, drops or admits a learner, in this order.
func (r *Replica) changeLearners() ([]Member, bool) {
	current := r.current()
	catching := false
	for _, member := range current.members {
		if !member.Learner {
			continue
		}
		if !r.isWanted(member.ID()) {
			return current.without(member.ID()), true
		}
		if r.caughtUp(member.ID()) && r.votersReachable(1) {
			member.Learner = false
			return current.with(member), true
		}
		catching = true
	}
	if catching {
		return nil, false
	}
	for _, member := range r.wanted {
		if _, known := current.find(member.ID()); !known && !r.suspected[member.ID()] {
			member.Learner = true
			return current.with(member), true
		}
	}
	return nil, false
}

func (r *Replica) caughtUp(id MemberID) bool {
	peer, known := r.leading.peers[id]
	return known && !r.suspected[id] && peer.snapshot == 0 && peer.match >= r.commit
}

// votersReachable reports whether a majority would still be reachable with
// added voters more, all of them reachable.
func (r *Replica) votersReachable(added int) bool {
	reachable := added
	for _, member := range r.current().members {
		if !member.Learner && !r.suspected[member.ID()] {
			reachable++
		}
	}
	return reachable >= (r.current().voterCount()+added)/2+1
}

// removeSurplus drops a voter that is not wanted once all wanted ones vote.
func (r *Replica) removeSurplus() ([]Member, bool) {
	current := r.current()
	for _, member := range r.wanted {
		if !current.isVoter(member.ID()) {
			return nil, false
		}
	}
	surplus := MemberID{}
	for _, member := range current.members {
		id := member.ID()
		if r.isWanted(id) || id == r.config.Self {
			continue
		}
		if surplus == (MemberID{}) || r.suspected[id] {
			surplus = id
		}
	}
	if surplus == (MemberID{}) {
		return nil, false
	}
	return current.without(surplus), true
}

func (r *Replica) isWanted(id MemberID) bool {
	_, found := membership{members: r.wanted}.find(id)
	return found
}

// transferForReconcile returns the voter that is to lead instead of a replica
// that is to be removed, or the zero value.
func (r *Replica) transferForReconcile() MemberID {
	if len(r.wanted) == 0 || r.isWanted(r.config.Self) {
		return MemberID{}
	}
	for _, member := range r.wanted {
		if r.current().isVoter(member.ID()) && r.caughtUp(member.ID()) {
			return member.ID()
		}
	}
	return MemberID{}
}

// AskMembership asks the other members whether a committed membership still
// names this replica. One that is not named learns it from the answers.
func (r *Replica) AskMembership() {
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

// Voter reports whether the replica is a voter of the membership in force.
func (r *Replica) Voter() bool { return !r.removed && r.current().isVoter(r.config.Self) }

// MajorityReachable reports whether a majority of voters is not suspected.
func (r *Replica) MajorityReachable() bool { return r.votersReachable(0) }
