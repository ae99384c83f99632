package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// transferTickFactor bounds a transfer, in multiples of ElectionTicks.
const transferTickFactor = 4

// TransferLeadership asks a voter to lead next. Proposals are refused until
// the transfer succeeded or its time is over. It reports whether one began.
func (r *Replica) TransferLeadership(to MemberID) bool {
	peer, known := r.leading.peers[to]
	if r.role != Leader || !known || !r.current().isVoter(to) || r.leading.transferIn > 0 {
		return false
	}
	r.leading.transferTo = to
	r.leading.transferIn = transferTickFactor * r.config.ElectionTicks
	r.continueTransfer(to, peer)
	return true
}

// TransferTarget returns the reachable voter whose log is the longest.
func (r *Replica) TransferTarget() (MemberID, bool) {
	best, found := MemberID{}, false
	for _, id := range r.peerIDs() {
		if r.suspected[id.WithoutAdmission()] || !r.current().isVoter(id) {
			continue
		}
		if !found || r.leading.peers[id].match > r.leading.peers[best].match {
			best, found = id, true
		}
	}
	return best, found
}

// continueTransfer tells the next leader to campaign once it holds the whole log.
func (r *Replica) continueTransfer(id MemberID, peer *progress) {
	if r.leading.transferIn == 0 || r.leading.transferTo != id || peer.match < r.log.last() {
		return
	}
	r.sendEarly(id, &journalv1.Message{Type: journalv1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, Term: r.term})
}

func (r *Replica) tickTransfer() {
	if r.leading.transferIn == 0 {
		return
	}
	r.leading.transferIn--
	if r.leading.transferIn == 0 {
		r.leading.transferTo = MemberID{}
		return
	}
	if peer, known := r.leading.peers[r.leading.transferTo]; known && r.leading.transferIn%r.config.RetransmitTicks == 0 {
		r.continueTransfer(r.leading.transferTo, peer)
	}
}
