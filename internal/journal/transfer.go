package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// transferTickFactor limits the time of a transfer, in multiples of
// ElectionTicks.
const transferTickFactor = 4

// TransferLeadership asks a voter to become leader. Proposals are rejected
// until the transfer succeeds or times out. It reports whether a transfer
// started.
func (r *Replica) TransferLeadership(to MemberID) bool {
	peer, known := r.leaderState.peers[to]
	if r.role != Leader || !known || !r.currentMembership().isVoter(to) || r.leaderState.transferTicksLeft > 0 {
		return false
	}
	r.leaderState.transferTarget = to
	r.leaderState.transferTicksLeft = transferTickFactor * r.config.ElectionTicks
	r.completeTransferIfCaughtUp(to, peer)
	return true
}

// TransferTarget returns the reachable voter with the longest log.
func (r *Replica) TransferTarget() (MemberID, bool) {
	best, found := MemberID{}, false
	for _, id := range r.peerIDs() {
		if r.suspected[id.WithoutAdmission()] || !r.currentMembership().isVoter(id) {
			continue
		}
		if !found || r.leaderState.peers[id].match > r.leaderState.peers[best].match {
			best, found = id, true
		}
	}
	return best, found
}

// completeTransferIfCaughtUp tells the transfer target to start an election
// once it holds the whole log.
func (r *Replica) completeTransferIfCaughtUp(id MemberID, peer *progress) {
	if r.leaderState.transferTicksLeft == 0 || r.leaderState.transferTarget != id || peer.match < r.log.lastIndex() {
		return
	}
	r.sendImmediately(id, &journalv1.Message{Type: journalv1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, Term: r.term})
}

func (r *Replica) tickTransfer() {
	if r.leaderState.transferTicksLeft == 0 {
		return
	}
	r.leaderState.transferTicksLeft--
	if r.leaderState.transferTicksLeft == 0 {
		r.leaderState.transferTarget = MemberID{}
		return
	}
	if peer, known := r.leaderState.peers[r.leaderState.transferTarget]; known && r.leaderState.transferTicksLeft%r.config.RetransmitTicks == 0 {
		r.completeTransferIfCaughtUp(r.leaderState.transferTarget, peer)
	}
}
