package journal

// progress is what a leader knows of one member's log.
type progress struct {
	// match is the last entry known to be stored there; next the one to send.
	match, next uint64
	// known is the commit index that the member last acknowledged.
	known uint64
	// probing sends one message at a time until the member's log is found.
	probing bool
	flight  []flight
	bytes   int
	// waited counts ticks since the last answer; delay is the wait before
	// the next retransmission. Both only count while something is outstanding.
	waited, delay int
	// heard is reset when a majority was heard, fresh with every tick.
	heard, fresh bool
	// offset is the position in the snapshot being sent; sent the end of what
	// was sent of it. Meaningful while snapshot is not 0.
	snapshot      uint64
	offset, sent  int
	retransmitted bool
	// noticed is the last commit index that was sent without entries.
	noticed uint64
}

// flight is one append that was sent and not acknowledged.
type flight struct {
	last  uint64
	bytes int
}

func (p *progress) heardFrom(delay int) {
	p.waited, p.delay, p.heard, p.fresh = 0, delay, true, true
}

func (p *progress) acknowledge(index, commit uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.known = max(p.known, commit)
	done := 0
	for done < len(p.flight) && p.flight[done].last <= index {
		p.bytes -= p.flight[done].bytes
		done++
	}
	p.flight = p.flight[done:]
}

// advanceCommit commits the highest entry of the own term that a majority
// stored.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := r.log.last()
	for index > r.commit {
		if r.majority(func(id MemberID) bool { return r.storedAt(id) >= index }) {
			break
		}
		index--
	}
	if index <= r.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.term && !r.broken.countOlderTerms {
		return
	}
	for at := r.commit + 1; at <= index; at++ {
		r.leading.uncommittedBytes -= entryBytes(r.log.entry(at))
	}
	r.leading.uncommittedBytes = max(r.leading.uncommittedBytes, 0)
	r.setCommit(index)
}

func (r *Replica) storedAt(id MemberID) uint64 {
	if id == r.config.Self {
		return r.stored
	}
	if peer, known := r.leading.peers[id]; known {
		return peer.match
	}
	return 0
}

// noteMajority resets the count of silent ticks when a majority was heard.
func (r *Replica) noteMajority() {
	heard := func(id MemberID) bool {
		if id == r.config.Self {
			return true
		}
		peer, known := r.leading.peers[id]
		return known && peer.heard
	}
	if !r.current().reached(heard) {
		return
	}
	r.leading.silent = 0
	for _, peer := range r.leading.peers {
		peer.heard = false
	}
}
