package journal

// progress is a leader's view of another member's log.
type progress struct {
	// match is the index of the last entry known to be stored by the member,
	// next that of the next entry to send.
	match, next uint64
	// knownCommit is the commit index that the member last acknowledged.
	knownCommit uint64
	// probing limits sending to one message at a time until the position at
	// which the logs match is found.
	probing       bool
	inflight      []inflightAppend
	inflightBytes int
	// waitedTicks counts the ticks since the last answer. retransmitDelayTicks
	// is the delay before the next retransmission. Both are used only while
	// something is outstanding.
	waitedTicks, retransmitDelayTicks int
	// answeredSinceMajority is reset when a majority has answered,
	// answeredSinceTick on every tick.
	answeredSinceMajority, answeredSinceTick bool
	// snapshotIndex is the index of the snapshot being sent, or 0.
	// snapshotAcknowledged and snapshotSent are the offsets up to which the
	// member acknowledged the snapshot and up to which it was sent. They are
	// valid only while snapshotIndex is not 0.
	snapshotIndex                      uint64
	snapshotAcknowledged, snapshotSent int
	// snapshotRetransmitted is set after chunks were sent again, until the
	// member answers.
	snapshotRetransmitted bool
	// notifiedCommit is the last commit index that was sent in an append
	// without new entries.
	notifiedCommit uint64
}

// inflightAppend is one append that was sent and not acknowledged.
type inflightAppend struct {
	lastIndex uint64
	bytes     int
}

func (p *progress) recordAnswer(delay int) {
	p.waitedTicks, p.retransmitDelayTicks, p.answeredSinceMajority, p.answeredSinceTick = 0, delay, true, true
}

func (p *progress) acknowledge(index, commit uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.knownCommit = max(p.knownCommit, commit)
	acknowledged := 0
	for acknowledged < len(p.inflight) && p.inflight[acknowledged].lastIndex <= index {
		p.inflightBytes -= p.inflight[acknowledged].bytes
		acknowledged++
	}
	p.inflight = p.inflight[acknowledged:]
}

// advanceCommit commits up to the highest entry stored by a majority, if that
// entry is of the current term.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := r.log.lastIndex()
	for index > r.commitIndex {
		if r.majorityAgrees(func(id MemberID) bool { return r.memberStoredIndex(id) >= index }) {
			break
		}
		index--
	}
	if index <= r.commitIndex {
		return
	}
	if term, _ := r.log.term(index); term != r.term && !r.injected.commitOlderTerms {
		return
	}
	for i := r.commitIndex + 1; i <= index; i++ {
		r.leaderState.uncommittedBytes -= entryBytes(r.log.entry(i))
	}
	r.leaderState.uncommittedBytes = max(r.leaderState.uncommittedBytes, 0)
	r.setCommit(index)
}

func (r *Replica) memberStoredIndex(id MemberID) uint64 {
	if id == r.config.Self {
		return r.storedIndex
	}
	if peer, known := r.leaderState.peers[id]; known {
		return peer.match
	}
	return 0
}

// updateMajorityTimer resets ticksWithoutMajority if a majority has answered
// since the last reset.
func (r *Replica) updateMajorityTimer() {
	answered := func(id MemberID) bool {
		if id == r.config.Self {
			return true
		}
		peer, known := r.leaderState.peers[id]
		return known && peer.answeredSinceMajority
	}
	if !r.currentMembership().hasMajority(answered) {
		return
	}
	r.leaderState.ticksWithoutMajority = 0
	for _, peer := range r.leaderState.peers {
		peer.answeredSinceMajority = false
	}
}
