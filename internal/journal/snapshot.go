package journal

import (
	"math"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// snapshotPending marks a member that waits for OfferSnapshot.
const snapshotPending = math.MaxUint64

// incomingSnapshot is what has arrived of a snapshot.
type incomingSnapshot struct {
	from  MemberID
	index uint64
	term  uint64
	data  []byte
}

// startSnapshot begins to send a snapshot to a member whose next entry is no
// longer in the log.
func (r *Replica) startSnapshot(id MemberID, peer *progress) {
	peer.flight, peer.bytes = nil, 0
	if r.leading.offered != nil && r.leading.offered.Index >= r.log.base {
		r.beginChunks(id, peer)
		return
	}
	peer.snapshot = snapshotPending
	if !r.leading.offerPending {
		r.leading.offerPending = true
		r.ready.SnapshotNeeded = true
	}
}

// OfferSnapshot gives the snapshot that Ready.SnapshotNeeded asked for. Its
// data must not be empty and must not change afterwards.
func (r *Replica) OfferSnapshot(snapshot Snapshot) {
	if r.role != Leader {
		return
	}
	r.leading.offerPending = false
	r.leading.offered = &snapshot
	for _, id := range r.peerIDs() {
		if peer := r.leading.peers[id]; peer.snapshot != 0 {
			r.beginChunks(id, peer)
		}
	}
}

func (r *Replica) beginChunks(id MemberID, peer *progress) {
	peer.snapshot = r.leading.offered.Index
	peer.offset, peer.sent, peer.retransmitted = 0, 0, false
	r.sendChunks(id, peer)
}

func (r *Replica) sendChunks(id MemberID, peer *progress) {
	offered := r.leading.offered
	if offered == nil || peer.snapshot != offered.Index {
		return
	}
	for peer.sent < len(offered.Data) && peer.sent-peer.offset < r.config.MaxInflightBytes {
		end := min(peer.sent+r.config.SnapshotChunkBytes, len(offered.Data))
		r.sendEarly(id, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT, Term: r.term,
			Index: offered.Index, LogTerm: offered.Term, Membership: offered.Membership,
			Offset: uint64(peer.sent), Size: uint64(len(offered.Data)), Data: offered.Data[peer.sent:end],
		})
		peer.sent = end
	}
}

func (r *Replica) stepSnapshotAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leading.peers[from]
	if r.role != Leader || !known {
		return
	}
	peer.heardFrom(r.config.RetransmitTicks)
	r.noteMajority()
	if peer.snapshot != m.Index || r.leading.offered == nil {
		return
	}
	peer.resume(int(m.Offset))
	r.sendChunks(from, peer)
}

// resume takes what the member holds of the snapshot. An answer after a
// retransmission counts even if it is less than before: the member may have
// restarted.
func (p *progress) resume(offset int) {
	if offset < p.offset && !p.retransmitted {
		return
	}
	if p.retransmitted {
		p.sent = offset
	}
	p.retransmitted = false
	p.offset = offset
	p.sent = max(p.sent, offset)
}

// leaveSnapshot goes on once the member holds the snapshot, with entries or,
// where the log was compacted meanwhile, with the next snapshot.
func (r *Replica) leaveSnapshot(peer *progress) {
	if peer.snapshot == 0 || peer.match < min(peer.snapshot, r.log.base) {
		return
	}
	r.abandonSnapshot(peer)
}

// abandonSnapshot stops sending a snapshot to the member, and forgets it when
// no other member wants it.
func (r *Replica) abandonSnapshot(peer *progress) {
	if peer.snapshot == 0 {
		return
	}
	peer.snapshot = 0
	peer.next = peer.match + 1
	peer.probing = true
	r.releaseSnapshot()
}

func (r *Replica) releaseSnapshot() {
	for _, other := range r.leading.peers {
		if other.snapshot != 0 {
			return
		}
	}
	r.leading.offered = nil
}

func (r *Replica) stepSnapshot(from MemberID, m *journalv1.Message) {
	held, known := r.log.term(m.Index)
	if m.Index <= r.commit || known && held == m.LogTerm {
		r.setCommit(m.Index)
		r.answerSnapshotDone(from)
		return
	}
	incoming := &r.incoming
	if incoming.from != from || incoming.index != m.Index || incoming.term != m.LogTerm {
		*incoming = incomingSnapshot{from: from, index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, m.Data...)
	}
	if uint64(len(incoming.data)) < m.Size {
		r.sendEarly(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER, Term: r.term,
			Index: m.Index, Offset: uint64(len(incoming.data)),
		})
		return
	}
	r.install(m)
	r.answerSnapshotDone(from)
}

func (r *Replica) answerSnapshotDone(to MemberID) {
	r.sendStored(to, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term, Index: r.commit, Commit: r.commit,
	})
}

// install replaces the whole log. What it drops conflicts with committed
// entries or is covered by the snapshot.
func (r *Replica) install(m *journalv1.Message) {
	r.ready.Snapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, Data: r.incoming.data}
	r.incoming = incomingSnapshot{}
	r.log.reset(m.Index, m.LogTerm)
	r.memberships = []membership{newMembership(m.Membership.GetIndex(), m.Membership)}
	r.commit, r.applied = m.Index, m.Index
	r.stored, r.handed = m.Index, m.Index
}
