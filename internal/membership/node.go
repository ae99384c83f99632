package membership

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Prefixes of fact keys for node facts, link reports and published items.
const (
	nodePrefix = "n/"
	linkPrefix = "l/"
	itemPrefix = "i/"
)

// The minor version of a node fact consists of the revision and, in the lowest bit, the
// state. A removal has the greatest minor version, so that only a newer incarnation
// replaces it.
const (
	stateBits    = 1
	stateAlive   = 0
	stateLeaving = 1
	removedMinor = math.MaxUint64
)

// requiredWitnesses is the number of daemons that must accuse a daemon before it is
// removed.
const requiredWitnesses = 2

func nodeKey(id structs.NodeID) string { return nodePrefix + string(id) }

// publishSelf publishes the fact about this daemon at its current revision.
func (s *State) publishSelf() {
	self := s.options.Self
	m, exists := s.members[self.ID]
	var revision uint64
	if exists {
		revision = m.revision
	}
	state := uint64(stateAlive)
	if s.leaving {
		state = stateLeaving
	}
	s.learnFact(&gossipv1.Fact{
		Key:   nodeKey(self.ID),
		Major: uint64(self.Incarnation),
		Minor: revision<<stateBits | state,
		Value: encodeNode(self, nil),
	}, "")
}

// InitialNodeFact returns the first fact about the next incarnation of a daemon.
func InitialNodeFact(node structs.Node) *gossipv1.Fact {
	return &gossipv1.Fact{
		Key:   nodeKey(node.ID),
		Major: uint64(node.Incarnation) + 1,
		Value: encodeNode(node, nil),
	}
}

func encodeNode(node structs.Node, witnesses []string) []byte {
	value, err := proto.Marshal(&gossipv1.NodeFact{
		Region:        node.Region,
		Zone:          string(node.Zone),
		PeerAddress:   node.PeerAddress,
		CallerAddress: node.CallerAddress,
		HasDisk:       node.HasDisk,
		Witnesses:     witnesses,
		Memory:        uint64(node.Memory),
	})
	if err != nil {
		// Only a string that is not UTF-8 fails to encode; other daemons ignore such a
		// node.
		return nil
	}
	return value
}

// acceptNodeFact validates and applies a fact about a node, and reports whether the
// fact may be stored.
func (s *State) acceptNodeFact(f *fact) bool {
	var value gossipv1.NodeFact
	if err := proto.Unmarshal(f.value, &value); err != nil {
		return false
	}
	id := structs.NodeID(f.key[len(nodePrefix):])
	isRemoval := f.minor == removedMinor
	if isRemoval && !isValidRemoval(id, value.Witnesses) {
		return false
	}
	if id == s.options.Self.ID && !s.acceptSelfFact(f, isRemoval) {
		return false
	}
	m, exists := s.members[id]
	if !exists && isRemoval && id != s.options.Self.ID {
		// The tombstone of an unknown daemon is not needed.
		return false
	}
	if !exists {
		m = &member{}
		s.members[id] = m
	}
	s.updateMember(m, id, f, &value)
	return true
}

// isValidRemoval reports whether a removal has enough witnesses: two others, or the
// daemon itself if it left voluntarily.
func isValidRemoval(id structs.NodeID, witnesses []string) bool {
	distinctWitnesses := map[string]bool{}
	for _, witness := range witnesses {
		if witness == string(id) {
			return true
		}
		distinctWitnesses[witness] = true
	}
	return len(distinctWitnesses) >= requiredWitnesses
}

// acceptSelfFact applies a fact about this daemon that another daemon sent, and reports
// whether the fact may be stored.
func (s *State) acceptSelfFact(f *fact, isRemoval bool) bool {
	self := s.options.Self
	if f.major < uint64(self.Incarnation) {
		return false
	}
	m, exists := s.members[self.ID]
	if !exists || !isRemoval && f.major == uint64(self.Incarnation) {
		return true
	}
	if isRemoval && !s.leaving {
		s.selfRemoved = true
		s.emit(Event{Kind: SelfRemoved, Node: m.node, Version: f.major})
	}
	return isRemoval
}

// Rejoin adds a removed daemon again under a higher incarnation. It must be called only
// after the daemon has given up the leaderships of its previous incarnation.
func (s *State) Rejoin(now time.Time, incarnation structs.Incarnation) {
	s.now = now
	self := s.members[s.options.Self.ID]
	if incarnation <= self.node.Incarnation {
		incarnation = self.node.Incarnation + 1
	}
	s.options.Self.Incarnation = incarnation
	s.selfRemoved = false
	self.revision = 0
	s.announcedAt = now
	s.resetFailureDetection()
	s.publishSelf()
	s.nextHeartbeat = now
	s.nextJoin = now
}

