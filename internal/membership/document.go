package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Document is a large versioned value that all daemons hold, such as the configuration.
// Daemons update each other by deltas; a daemon that is too far behind fetches a
// snapshot in chunks. Versions never decrease.
type Document interface {
	// ActiveVersion returns the version that the daemon uses and confirms to others; 0
	// means none.
	ActiveVersion() uint64
	// HeldVersion returns the version that deltas can be applied to, confirmed or not.
	HeldVersion() uint64
	// Confirm activates the held version if it is the given one, which a peer has
	// confirmed.
	Confirm(version uint64)
	// Deltas returns the deltas from the given version to the active one; nil if the
	// log does not reach back that far.
	Deltas(after uint64) []*gossipv1.DocumentDelta
	// Apply applies a delta whose base is the held version and reports whether a newer
	// version is now active.
	Apply(delta *gossipv1.DocumentDelta) bool
	// Snapshot returns a version and its encoding, to which later deltas can be
	// applied.
	Snapshot() (version uint64, data []byte)
	// ApplySnapshot replaces the held version by a newer one and reports whether a
	// newer version is now active.
	ApplySnapshot(version uint64, data []byte) bool
}

const (
	// documentChunkBytes is the maximum size of a chunk of a snapshot.
	documentChunkBytes = 64 << 10
	// documentRequestTimeout is the timeout of a request for the document.
	documentRequestTimeout = time.Second
)

// maxPushedDeltaBytes is the size up to which deltas are sent to neighbours without a
// request.
const maxPushedDeltaBytes = 1 << 10

func deltaBytes(deltas []*gossipv1.DocumentDelta) int {
	total := 0
	for _, delta := range deltas {
		total += len(delta.Data)
	}
	return total
}

// documentFetch is a pending request for the document.
type documentFetch struct {
	requestedAt time.Time
	from        structs.NodeID
	version     uint64
	data        []byte
}

// receiveDocument processes the document fields of a message.
func (s *State) receiveDocument(from *member, m *gossipv1.Message) {
	document := s.options.Document
	if document == nil {
		return
	}
	previousVersion := document.ActiveVersion()
	for _, delta := range m.Deltas {
		s.applyDelta(delta)
	}
	if m.DocumentChunk != nil {
		s.receiveChunk(from, m.DocumentChunk)
	}
	if m.DocumentRequest != nil {
		s.answerDocumentRequest(from, m.DocumentRequest)
	}
	if m.DocumentVersion > 0 && m.DocumentVersion == document.HeldVersion() {
		document.Confirm(m.DocumentVersion)
	}
	if document.ActiveVersion() > previousVersion {
		s.documentChanged(previousVersion, from.node.ID)
	}
	if m.DocumentVersion > document.HeldVersion() {
		s.requestDocument(from)
	}
}

func (s *State) applyDelta(delta *gossipv1.DocumentDelta) {
	document := s.options.Document
	if delta.Base != document.HeldVersion() || delta.Version <= delta.Base {
		return
	}
	if document.Apply(delta) {
		s.documentFetch = nil
	}
}

// requestDocument requests the missing versions from a peer that has a newer one. Only
// one request is pending at a time.
func (s *State) requestDocument(from *member) {
	if s.documentFetch != nil && s.now.Sub(s.documentFetch.requestedAt) < documentRequestTimeout {
		return
	}
	s.documentFetch = &documentFetch{requestedAt: s.now, from: from.node.ID}
	request := &gossipv1.DocumentRequest{After: s.options.Document.HeldVersion()}
	s.send(from.node, &gossipv1.Message{DocumentRequest: request})
}

func (s *State) answerDocumentRequest(from *member, request *gossipv1.DocumentRequest) {
	document := s.options.Document
	if document.ActiveVersion() == 0 {
		return
	}
	reply := &gossipv1.Message{DocumentVersion: document.ActiveVersion()}
	if !request.Whole && request.After < document.ActiveVersion() {
		reply.Deltas = document.Deltas(request.After)
	}
	if len(reply.Deltas) == 0 && request.After < document.ActiveVersion() {
		reply.DocumentChunk = s.snapshotChunk(request)
	}
	if len(reply.Deltas) > 0 || reply.DocumentChunk != nil {
		s.send(from.node, reply)
	}
}

// snapshotChunk returns the requested chunk. If the requested version is no longer
// available, it returns the first chunk of the current one.
func (s *State) snapshotChunk(request *gossipv1.DocumentRequest) *gossipv1.DocumentChunk {
	version, data := s.options.Document.Snapshot()
	offset := request.Offset
	if request.Version != version || offset >= uint64(len(data)) {
		offset = 0
	}
	end := min(offset+documentChunkBytes, uint64(len(data)))
	return &gossipv1.DocumentChunk{Version: version, Offset: offset, Size: uint64(len(data)), Data: data[offset:end]}
}

func (s *State) receiveChunk(from *member, chunk *gossipv1.DocumentChunk) {
	if s.documentFetch == nil || s.documentFetch.from != from.node.ID || chunk.Version <= s.options.Document.HeldVersion() {
		return
	}
	if chunk.Offset == 0 {
		s.documentFetch.version, s.documentFetch.data = chunk.Version, nil
	}
	if chunk.Version != s.documentFetch.version || chunk.Offset != uint64(len(s.documentFetch.data)) {
		return
	}
	s.documentFetch.data = append(s.documentFetch.data, chunk.Data...)
	s.documentFetch.requestedAt = s.now
	if uint64(len(s.documentFetch.data)) < chunk.Size {
		next := &gossipv1.DocumentRequest{Whole: true, Version: chunk.Version, Offset: uint64(len(s.documentFetch.data))}
		s.send(from.node, &gossipv1.Message{DocumentRequest: next})
		return
	}
	data := s.documentFetch.data
	s.documentFetch = nil
	s.options.Document.ApplySnapshot(chunk.Version, data)
}

// DocumentChanged reports that the daemon itself advanced the document from
// previousVersion, without a message from a peer.
func (s *State) DocumentChanged(now time.Time, previousVersion uint64) {
	s.now = now
	s.documentChanged(previousVersion, "")
}

// documentChanged sends the deltas since previousVersion to the neighbours, except to
// the one that they came from.
func (s *State) documentChanged(previousVersion uint64, sender structs.NodeID) {
	s.emit(Event{Kind: DocumentActivated, Version: s.options.Document.ActiveVersion()})
	deltas := s.options.Document.Deltas(previousVersion)
	if deltaBytes(deltas) > maxPushedDeltaBytes {
		// Each neighbour then requests large deltas from one daemon instead of
		// receiving them from all.
		deltas = nil
	}
	for _, neighbour := range s.topology().neighbours {
		if neighbour.node.ID == sender {
			continue
		}
		s.send(neighbour.node, &gossipv1.Message{Deltas: deltas, DocumentVersion: s.options.Document.ActiveVersion()})
	}
}
