package journal

import "slices"

// Tick advances time by one tick. It needs to be called only while NeedsTicks.
func (r *Replica) Tick() {
	switch r.role {
	case Leader:
		r.tickLeader()
	case Follower:
		r.tickLeaderProbe()
	default:
		r.tickCampaign()
	}
}

// NeedsTicks reports whether timeouts may be pending. An idle replica needs no
// ticks.
func (r *Replica) NeedsTicks() bool {
	switch r.role {
	case Leader:
		return r.leaderNeedsTicks()
	case Follower:
		return r.leaderProbe.active || r.election.yieldTicksLeft > 0
	default:
		return true
	}
}

func (r *Replica) leaderNeedsTicks() bool {
	if r.commitIndex < r.log.lastIndex() || r.confirmationPending() || r.leaderState.transferTicksLeft > 0 || len(r.leaderState.removalNoticesLeft) > 0 {
		return true
	}
	for id, peer := range r.leaderState.peers {
		if !r.suspected[id.WithoutAdmission()] && r.hasOutstanding(peer) {
			return true
		}
	}
	return r.reconcilePending()
}

func (r *Replica) confirmationPending() bool {
	return r.leaderState.confirmation.lastConfirmed < r.leaderState.confirmation.lastStarted
}

func (r *Replica) hasOutstanding(peer *progress) bool {
	return peer.match < r.log.lastIndex() || peer.knownCommit < r.commitIndex
}

func (r *Replica) tickLeader() {
	if r.tickQuorum(); r.role != Leader {
		return
	}
	r.tickTransfer()
	for _, id := range r.peerIDs() {
		peer := r.leaderState.peers[id]
		if r.suspected[id.WithoutAdmission()] || !r.hasOutstanding(peer) {
			peer.waitedTicks = 0
			continue
		}
		r.tickPeer(id, peer)
	}
	r.tickRemovalNotices()
	r.reconcile()
	r.probeBeforePromotion()
}

// probeBeforePromotion probes a learner that has caught up and the voters,
// because a learner that failed meanwhile must not become a voter, and none
// must become one beside a voter that failed and is not suspected yet.
func (r *Replica) probeBeforePromotion() {
	awaited := r.hasCaughtUpLearner()
	for _, member := range r.currentMembership().members {
		id := member.ID()
		peer, known := r.leaderState.peers[id]
		if !known {
			continue
		}
		needed := !member.Learner || r.isDesired(id) && r.caughtUp(id)
		if awaited && needed && !peer.answeredSinceTick && !r.suspected[id.WithoutAdmission()] {
			r.sendProbeAppend(id, peer)
		}
		peer.answeredSinceTick = false
	}
}

// hasCaughtUpLearner reports whether a desired learner has caught up.
func (r *Replica) hasCaughtUpLearner() bool {
	return slices.ContainsFunc(r.currentMembership().members, func(member Member) bool {
		return member.Learner && r.isDesired(member.ID()) && r.caughtUp(member.ID())
	})
}

// tickQuorum steps down if work waits for a majority that does not answer, so
// that the callers that wait are told.
func (r *Replica) tickQuorum() {
	if r.commitIndex == r.log.lastIndex() && !r.confirmationPending() {
		r.leaderState.ticksWithoutMajority = 0
		return
	}
	r.leaderState.ticksWithoutMajority++
	if r.confirmationPending() && r.leaderState.ticksWithoutMajority%r.config.RetransmitTicks == 0 {
		r.sendConfirms()
	}
	if r.leaderState.ticksWithoutMajority >= r.config.QuorumTicks {
		r.becomeFollower(r.term, MemberID{})
	}
}

func (r *Replica) tickPeer(id MemberID, peer *progress) {
	peer.waitedTicks++
	if peer.waitedTicks >= peer.retransmitDelayTicks {
		peer.waitedTicks = 0
		peer.retransmitDelayTicks = min(2*peer.retransmitDelayTicks, r.config.RetransmitTicks*maxRetransmitFactor)
		r.retransmit(id, peer)
		return
	}
	if peer.match == r.log.lastIndex() && peer.notifiedCommit < r.commitIndex {
		peer.notifiedCommit = r.commitIndex
		r.sendProbeAppend(id, peer)
	}
}

func (r *Replica) retransmit(id MemberID, peer *progress) {
	if peer.snapshotIndex != 0 {
		peer.snapshotSent, peer.snapshotRetransmitted = peer.snapshotAcknowledged, true
		r.sendChunks(id, peer)
		return
	}
	peer.next = peer.match + 1
	peer.probing = true
	peer.inflight, peer.inflightBytes = nil, 0
	r.sendProbeAppend(id, peer)
}

func (r *Replica) tickRemovalNotices() {
	if r.currentMembership().index > r.commitIndex {
		return
	}
	for id, remaining := range r.leaderState.removalNoticesLeft {
		if remaining == 0 || r.suspected[id.WithoutAdmission()] {
			delete(r.leaderState.removalNoticesLeft, id)
			continue
		}
		r.leaderState.removalNoticesLeft[id] = remaining - 1
		r.sendRemoved(id)
	}
}

// SetSuspected sets whether the failure detector suspects a member or an
// incarnation that may become one.
func (r *Replica) SetSuspected(id MemberID, suspected bool) {
	if !suspected {
		delete(r.suspected, id.WithoutAdmission())
	} else {
		r.suspected[id.WithoutAdmission()] = true
	}
	for peerID, peer := range r.leaderState.peers {
		switch {
		case peerID.WithoutAdmission() != id.WithoutAdmission():
		case suspected:
			r.stopSnapshot(peer)
		default:
			peer.retransmitDelayTicks = r.config.RetransmitTicks
			peer.waitedTicks = peer.retransmitDelayTicks
		}
	}
}