// resetFailureDetection removes the accusations of the previous incarnation, which may
// have been disconnected itself.
func (s *State) resetFailureDetection() {
	accused := sortedKeys(s.accusations)
	s.accusations = map[structs.NodeID]*accusation{}
	s.watches = map[structs.NodeID]*watch{}
	s.links = map[structs.NodeID]*link{}
	s.cachedTopology = nil
	for _, id := range accused {
		s.reportNode(s.members[id], false)
	}
}

func (s *State) updateMember(m *member, id structs.NodeID, f *fact, value *gossipv1.NodeFact) {
	previous := m.node
	m.node = structs.Node{
		ID:            id,
		Incarnation:   structs.Incarnation(f.major),
		Region:        s.intern(value.Region),
		Zone:          structs.ZoneName(s.intern(value.Zone)),
		PeerAddress:   value.PeerAddress,
		CallerAddress: value.CallerAddress,
		HasDisk:       value.HasDisk,
		Memory:        structs.Incarnation(value.Memory),
		State:         structs.NodeAlive,
	}
	switch {
	case f.minor == removedMinor:
		m.node.State = structs.NodeDead
		m.removedAt = s.now
		m.leftVoluntarily = slices.Contains(value.Witnesses, string(id))
		f.tombstone = true
		m.revision = 0
	case f.minor&1 == stateLeaving:
		m.node.State = structs.NodeLeaving
		m.revision = f.minor >> stateBits
	default:
		m.revision = f.minor >> stateBits
	}
	if m.ringPositions[0] == 0 {
		for ring := range m.ringPositions {
			m.ringPositions[ring] = ringPosition(string(id), ring)
		}
	}
	s.updateZoneIndex(m, previous)
	s.dropStaleAccusation(m)
	changed := previous != m.node
	s.reportNode(m, changed)
}

// updateZoneIndex updates the members by zone after an admission, a removal or a change
// of zone.
func (s *State) updateZoneIndex(m *member, previous structs.Node) {
	wasMember := previous.ID != "" && previous.State != structs.NodeDead
	isMember := m.node.State != structs.NodeDead
	if wasMember == isMember && previous.Zone == m.node.Zone {
		return
	}
	if wasMember {
		s.removeFromZone(m, previous.Zone)
	}
	if isMember {
		s.addToZone(m)
	}
}

// intern returns a shared copy of the name, to save memory.
func (s *State) intern(name string) string {
	if name == string(s.options.Self.Zone) {
		return string(s.options.Self.Zone)
	}
	if name == s.options.Self.Region {
		return s.options.Self.Region
	}
	if interned, exists := s.internedNames[name]; exists {
		return interned
	}
	s.internedNames[name] = name
	return name
}

// observedNode returns a member with the state that this daemon observes.
func (s *State) observedNode(m *member) structs.Node {
	node := m.node
	if node.State == structs.NodeAlive && (s.isAccused(m) || s.unreachableZones[node.Zone]) {
		node.State = structs.NodeSuspect
	}
	return node
}

// reportNode emits an event if the observed state of a member changed or force is set.
func (s *State) reportNode(m *member, force bool) {
	node := s.observedNode(m)
	if !force && node.State == m.reportedState {
		return
	}
	m.reportedState = node.State
	s.emit(Event{Kind: NodeChanged, Node: node})
}

// Leave announces that the daemon is leaving: it remains a member, but accepts no new
// work.
func (s *State) Leave(now time.Time) {
	s.now = now
	s.leaving = true
	s.options.Self.State = structs.NodeLeaving
	s.publishSelf()
	s.flush()
}

// RemoveSelf removes the daemon from the members; it must not send messages afterwards.
func (s *State) RemoveSelf(now time.Time) {
	s.now = now
	self := s.options.Self
	s.learnFact(&gossipv1.Fact{
		Key:   nodeKey(self.ID),
		Major: uint64(self.Incarnation),
		Minor: removedMinor,
		Value: encodeNode(self, []string{string(self.ID)}),
	}, "")
	s.flush()
	s.selfRemoved = true
}

// cleanupInterval is the interval at which expired tombstones and pings are removed.
const cleanupInterval = time.Minute

func (s *State) cleanUp() {
	s.nextCleanup = s.now.Add(cleanupInterval)
	for id, m := range s.members {
		if m.node.State == structs.NodeDead && s.now.Sub(m.removedAt) > s.timing.TombstoneLifetime {
			if stored := s.facts.get(nodeKey(id)); stored != nil {
				s.facts.removeTombstone(stored)
			}
			delete(s.members, id)
			s.emit(Event{Kind: NodeExpired, Node: m.node})
		}
	}
	for nonce, p := range s.pendingPings {
		if s.now.Sub(p.sent) > s.timing.TombstoneLifetime {
			delete(s.pendingPings, nonce)
		}
	}
}
