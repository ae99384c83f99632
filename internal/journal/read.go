package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// confirmation counts rounds in which a leader asks a majority whether it
// still leads.
type confirmation struct {
	// asked is the last round begun, confirmed the last that a majority
	// answered.
	asked, confirmed uint64
	answered         map[MemberID]uint64
}

// ConfirmLeadership begins a round and returns its number, at a leader that is
// serving. When Ready.Confirmed reaches the number, the replica led at a
// moment after the call, and all that was committed before it is applied here.
func (r *Replica) ConfirmLeadership() (uint64, error) {
	if !r.Serving() {
		return 0, &NotLeader{Leader: r.leader}
	}
	rounds := &r.leading.rounds
	r.round++
	rounds.asked = r.round
	if rounds.answered == nil {
		rounds.answered = map[MemberID]uint64{}
	}
	r.sendConfirms()
	r.countConfirmations()
	return rounds.asked, nil
}

func (r *Replica) sendConfirms() {
	for _, member := range r.current().members {
		if member.Learner || member.ID() == r.config.Self || r.leading.rounds.answered[member.ID()] >= r.leading.rounds.asked {
			continue
		}
		r.sendEarly(member.ID(), &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_CONFIRM, Term: r.term, Sequence: r.leading.rounds.asked,
		})
	}
}

func (r *Replica) stepConfirm(from MemberID, m *journalv1.Message) {
	r.sendStored(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_CONFIRM_ANSWER, Term: r.term, Sequence: m.Sequence,
	})
}

func (r *Replica) stepConfirmAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leading.peers[from]
	if r.role != Leader || !known || r.leading.rounds.answered == nil {
		return
	}
	peer.heardFrom(r.config.RetransmitTicks)
	r.noteMajority()
	answered := r.leading.rounds.answered
	answered[from] = max(answered[from], m.Sequence)
	r.countConfirmations()
}

func (r *Replica) countConfirmations() {
	rounds := &r.leading.rounds
	for round := rounds.asked; round > rounds.confirmed; round-- {
		if r.roundAnswered(round) {
			rounds.confirmed = round
			r.ready.ConfirmedRound = round
			return
		}
	}
}

func (r *Replica) roundAnswered(round uint64) bool {
	if r.broken.confirmAlone {
		return true
	}
	return r.majority(func(id MemberID) bool {
		return id == r.config.Self || r.leading.rounds.answered[id] >= round
	})
}
