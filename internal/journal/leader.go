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
	r.search = search{}
	r.incoming = incomingSnapshot{}
	r.leading = leading{
		noop: r.log.last() + 1, peers: map[MemberID]*progress{}, departing: map[MemberID]int{},
		rounds: confirmation{asked: r.round, confirmed: r.round},
	}
	for at := r.commit + 1; at <= r.log.last(); at++ {
		r.leading.uncommittedBytes += entryBytes(r.log.entry(at))
	}
	r.syncPeers()
	r.appendOwn(r.firstEntry())
	r.advanceCommit()
	r.replicate()
}

// firstEntry returns the entry that begins the term. It is empty, but where the
// log holds no membership yet it repeats the genesis, so that members that were
// begun by a message of the group's learn it.
func (r *Replica) firstEntry() *journalv1.Entry {
	if r.current().index > 0 {
		return &journalv1.Entry{Type: journalv1.EntryType_ENTRY_TYPE_NOOP}
	}
	members := encodeMembers(r.current().members)
	return &journalv1.Entry{
		Type:       journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Membership: &journalv1.Membership{Index: r.log.last() + 1, Term: r.term, Members: members},
	}
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
// term. The error is *NotLeader, or *Full when too much is uncommitted.
func (r *Replica) Propose(data [][]byte) (first, term uint64, err error) {
	if r.role != Leader || r.leading.transferIn > 0 {
		return 0, 0, &NotLeader{Leader: r.leader}
	}
	if r.leading.uncommittedBytes > r.config.MaxUncommittedBytes {
		return 0, 0, &UncommittedLimitReached{Bytes: r.leading.uncommittedBytes}
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
