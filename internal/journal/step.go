package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// Step processes one message from a member, or the replica's own vote. A
// message to another identity of this node is dropped, because it concerns
// votes and acknowledgements that this identity never gave.
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

// stepHigherTerm moves to the message's term, except for pre-votes and granted
// pre-votes, whose term may never begin.
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
// the newer term. It reports whether the message must be processed further.
func (r *Replica) stepLowerTerm(from MemberID, m *journalv1.Message) bool {
	switch m.Type {
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE, journalv1.MessageType_MESSAGE_TYPE_PROBE,
		journalv1.MessageType_MESSAGE_TYPE_REMOVED:
		return true
	case journalv1.MessageType_MESSAGE_TYPE_VOTE:
		r.sendAfterStore(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term, Reject: true,
		})
	case journalv1.MessageType_MESSAGE_TYPE_APPEND, journalv1.MessageType_MESSAGE_TYPE_CONFIRM,
		journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.sendAfterStore(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term, Reject: true,
		})
	}
	return false
}

// MayCreateReplica reports whether a message of this type may create an empty
// replica on a daemon that was never a member under the recipient's identity.
// That identity has given no vote and stored no entry, so none can be
// forgotten.
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
		r.notifyIfRemoved(from)
		r.stepPreVote(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		r.stepVoteAnswer(from, m, PreCandidate)
	case journalv1.MessageType_MESSAGE_TYPE_VOTE:
		r.stepVote(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER:
		r.stepVoteAnswer(from, m, Candidate)
	case journalv1.MessageType_MESSAGE_TYPE_PROBE:
		r.notifyIfRemoved(from)
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
		r.followLeader(from)
		r.stepAppend(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER:
		r.stepAppendAnswer(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_CONFIRM:
		r.followLeader(from)
		r.stepConfirm(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_CONFIRM_ANSWER:
		r.stepConfirmAnswer(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		r.followLeader(from)
		r.stepSnapshot(from, m)
	case journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		r.stepSnapshotAnswer(from, m)
	}
}

// followLeader accepts the sender of a message that only a leader of this term
// sends as the leader. It does not end a probe, because the message may be
// older than the probe.
func (r *Replica) followLeader(leader MemberID) {
	if r.role == Leader {
		return
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
}

// notifyIfRemoved tells the sender if the committed membership known here does
// not include it. A sender that was admitted later ignores the notice.
func (r *Replica) notifyIfRemoved(from MemberID) {
	committed := r.membershipAt(r.commitIndex)
	if _, member := committed.find(from); member || committed.index == 0 {
		return
	}
	r.sendRemoved(from)
}

func (r *Replica) sendRemoved(to MemberID) {
	committed := r.membershipAt(r.commitIndex)
	r.sendImmediately(to, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_REMOVED, Term: r.term, Index: r.commitIndex, Membership: committed.encode(),
	})
}

// stepRemoved marks the replica as removed if a committed membership does not
// include it and is newer than the replica's admission. Then either the
// removal was committed or the admission never can be. No identity is admitted
// twice.
func (r *Replica) stepRemoved(m *journalv1.Message) {
	committed := newMembership(m.Membership.GetIndex(), m.Membership)
	if _, member := committed.find(r.config.Self); member || position(committed.term, committed.index) < r.config.Self.Admission {
		return
	}
	r.markRemoved()
	r.memberships = []membership{committed}
}

func (r *Replica) stepTimeoutNow(from MemberID) {
	if r.role != Follower || r.leader != from || r.removed || !r.currentMembership().isVoter(r.config.Self) {
		return
	}
	r.election = election{giveUpTicksLeft: r.config.CampaignTicks, isTransfer: true}
	r.startElection()
}
