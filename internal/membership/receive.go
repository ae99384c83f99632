package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Receive handles a message.
func (s *State) Receive(now time.Time, m *gossipv1.Message) {
	s.now = now
	if s.removedSelf || m.From == string(s.options.Self.ID) {
		return
	}
	if s.receiveJoin(m) {
		return
	}
	s.receiveFacts(m)
	s.completeJoin(m)
	from, known := s.members[structs.NodeID(m.From)]
	if !known {
		s.askStranger(m)
		return
	}
	if s.turnAway(from, m) {
		return
	}
	if from.node.Zone != s.options.Self.Zone {
		s.heardElsewhere = s.now
	}
	s.signOfLife(from, m)
	s.receiveAccusations(from, m)
	s.receiveProbes(from, m)
	s.receiveSync(from, m)
	s.receiveDocument(from, m)
}

// turnAway tells a daemon that was removed so, and reports whether it was.
func (s *State) turnAway(from *member, m *gossipv1.Message) bool {
	if from.node.State != structs.NodeDead {
		return false
	}
	if uint64(from.node.Incarnation) >= m.Incarnation {
		held := s.facts.get(nodeKey(from.node.ID))
		s.send(from.node, &gossipv1.Message{Facts: []*gossipv1.Fact{held.message()}})
		return true
	}
	s.askStranger(m)
	return true
}

// send queues a message.
func (s *State) send(to structs.Node, m *gossipv1.Message) {
	m.From = string(s.options.Self.ID)
	m.Incarnation = uint64(s.options.Self.Incarnation)
	s.outgoing = append(s.outgoing, Outgoing{To: to, Message: m})
}

func (s *State) emit(event Event) { s.events = append(s.events, event) }
