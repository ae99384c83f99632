package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// confirmationRounds tracks the rounds in which a leader asks a majority
// whether it is still the leader.
type confirmationRounds struct {
	// lastStarted is the last round started, lastConfirmed the last round that
	// a majority answered.
	lastStarted, lastConfirmed uint64
	// lastAnswered is the last round that each member answered.
	lastAnswered map[MemberID]uint64
}

// ConfirmLeadership starts a round and returns its number. The replica must be
// serving. When Ready.ConfirmedRound reaches the number, the replica was
// leader at some time after the call, and all entries committed before the
// call are applied here.
func (r *Replica) ConfirmLeadership() (uint64, error) {
	if !r.Serving() {
		return 0, &NotLeader{Leader: r.leader}
	}
	rounds := &r.leaderState.confirmation
	r.confirmationRound++
	rounds.lastStarted = r.confirmationRound
	if rounds.lastAnswered == nil {
		rounds.lastAnswered = map[MemberID]uint64{}
	}
	r.sendConfirms()
	r.countConfirmations()
	return rounds.lastStarted, nil
}

func (r *Replica) sendConfirms() {
	for _, member := range r.currentMembership().members {
		if member.Learner || member.ID() == r.config.Self || r.leaderState.confirmation.lastAnswered[member.ID()] >= r.leaderState.confirmation.lastStarted {
			continue
		}
		r.sendImmediately(member.ID(), &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_CONFIRM, Term: r.term, Sequence: r.leaderState.confirmation.lastStarted,
		})
	}
}

func (r *Replica) stepConfirm(from MemberID, m *journalv1.Message) {
	r.sendAfterStore(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_CONFIRM_ANSWER, Term: r.term, Sequence: m.Sequence,
	})
}

func (r *Replica) stepConfirmAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leaderState.peers[from]
	if r.role != Leader || !known || r.leaderState.confirmation.lastAnswered == nil {
		return
	}
	peer.recordAnswer(r.config.RetransmitTicks)
	r.updateMajorityTimer()
	answered := r.leaderState.confirmation.lastAnswered
	answered[from] = max(answered[from], m.Sequence)
	r.countConfirmations()
}

func (r *Replica) countConfirmations() {
	rounds := &r.leaderState.confirmation
	for round := rounds.lastStarted; round > rounds.lastConfirmed; round-- {
		if r.majorityAnsweredRound(round) {
			rounds.lastConfirmed = round
			r.ready.ConfirmedRound = round
			return
		}
	}
}

func (r *Replica) majorityAnsweredRound(round uint64) bool {
	if r.injected.confirmWithoutMajority {
		return true
	}
	return r.majorityAgrees(func(id MemberID) bool {
		return id == r.config.Self || r.leaderState.confirmation.lastAnswered[id] >= round
	})
}
