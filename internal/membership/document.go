package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Document is one large versioned value that all daemons hold, such as the
// configuration. Daemons bring each other up to date by deltas; a daemon too
// far behind fetches the whole in chunks. Versions never go backwards.
type Document interface {
	// ActiveVersion is the version that the daemon acts on and vouches for; 0 is none.
	ActiveVersion() uint64
	// HeldVersion is the version that deltas can be applied to, vouched for or not.
	HeldVersion() uint64
	// Confirm puts the held version in force if it is the given one: a peer
	// vouches for it.
	Confirm(version uint64)
	// Deltas lead from the version after to the one in force; nil if the log
	// does not reach back so far.
	Deltas(after uint64) []*gossipv1.DocumentDelta
	// Apply applies a delta whose base is the held version and reports whether
	// a newer version is now in force.
	Apply(delta *gossipv1.DocumentDelta) bool
	// Snapshot returns a version and its encoding; deltas lead on from it.
	Snapshot() (version uint64, data []byte)
	// ApplySnapshot replaces the held version by a newer one and reports whether
	// a newer version is now in force.
	ApplySnapshot(version uint64, data []byte) bool
}

const (
	// documentChunkBytes bounds a chunk of a whole document.
	documentChunkBytes = 64 << 10
	// documentRequestTimeout is when an unanswered request is given up.
	documentRequestTimeout = time.Second
)

// pushedDeltaBytes is the size up to which deltas are pushed unasked.
const pushedDeltaBytes = 1 << 10

func deltaBytes(deltas []*gossipv1.DocumentDelta) int {
	total := 0
	for _, delta := range deltas {
		total += len(delta.Data)
	}
	return total
}

// documentFetch is the request that the daemon waits for.
type documentFetch struct {
	asked   time.Time
	from    structs.NodeID
	version uint64
	data    []byte
}

// receiveDocument handles the document's parts of a message.
func (s *State) receiveDocument(from *member, m *gossipv1.Message) {
	document := s.options.Document
	if document == nil {
		return
	}
	before := document.ActiveVersion()
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
	if document.ActiveVersion() > before {
		s.documentChanged(before, from.node.ID)
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
		s.fetch = nil
	}
}

// requestDocument asks a peer that is ahead for what is missing, one request
// at a time.
func (s *State) requestDocument(from *member) {
	if s.fetch != nil && s.now.Sub(s.fetch.asked) < documentRequestTimeout {
		return
	}
	s.fetch = &documentFetch{asked: s.now, from: from.node.ID}
	request := &gossipv1.DocumentRequest{After: s.options.Document.HeldVersion()}
	s.send(from.node, &gossipv1.Message{DocumentRequest: request})
}

func (s *State) answerDocumentRequest(from *member, request *gossipv1.DocumentRequest) {
	document := s.options.Document
	if document.ActiveVersion() == 0 {
		return
	}
	answer := &gossipv1.Message{DocumentVersion: document.ActiveVersion()}
	if !request.Whole && request.After < document.ActiveVersion() {
		answer.Deltas = document.Deltas(request.After)
	}
	if len(answer.Deltas) == 0 && request.After < document.ActiveVersion() {
		answer.DocumentChunk = s.chunk(request)
	}
	if len(answer.Deltas) > 0 || answer.DocumentChunk != nil {
		s.send(from.node, answer)
	}
}

// chunk cuts the wanted piece. Where the wanted version is gone it starts the
// present one from its beginning.
func (s *State) chunk(request *gossipv1.DocumentRequest) *gossipv1.DocumentChunk {
	version, data := s.options.Document.Snapshot()
	offset := request.Offset
	if request.Version != version || offset >= uint64(len(data)) {
		offset = 0
	}
	end := min(offset+documentChunkBytes, uint64(len(data)))
	return &gossipv1.DocumentChunk{Version: version, Offset: offset, Size: uint64(len(data)), Data: data[offset:end]}
}

func (s *State) receiveChunk(from *member, chunk *gossipv1.DocumentChunk) {
	if s.fetch == nil || s.fetch.from != from.node.ID || chunk.Version <= s.options.Document.HeldVersion() {
		return
	}
	if chunk.Offset == 0 {
		s.fetch.version, s.fetch.data = chunk.Version, nil
	}
	if chunk.Version != s.fetch.version || chunk.Offset != uint64(len(s.fetch.data)) {
		return
	}
	s.fetch.data = append(s.fetch.data, chunk.Data...)
	s.fetch.asked = s.now
	if uint64(len(s.fetch.data)) < chunk.Size {
		next := &gossipv1.DocumentRequest{Whole: true, Version: chunk.Version, Offset: uint64(len(s.fetch.data))}
		s.send(from.node, &gossipv1.Message{DocumentRequest: next})
		return
	}
	data := s.fetch.data
	s.fetch = nil
	s.options.Document.ApplySnapshot(chunk.Version, data)
}

// DocumentChanged tells that the document advanced by the daemon's own reading
// from the version before.
func (s *State) DocumentChanged(now time.Time, before uint64) {
	s.now = now
	s.documentChanged(before, "")
}

// documentChanged pushes the deltas since the version before to the neighbours,
// except to the one that they came from.
func (s *State) documentChanged(before uint64, source structs.NodeID) {
	s.emit(Event{Kind: DocumentActivated, Version: s.options.Document.ActiveVersion()})
	deltas := s.options.Document.Deltas(before)
	if deltaBytes(deltas) > pushedDeltaBytes {
		// Each neighbour asks one daemon for it, instead of getting it from all.
		deltas = nil
	}
	for _, neighbour := range s.topology().neighbours {
		if neighbour.node.ID == source {
			continue
		}
		s.send(neighbour.node, &gossipv1.Message{Deltas: deltas, DocumentVersion: s.options.Document.ActiveVersion()})
	}
}
