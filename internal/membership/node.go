package membership

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Keys of facts: node facts, link reports and published items have a prefix each.
const (
	nodePrefix = "n/"
	linkPrefix = "l/"
	itemPrefix = "i/"
)

// A node fact's minor version holds the revision and, below it, the rank of the
// state. That of a removal is the greatest: only a new life replaces it.
const (
	rankBits     = 1
	rankAlive    = 0
	rankLeaving  = 1
	minorRemoved = math.MaxUint64
)

// requiredWitnesses is the number of daemons that must bear witness to a death.
const requiredWitnesses = 2

func nodeKey(id structs.NodeID) string { return nodePrefix + string(id) }

// publishSelf makes the fact about this daemon of its present revision.
func (s *State) publishSelf() {
	self := s.options.Self
	own, known := s.members[self.ID]
	var revision uint64
	if known {
		revision = own.revision
	}
	rank := uint64(rankAlive)
	if s.leaving {
		rank = rankLeaving
	}
	s.learn(&gossipv1.Fact{
		Key:   nodeKey(self.ID),
		Major: uint64(self.Incarnation),
		Minor: revision<<rankBits | rank,
		Value: encodeNode(self, nil),
	}, "")
}

// InitialNodeFact is the fact by which a daemon of the next incarnation presents itself.
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
		// Only a string that is not UTF-8 fails; such a node stays unknown.
		return nil
	}
	return value
}

// acceptNode checks a fact about a node and takes it over. It reports whether
// the fact may be stored.
func (s *State) acceptNode(f *fact) bool {
	var value gossipv1.NodeFact
	if err := proto.Unmarshal(f.value, &value); err != nil {
		return false
	}
	id := structs.NodeID(f.key[len(nodePrefix):])
	removal := f.minor == minorRemoved
	if removal && !validRemoval(id, value.Witnesses) {
		return false
	}
	if id == s.options.Self.ID && !s.acceptOwn(f, removal) {
		return false
	}
	held, known := s.members[id]
	if !known && removal && id != s.options.Self.ID {
		// A tombstone of a daemon never met needs no remembering.
		return false
	}
	if !known {
		held = &member{}
		s.members[id] = held
	}
	s.updateMember(held, id, f, &value)
	return true
}

// validRemoval reports whether enough daemons bear witness: two others, or the
// daemon itself that left.
func validRemoval(id structs.NodeID, witnesses []string) bool {
	distinct := map[string]bool{}
	for _, witness := range witnesses {
		if witness == string(id) {
			return true
		}
		distinct[witness] = true
	}
	return len(distinct) >= requiredWitnesses
}

// acceptOwn handles a fact about this daemon that came from others.
func (s *State) acceptOwn(f *fact, removal bool) bool {
	self := s.options.Self
	if f.major < uint64(self.Incarnation) {
		return false
	}
	own, known := s.members[self.ID]
	if !known || !removal && f.major == uint64(self.Incarnation) {
		return true
	}
	if removal && !s.leaving {
		s.removedSelf = true
		s.emit(Event{Kind: SelfRemoved, Node: own.node, Version: f.major})
	}
	return removal
}

// Rejoin brings a removed daemon back under a higher incarnation. The runner
// calls it once the daemon acts on no earlier leadership.
func (s *State) Rejoin(now time.Time, incarnation structs.Incarnation) {
	s.now = now
	own := s.members[s.options.Self.ID]
	if incarnation <= own.node.Incarnation {
		incarnation = own.node.Incarnation + 1
	}
	s.options.Self.Incarnation = incarnation
	s.removedSelf = false
	own.revision = 0
	s.introduced = now
	s.forgetSuspicions()
	s.publishSelf()
	s.nextHeartbeat = now
	s.nextJoin = now
}

// forgetSuspicions drops what an earlier life held against others: it may have
// been cut off itself.
func (s *State) forgetSuspicions() {
	accused := sortedKeys(s.accusations)
	s.accusations = map[structs.NodeID]*accusation{}
	s.watches = map[structs.NodeID]*watch{}
	s.links = map[structs.NodeID]*link{}
	s.derived = nil
	for _, id := range accused {
		s.report(s.members[id], false)
	}
}

func (s *State) updateMember(m *member, id structs.NodeID, f *fact, value *gossipv1.NodeFact) {
	before := m.node
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
	case f.minor == minorRemoved:
		m.node.State = structs.NodeDead
		m.removed = s.now
		m.left = slices.Contains(value.Witnesses, string(id))
		f.retired = true
		m.revision = 0
	case f.minor&1 == rankLeaving:
		m.node.State = structs.NodeLeaving
		m.revision = f.minor >> rankBits
	default:
		m.revision = f.minor >> rankBits
	}
	if m.ring[0] == 0 {
		for ring := range m.ring {
			m.ring[ring] = ringPosition(string(id), ring)
		}
	}
	s.place(m, before)
	s.dropStaleAccusation(m)
	changed := before != m.node
	s.report(m, changed)
}

// place follows a member's admission, removal and move to another zone.
func (s *State) place(m *member, before structs.Node) {
	was := before.ID != "" && before.State != structs.NodeDead
	is := m.node.State != structs.NodeDead
	if was == is && before.Zone == m.node.Zone {
		return
	}
	if was {
		s.exit(m, before.Zone)
	}
	if is {
		s.enter(m)
	}
}

// intern lets equal names share memory.
func (s *State) intern(name string) string {
	if name == string(s.options.Self.Zone) {
		return string(s.options.Self.Zone)
	}
	if name == s.options.Self.Region {
		return s.options.Self.Region
	}
	if held, known := s.names[name]; known {
		return held
	}
	s.names[name] = name
	return name
}

// present returns a member in the state that this daemon sees it in.
func (s *State) present(m *member) structs.Node {
	node := m.node
	if node.State == structs.NodeAlive && (s.accused(m) || s.cut[node.Zone]) {
		node.State = structs.NodeSuspect
	}
	return node
}

// report tells of a member if its presented state changed or force is set.
func (s *State) report(m *member, force bool) {
	node := s.present(m)
	if !force && node.State == m.reported {
		return
	}
	m.reported = node.State
	s.emit(Event{Kind: NodeChanged, Node: node})
}

// Leave announces that the daemon is going: it stays a member, but takes no
// new work.
func (s *State) Leave(now time.Time) {
	s.now = now
	s.leaving = true
	s.options.Self.State = structs.NodeLeaving
	s.publishSelf()
	s.flush()
}

// RemoveSelf takes the daemon out of the members; it must not send afterwards.
func (s *State) RemoveSelf(now time.Time) {
	s.now = now
	self := s.options.Self
	s.learn(&gossipv1.Fact{
		Key:   nodeKey(self.ID),
		Major: uint64(self.Incarnation),
		Minor: minorRemoved,
		Value: encodeNode(self, []string{string(self.ID)}),
	}, "")
	s.flush()
	s.removedSelf = true
}

// sweepPeriod is how often memory of the removed is looked through.
const sweepPeriod = time.Minute

func (s *State) sweep() {
	s.nextSweep = s.now.Add(sweepPeriod)
	for id, m := range s.members {
		if m.node.State == structs.NodeDead && s.now.Sub(m.removed) > s.timing.TombstoneLifetime {
			if held := s.facts.get(nodeKey(id)); held != nil {
				s.facts.forget(held)
			}
			delete(s.members, id)
			s.emit(Event{Kind: NodeExpired, Node: m.node})
		}
	}
	for nonce, p := range s.pings {
		if s.now.Sub(p.sent) > s.timing.TombstoneLifetime {
			delete(s.pings, nonce)
		}
	}
}
