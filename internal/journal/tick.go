package journal

// Tick lets one unit of time pass. It needs to be called only while Active.
func (r *Replica) Tick() {
	switch r.role {
	case Leader:
		r.tickLeader()
	case Follower:
		r.tickDoubt()
	default:
		r.tickElection()
	}
}

// NeedsTicks reports whether something is outstanding, so that time matters. An
// idle replica is not active.
func (r *Replica) NeedsTicks() bool {
	switch r.role {
	case Leader:
		return r.leaderActive()
	case Follower:
		return r.doubt.probing || r.election.patience > 0
	default:
		return true
	}
}

func (r *Replica) leaderActive() bool {
	if r.commit < r.log.last() || r.roundOpen() || r.leading.transferIn > 0 || len(r.leading.departing) > 0 {
		return true
	}
	for id, peer := range r.leading.peers {
		if !r.suspected[id.WithoutAdmission()] && r.outstanding(peer) {
			return true
		}
	}
	return r.reconcileOutstanding()
}

func (r *Replica) roundOpen() bool {
	return r.leading.rounds.confirmed < r.leading.rounds.asked
}

func (r *Replica) outstanding(peer *progress) bool {
	return peer.match < r.log.last() || peer.known < r.commit
}

func (r *Replica) tickLeader() {
	if r.tickQuorum(); r.role != Leader {
		return
	}
	r.tickTransfer()
	for _, id := range r.peerIDs() {
		peer := r.leading.peers[id]
		if r.suspected[id.WithoutAdmission()] || !r.outstanding(peer) {
			peer.waited = 0
			continue
		}
		r.tickPeer(id, peer)
	}
	r.tickDeparting()
	r.reconcile()
	r.probeLearners()
}

// probeLearners asks learners that have caught up for a sign of life: one that
// died meanwhile must not become a voter.
func (r *Replica) probeLearners() {
	for _, member := range r.current().members {
		peer, known := r.leading.peers[member.ID()]
		if !known {
			continue
		}
		if member.Learner && r.isWanted(member.ID()) && r.caughtUp(member.ID()) && !peer.fresh {
			r.sendProbeAppend(member.ID(), peer)
		}
		peer.fresh = false
	}
}

// tickQuorum gives leadership up when work waits for a majority that does not
// answer, so that those who wait are told.
func (r *Replica) tickQuorum() {
	if r.commit == r.log.last() && !r.roundOpen() {
		r.leading.silent = 0
		return
	}
	r.leading.silent++
	if r.roundOpen() && r.leading.silent%r.config.RetransmitTicks == 0 {
		r.sendConfirms()
	}
	if r.leading.silent >= r.config.QuorumTicks {
		r.becomeFollower(r.term, MemberID{})
	}
}

func (r *Replica) tickPeer(id MemberID, peer *progress) {
	peer.waited++
	if peer.waited >= peer.delay {
		peer.waited = 0
		peer.delay = min(2*peer.delay, r.config.RetransmitTicks*maxRetransmitFactor)
		r.retransmit(id, peer)
		return
	}
	if peer.match == r.log.last() && peer.noticed < r.commit {
		peer.noticed = r.commit
		r.sendProbeAppend(id, peer)
	}
}

func (r *Replica) retransmit(id MemberID, peer *progress) {
	if peer.snapshot != 0 {
		peer.sent, peer.retransmitted = peer.offset, true
		r.sendChunks(id, peer)
		return
	}
	peer.next = peer.match + 1
	peer.probing = true
	peer.flight, peer.bytes = nil, 0
	r.sendProbeAppend(id, peer)
}

func (r *Replica) tickDeparting() {
	if r.current().index > r.commit {
		return
	}
	for id, left := range r.leading.departing {
		if left == 0 || r.suspected[id.WithoutAdmission()] {
			delete(r.leading.departing, id)
			continue
		}
		r.leading.departing[id] = left - 1
		r.sendRemoved(id)
	}
}

// SetSuspected tells the replica what the failure detector holds of a member,
// or of a life that may become one.
func (r *Replica) SetSuspected(id MemberID, suspected bool) {
	if !suspected {
		delete(r.suspected, id.WithoutAdmission())
	} else {
		r.suspected[id.WithoutAdmission()] = true
	}
	for peerID, peer := range r.leading.peers {
		switch {
		case peerID.WithoutAdmission() != id.WithoutAdmission():
		case suspected:
			r.abandonSnapshot(peer)
		default:
			peer.delay = r.config.RetransmitTicks
			peer.waited = peer.delay
		}
	}
}
