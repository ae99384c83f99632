package journal

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// leading is the state of a leader in its term.
type leading struct {
	// noop is the index of the empty entry that began the term.
	noop  uint64
	peers map[MemberID]*progress
	// uncommittedBytes is what was proposed and is not committed.
	uncommittedBytes int
	// transferTo is the voter that is to lead next, while transferIn > 0.
	transferTo MemberID
	transferIn int
	// silent counts ticks since a majority last answered, while work is
	// outstanding.
	silent int
	rounds confirmation
	// offered is the snapshot that is being sent.
	offered      *Snapshot
	offerPending bool
	// departing counts the notices left to members that were removed.
	departing map[MemberID]int
}

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

const (
	// departureNotices is how often a removed member is told.
	departureNotices = 5
	// maxRetransmitFactor bounds the backoff of retransmissions.
	maxRetransmitFactor = 64
)

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.Self
	r.doubt = doubt{}
	r.election = election{}
	r.incoming = incomingSnapshot{}
	r.leading = leading{
		noop: r.log.last() + 1, peers: map[MemberID]*progress{}, departing: map[MemberID]int{},
		rounds: confirmation{asked: r.round, confirmed: r.round},
	}
	for at := r.commit + 1; at <= r.log.last(); at++ {
		r.leading.uncommittedBytes += entryBytes(r.log.entry(at))
	}
	r.syncPeers()
	r.appendOwn(&journalv1.Entry{Type: journalv1.EntryType_ENTRY_TYPE_NOOP})
	r.advanceCommit()
	r.replicate()
}

// syncPeers keeps one progress for each other member in force, and notices
// which members departed.
func (r *Replica) syncPeers() {
	current := r.current()
	for _, member := range current.members {
		id := member.ID()
		_, known := r.leading.peers[id]
		if known || id == r.config.Self {
			continue
		}
		delete(r.leading.departing, id)
		r.leading.peers[id] = &progress{next: r.log.last() + 1, probing: true, delay: r.config.RetransmitTicks}
	}
	for id := range r.leading.peers {
		if _, member := current.find(id); !member {
			delete(r.leading.peers, id)
			r.leading.departing[id] = departureNotices
		}
	}
	r.releaseSnapshot()
}

func (r *Replica) appendOwn(entry *journalv1.Entry) {
	entry.Index = r.log.last() + 1
	entry.Term = r.term
	r.appendEntry(entry)
	r.leading.uncommittedBytes += entryBytes(entry)
}

// Propose appends data entries and returns the index of the first and their
// term. The error is *NotLeading, or *Full when too much is uncommitted.
func (r *Replica) Propose(data [][]byte) (first, term uint64, err error) {
	if r.role != Leader || r.leading.transferIn > 0 {
		return 0, 0, &NotLeading{Leader: r.leader}
	}
	if r.leading.uncommittedBytes > r.config.MaxUncommittedBytes {
		return 0, 0, &Full{Bytes: r.leading.uncommittedBytes}
	}
	first = r.log.last() + 1
	for _, item := range data {
		r.appendOwn(&journalv1.Entry{Data: item})
	}
	r.replicate()
	return first, r.term, nil
}

// replicate sends to each member what its window has room for.
func (r *Replica) replicate() {
	for _, id := range r.peerIDs() {
		r.sendAppends(id, r.leading.peers[id])
	}
}

// peerIDs returns the members with a progress in a fixed order.
func (r *Replica) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(r.leading.peers))
	for id := range r.leading.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b MemberID) int {
	switch {
	case a.Node < b.Node || a.Node == b.Node && a.Incarnation < b.Incarnation:
		return -1
	case a == b:
		return 0
	}
	return 1
}

func (r *Replica) sendAppends(id MemberID, peer *progress) {
	if peer.snapshot != 0 {
		return
	}
	for peer.next <= r.log.last() && r.windowOpen(peer) {
		if peer.next <= r.log.base {
			r.startSnapshot(id, peer)
			return
		}
		entries := r.log.between(peer.next-1, r.log.last(), r.config.MaxAppendBytes)
		r.sendAppend(id, peer, entries)
	}
}

