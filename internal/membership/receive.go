package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Receive processes a message.
func (s *State) Receive(now time.Time, m *gossipv1.Message) {
	s.now = now
	if s.selfRemoved || m.From == string(s.options.Self.ID) {
		return
	}
	if s.receiveJoin(m) {
		return
	}
	s.receiveFacts(m)
	s.completeJoin(m)
	from, known := s.members[structs.NodeID(m.From)]
	if !known {
		s.greetUnknownSender(m)
		return
	}
	if s.rejectRemoved(from, m) {
		return
	}
	if from.node.Zone != s.options.Self.Zone {
		s.lastOtherZoneMessage = s.now
	}
	s.recordMessage(from, m)
	s.receiveAccusations(from, m)
	s.receiveProbes(from, m)
	s.receiveSync(from, m)
	s.receiveDocument(from, m)
}

// rejectRemoved handles a message from a removed daemon and reports whether the sender
// is one. The sender is told of its removal, unless it has a newer incarnation.
func (s *State) rejectRemoved(from *member, m *gossipv1.Message) bool {
	if from.node.State != structs.NodeDead {
		return false
	}
	if uint64(from.node.Incarnation) >= m.Incarnation {
		tombstone := s.facts.get(nodeKey(from.node.ID))
		s.send(from.node, &gossipv1.Message{Facts: []*gossipv1.Fact{tombstone.proto()}})
		return true
	}
	s.greetUnknownSender(m)
	return true
}

// send queues a message.
func (s *State) send(to structs.Node, m *gossipv1.Message) {
	m.From = string(s.options.Self.ID)
	m.Incarnation = uint64(s.options.Self.Incarnation)
	s.outgoing = append(s.outgoing, Outgoing{To: to, Message: m})
}

func (s *State) emit(event Event) { s.events = append(s.events, event) }
