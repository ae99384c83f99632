package journal

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// leaderState is the state of a leader in its term.
type leaderState struct {
	// firstIndex is the index of the first entry of the term, which the leader
	// appends when it is elected.
	firstIndex uint64
	peers      map[MemberID]*progress
	// uncommittedBytes is the size of the uncommitted entries.
	uncommittedBytes int
	// transferTarget is the voter that is to become leader, while
	// transferTicksLeft > 0.
	transferTarget    MemberID
	transferTicksLeft int
	// ticksWithoutMajority counts the ticks since a majority last answered,
	// while work is outstanding.
	ticksWithoutMajority int
	confirmation         confirmationRounds
	// offeredSnapshot is the snapshot that is being sent, or nil.
	offeredSnapshot *Snapshot
	// snapshotRequested is set between SnapshotNeeded and OfferSnapshot.
	snapshotRequested bool
	// removalNoticesLeft is the number of removal notices still to be sent to
	// each removed member.
	removalNoticesLeft map[MemberID]int
}

const (
	// removalNoticeCount is the number of removal notices sent to a removed
	// member.
	removalNoticeCount = 5
	// maxRetransmitFactor limits the retransmission backoff, in multiples of
	// RetransmitTicks.
	maxRetransmitFactor = 64
)

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.Self
	r.leaderProbe = leaderProbe{}
	r.election = election{}
	r.voteAnswers = voteAnswers{}
	r.incoming = incomingSnapshot{}
	r.leaderState = leaderState{
		firstIndex: r.log.lastIndex() + 1, peers: map[MemberID]*progress{}, removalNoticesLeft: map[MemberID]int{},
		confirmation: confirmationRounds{lastStarted: r.confirmationRound, lastConfirmed: r.confirmationRound},
	}
	for index := r.commitIndex + 1; index <= r.log.lastIndex(); index++ {
		r.leaderState.uncommittedBytes += entryBytes(r.log.entry(index))
	}
	r.syncPeers()
	r.appendAsLeader(r.newFirstEntry())
	r.advanceCommit()
	r.replicate()
}

// newFirstEntry returns the first entry of the term. It is empty unless the
// log holds no membership yet. In that case it repeats the initial membership,
// because replicas that were created by a message of the group do not know it.
func (r *Replica) newFirstEntry() *journalv1.Entry {
	if r.currentMembership().index > 0 {
		return &journalv1.Entry{Type: journalv1.EntryType_ENTRY_TYPE_NOOP}
	}
	members := encodeMembers(r.currentMembership().members)
	return &journalv1.Entry{
		Type:       journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP,
		Membership: &journalv1.Membership{Index: r.log.lastIndex() + 1, Term: r.term, Members: members},
	}
}

// syncPeers keeps one progress for each other member of the current
// membership, and schedules removal notices for members that were removed.
func (r *Replica) syncPeers() {
	current := r.currentMembership()
	for _, member := range current.members {
		id := member.ID()
		_, known := r.leaderState.peers[id]
		if known || id == r.config.Self {
			continue
		}
		delete(r.leaderState.removalNoticesLeft, id)
		r.leaderState.peers[id] = &progress{next: r.log.lastIndex() + 1, probing: true, retransmitDelayTicks: r.config.RetransmitTicks}
	}
	for id := range r.leaderState.peers {
		if _, member := current.find(id); !member {
			delete(r.leaderState.peers, id)
			r.leaderState.removalNoticesLeft[id] = removalNoticeCount
		}
	}
	r.dropUnusedSnapshot()
}

func (r *Replica) appendAsLeader(entry *journalv1.Entry) {
	entry.Index = r.log.lastIndex() + 1
	entry.Term = r.term
	r.appendEntry(entry)
	r.leaderState.uncommittedBytes += entryBytes(entry)
}

// Propose appends data entries and returns the index of the first entry and
// the term of all. The error is *NotLeader, or *UncommittedLimitReached.
func (r *Replica) Propose(data [][]byte) (first, term uint64, err error) {
	if r.role != Leader || r.leaderState.transferTicksLeft > 0 {
		return 0, 0, &NotLeader{Leader: r.leader}
	}
	if r.leaderState.uncommittedBytes > r.config.MaxUncommittedBytes {
		return 0, 0, &UncommittedLimitReached{Bytes: r.leaderState.uncommittedBytes}
	}
	first = r.log.lastIndex() + 1
	for _, item := range data {
		r.appendAsLeader(&journalv1.Entry{Data: item})
	}
	r.replicate()
	return first, r.term, nil
}

// replicate sends entries to each member as far as its window allows.
func (r *Replica) replicate() {
	for _, id := range r.peerIDs() {
		r.sendAppends(id, r.leaderState.peers[id])
	}
}

// peerIDs returns the members that have a progress, in a fixed order.
func (r *Replica) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(r.leaderState.peers))
	for id := range r.leaderState.peers {
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
	if peer.snapshotIndex != 0 {
		return
	}
	for peer.next <= r.log.lastIndex() && r.windowOpen(peer) {
		if peer.next <= r.log.baseIndex {
			r.startSnapshot(id, peer)
			return
		}
		entries := r.log.entriesBetween(peer.next-1, r.log.lastIndex(), r.config.MaxAppendBytes)
		r.sendAppend(id, peer, entries)
	}
}

func (r *Replica) windowOpen(peer *progress) bool {
	if peer.probing {
		return len(peer.inflight) == 0
	}
	return peer.inflightBytes < r.config.MaxInflightBytes
}

func (r *Replica) sendAppend(id MemberID, peer *progress, entries []*journalv1.Entry) {
	previous := peer.next - 1
	term, found := r.log.term(previous)
	if !found {
		r.startSnapshot(id, peer)
		return
	}
	size := 0
	for _, entry := range entries {
		size += entryBytes(entry)
	}
	r.sendImmediately(id, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_APPEND, Term: r.term,
		Index: previous, LogTerm: term, Commit: r.commitIndex, Entries: entries,
	})
	peer.next += uint64(len(entries))
	peer.inflight = append(peer.inflight, inflightAppend{lastIndex: peer.next - 1, bytes: size})
	peer.inflightBytes += size
}

func (r *Replica) stepAppendAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leaderState.peers[from]
	if r.role != Leader || !known {
		return
	}
	peer.recordAnswer(r.config.RetransmitTicks)
	r.updateMajorityTimer()
	if m.Reject {
		r.handleAppendRejected(from, peer, m)
		return
	}
	peer.acknowledge(m.Index, m.Commit)
	r.finishSnapshotIfStored(peer)
	if m.Index >= peer.match {
		peer.probing = false
	}
	r.advanceCommit()
	r.completeTransferIfCaughtUp(from, peer)
	r.sendAppends(from, peer)
}

func (r *Replica) handleAppendRejected(from MemberID, peer *progress, m *journalv1.Message) {
	if m.Index <= peer.match || peer.snapshotIndex != 0 {
		return
	}
	peer.next = max(peer.match, min(m.Hint, m.Index-1)) + 1
	peer.probing = true
	peer.inflight, peer.inflightBytes = nil, 0
	r.sendProbeAppend(from, peer)
}

// sendProbeAppend sends one append, possibly without entries.
func (r *Replica) sendProbeAppend(id MemberID, peer *progress) {
	if peer.next <= r.log.baseIndex {
		r.startSnapshot(id, peer)
		return
	}
	r.sendAppend(id, peer, r.log.entriesBetween(peer.next-1, r.log.lastIndex(), r.config.MaxAppendBytes))
}