func (r *Replica) windowOpen(peer *progress) bool {
	if peer.probing {
		return len(peer.flight) == 0
	}
	return peer.bytes < r.config.MaxInflightBytes
}

func (r *Replica) sendAppend(id MemberID, peer *progress, entries []*journalv1.Entry) {
	previous := peer.next - 1
	term, held := r.log.term(previous)
	if !held {
		r.startSnapshot(id, peer)
		return
	}
	size := 0
	for _, entry := range entries {
		size += entryBytes(entry)
	}
	r.sendEarly(id, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_APPEND, Term: r.term,
		Index: previous, LogTerm: term, Commit: r.commit, Entries: entries,
	})
	peer.next += uint64(len(entries))
	peer.flight = append(peer.flight, flight{last: peer.next - 1, bytes: size})
	peer.bytes += size
}

func (r *Replica) stepAppend(from MemberID, m *journalv1.Message) {
	answer := &journalv1.Message{Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term}
	if m.Index < r.commit && !r.broken.skipLogMatching {
		answer.Index, answer.Commit = r.commit, r.commit
		r.answerAppend(from, answer)
		return
	}
	term, held := r.log.term(m.Index)
	if (!held || term != m.LogTerm) && !r.broken.skipLogMatching {
		answer.Reject, answer.Index = true, m.Index
		answer.Hint = r.matchHint(m.Index, m.LogTerm)
		r.answerAppend(from, answer)
		return
	}
	last := r.storeEntries(m.Index, m.Entries)
	r.setCommit(min(m.Commit, last))
	answer.Index, answer.Commit = last, r.commit
	r.answerAppend(from, answer)
}

func (r *Replica) answerAppend(to MemberID, answer *journalv1.Message) {
	if r.broken.acknowledgeUnstored {
		r.sendEarly(to, answer)
		return
	}
	r.sendStored(to, answer)
}

// storeEntries appends what is new of entries that follow previous, and
// returns the last index that now matches the sender's log.
func (r *Replica) storeEntries(previous uint64, entries []*journalv1.Entry) uint64 {
	if r.broken.skipLogMatching {
		return r.storeUnmatched(entries)
	}
	for _, entry := range entries {
		term, held := r.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if entry.Index <= r.log.last() {
			r.truncate(entry.Index - 1)
		}
		r.appendEntry(entry)
	}
	return previous + uint64(len(entries))
}

// storeUnmatched is the deliberate breakage skipLogMatching.
func (r *Replica) storeUnmatched(entries []*journalv1.Entry) uint64 {
	for _, entry := range entries {
		if entry.Index == r.log.last()+1 {
			r.appendEntry(entry)
		}
	}
	return r.log.last()
}

// matchHint returns the last index at or before index at which the logs may
// match: the last whose term is not above the leader's.
func (r *Replica) matchHint(index, term uint64) uint64 {
	hint := min(index, r.log.last())
	for hint > r.log.base {
		if own, _ := r.log.term(hint); own <= term {
			break
		}
		hint--
	}
	return hint
}

func (r *Replica) stepAppendAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leading.peers[from]
	if r.role != Leader || !known {
		return
	}
	peer.heardFrom(r.config.RetransmitTicks)
	r.noteMajority()
	if m.Reject {
		r.appendRefused(from, peer, m)
		return
	}
	peer.acknowledge(m.Index, m.Commit)
	r.leaveSnapshot(peer)
	if m.Index >= peer.match {
		peer.probing = false
	}
	r.advanceCommit()
	r.continueTransfer(from, peer)
	r.sendAppends(from, peer)
}

func (r *Replica) appendRefused(from MemberID, peer *progress, m *journalv1.Message) {
	if m.Index <= peer.match || peer.snapshot != 0 {
		return
	}
	peer.next = max(peer.match, min(m.Hint, m.Index-1)) + 1
	peer.probing = true
	peer.flight, peer.bytes = nil, 0
	r.sendProbeAppend(from, peer)
}

// sendProbeAppend sends one append, possibly without entries.
func (r *Replica) sendProbeAppend(id MemberID, peer *progress) {
	if peer.next <= r.log.base {
		r.startSnapshot(id, peer)
		return
	}
	r.sendAppend(id, peer, r.log.between(peer.next-1, r.log.last(), r.config.MaxAppendBytes))
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
