package journal

import (
	"math"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// snapshotPending is the snapshotIndex of a member that waits for
// OfferSnapshot.
const snapshotPending = math.MaxUint64

// incomingSnapshot holds the chunks of a snapshot received so far.
type incomingSnapshot struct {
	from  MemberID
	index uint64
	term  uint64
	data  []byte
}

// startSnapshot starts sending a snapshot to a member whose next entry is no
// longer in the log.
func (r *Replica) startSnapshot(id MemberID, peer *progress) {
	peer.inflight, peer.inflightBytes = nil, 0
	if r.leaderState.offeredSnapshot != nil && r.leaderState.offeredSnapshot.Index >= r.log.baseIndex {
		r.beginChunks(id, peer)
		return
	}
	peer.snapshotIndex = snapshotPending
	if !r.leaderState.snapshotRequested {
		r.leaderState.snapshotRequested = true
		r.ready.SnapshotNeeded = true
	}
}

// OfferSnapshot provides the snapshot requested by Ready.SnapshotNeeded. Its
// data must not be empty and must not change afterwards.
func (r *Replica) OfferSnapshot(snapshot Snapshot) {
	if r.role != Leader {
		return
	}
	r.leaderState.snapshotRequested = false
	r.leaderState.offeredSnapshot = &snapshot
	for _, id := range r.peerIDs() {
		if peer := r.leaderState.peers[id]; peer.snapshotIndex != 0 {
			r.beginChunks(id, peer)
		}
	}
}

func (r *Replica) beginChunks(id MemberID, peer *progress) {
	peer.snapshotIndex = r.leaderState.offeredSnapshot.Index
	peer.snapshotAcknowledged, peer.snapshotSent, peer.snapshotRetransmitted = 0, 0, false
	r.sendChunks(id, peer)
}

func (r *Replica) sendChunks(id MemberID, peer *progress) {
	offered := r.leaderState.offeredSnapshot
	if offered == nil || peer.snapshotIndex != offered.Index {
		return
	}
	for peer.snapshotSent < len(offered.Data) && peer.snapshotSent-peer.snapshotAcknowledged < r.config.MaxInflightBytes {
		end := min(peer.snapshotSent+r.config.SnapshotChunkBytes, len(offered.Data))
		r.sendImmediately(id, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT, Term: r.term,
			Index: offered.Index, LogTerm: offered.Term, Membership: offered.Membership,
			Offset: uint64(peer.snapshotSent), Size: uint64(len(offered.Data)), Data: offered.Data[peer.snapshotSent:end],
		})
		peer.snapshotSent = end
	}
}

func (r *Replica) stepSnapshotAnswer(from MemberID, m *journalv1.Message) {
	peer, known := r.leaderState.peers[from]
	if r.role != Leader || !known {
		return
	}
	peer.recordAnswer(r.config.RetransmitTicks)
	r.updateMajorityTimer()
	if peer.snapshotIndex != m.Index || r.leaderState.offeredSnapshot == nil {
		return
	}
	peer.resumeSnapshot(int(m.Offset))
	r.sendChunks(from, peer)
}

// resumeSnapshot continues from the offset that the member acknowledged. After
// a retransmission the offset may be lower than before, because the member may
// have restarted.
func (p *progress) resumeSnapshot(offset int) {
	if offset < p.snapshotAcknowledged && !p.snapshotRetransmitted {
		return
	}
	if p.snapshotRetransmitted {
		p.snapshotSent = offset
	}
	p.snapshotRetransmitted = false
	p.snapshotAcknowledged = offset
	p.snapshotSent = max(p.snapshotSent, offset)
}

// finishSnapshotIfStored continues when the member has stored the snapshot,
// with entries or, if the log was compacted meanwhile, with the next snapshot.
func (r *Replica) finishSnapshotIfStored(peer *progress) {
	if peer.snapshotIndex == 0 || peer.match < min(peer.snapshotIndex, r.log.baseIndex) {
		return
	}
	r.stopSnapshot(peer)
}

// stopSnapshot stops sending a snapshot to the member, and drops the snapshot
// if no other member needs it.
func (r *Replica) stopSnapshot(peer *progress) {
	if peer.snapshotIndex == 0 {
		return
	}
	peer.snapshotIndex = 0
	peer.next = peer.match + 1
	peer.probing = true
	r.dropUnusedSnapshot()
}

func (r *Replica) dropUnusedSnapshot() {
	for _, other := range r.leaderState.peers {
		if other.snapshotIndex != 0 {
			return
		}
	}
	r.leaderState.offeredSnapshot = nil
}

func (r *Replica) stepSnapshot(from MemberID, m *journalv1.Message) {
	ownTerm, found := r.log.term(m.Index)
	if m.Index <= r.commitIndex || found && ownTerm == m.LogTerm {
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
		r.sendImmediately(from, &journalv1.Message{
			Type: journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT_ANSWER, Term: r.term,
			Index: m.Index, Offset: uint64(len(incoming.data)),
		})
		return
	}
	r.installSnapshot(m)
	r.answerSnapshotDone(from)
}

func (r *Replica) answerSnapshotDone(to MemberID) {
	r.sendAfterStore(to, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term, Index: r.commitIndex, Commit: r.commitIndex,
	})
}

// installSnapshot replaces the whole log. The dropped entries are covered by
// the snapshot or conflict with committed entries.
func (r *Replica) installSnapshot(m *journalv1.Message) {
	r.ready.Snapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, Data: r.incoming.data}
	r.incoming = incomingSnapshot{}
	r.log.reset(m.Index, m.LogTerm)
	r.memberships = []membership{newMembership(m.Membership.GetIndex(), m.Membership)}
	r.commitIndex, r.appliedIndex = m.Index, m.Index
	r.storedIndex, r.handedOutIndex = m.Index, m.Index
}
