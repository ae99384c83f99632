package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// Step takes one message from a member; a vote of the replica itself comes the
// same way. A message to another identity of
// this node is dropped: it concerns promises that this one never made.
func (r *Replica) Step(from, to MemberID, m *journalv1.Message) {
	if to != r.config.Self || r.removed {
		return
	}
	switch {
	case m.Term > r.term:
		r.stepHigherTerm(from, m)
	case m.Term < r.term:
		if !r.stepLowerTerm(from, m) {
			return
		}
	}
	r.dispatch(from, m)
}

// stepHigherTerm moves to the message's term, except for messages that only
// ask or promise something for a term that may never come.
func (r *Replica) stepHigherTerm(from MemberID, m *journalv1.Message) {
	switch m.Type {
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		if !m.Reject {
			return
		}
		r.becomeFollower(m.Term, MemberID{})
	case journalv1.MessageType_MESSAGE_TYPE_APPEND, journalv1.MessageType_MESSAGE_TYPE_CONFIRM,
		journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.becomeFollower(m.Term, from)
	default:
		r.becomeFollower(m.Term, MemberID{})
	}
}

// stepLowerTerm answers a message of an older term so that its sender learns
// of the newer one. It reports whether the message is to be handled further.
func (r *Replica) stepLowerTerm(from MemberID, m *journalv1.Message) bool {
	switch m.Type {
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE, journalv1.MessageType_MESSAGE_TYPE_PROBE,
		journalv1.MessageType_MESSAGE_TYPE_REMOVED:
		return true
	case journalv1.MessageType_MESSAGE_TYPE_VOTE:
		r.sendStored(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term, Reject: true,
		})
	case journalv1.MessageType_MESSAGE_TYPE_APPEND, journalv1.MessageType_MESSAGE_TYPE_CONFIRM,
		journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.sendStored(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term, Reject: true,
		})
	}
	return false
}

// MayCreateReplica reports whether a message of this kind may begin an empty replica at
// a daemon that was not a member under the identity the message is for: that
// identity holds no vote and no entry, and has forgotten none.
func MayCreateReplica(kind journalv1.MessageType) bool {
	switch kind {
	case journalv1.MessageType_MESSAGE_TYPE_APPEND, journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT,
		journalv1.MessageType_MESSAGE_TYPE_VOTE, journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return true
	}
	return false
}

func (r *Replica) dispatch(from MemberID, m *journalv1.Message) {
	switch m.Type {
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		r.notifyRemoved(from)
		r.stepPreVote(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		r.stepVoteAnswer(from, m, PreCandidate)
	case journalv1.MessageType_MESSAGE_TYPE_VOTE:
		r.stepVote(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		r.stepVoteAnswer(from, m, Candidate)
	case journalv1.MessageType_MESSAGE_TYPE_PROBE:
		r.notifyRemoved(from)
		r.stepProbe(from)
	case journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER:
		r.stepProbeAnswer(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_REMOVED:
		r.stepRemoved(m)
	case journalv1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		r.stepTimeoutNow(from)
	default:
		r.dispatchReplication(from, m)
	}
}

func (r *Replica) dispatchReplication(from MemberID, m *journalv1.Message) {
	switch m.Type {
	case journalv1.MessageType_MESSAGE_TYPE_APPEND:
		r.follow(from)
		r.stepAppend(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER:
		r.stepAppendAnswer(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_CONFIRM:
		r.follow(from)
		r.stepConfirm(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_CONFIRM_ANSWER:
		r.stepConfirmAnswer(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.follow(from)
		r.stepSnapshot(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		r.stepSnapshotAnswer(from, m)
	}
}

// follow takes the sender of a message that only a leader of this term sends
// as the leader. It ends no probe: the message may be older than that.
func (r *Replica) follow(leader MemberID) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
}

// notifyRemoved tells a sender that the committed membership known here does not
// name it. A sender that was admitted since then ignores it.
func (r *Replica) notifyRemoved(from MemberID) {
	committed := r.membershipAt(r.commit)
	if _, member := committed.find(from); member || committed.index == 0 {
		return
	}
	r.sendRemoved(from)
}

func (r *Replica) sendRemoved(to MemberID) {
	committed := r.membershipAt(r.commit)
	r.sendEarly(to, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_REMOVED, Term: r.term, Index: r.commit, Membership: committed.encode(),
	})
}

// stepRemoved drops out when a committed membership, set after the position at
// which the replica was admitted, does not name it: then the removal was
// committed, or the admission never can be. No identity is admitted twice.
func (r *Replica) stepRemoved(m *journalv1.Message) {
	told := newMembership(m.Membership.GetIndex(), m.Membership)
	if _, member := told.find(r.config.Self); member || position(told.term, told.index) < r.config.Self.Admission {
		return
	}
	r.markRemoved()
	r.memberships = []membership{told}
}

func (r *Replica) stepTimeoutNow(from MemberID) {
	if r.role != Follower || r.leader != from || r.removed || !r.current().isVoter(r.config.Self) {
		return
	}
	r.election = election{giveUpIn: r.config.CampaignTicks, transfer: true}
	r.stand()
}
