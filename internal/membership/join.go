package membership

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// reunionPeriod is how often a daemon that misses others looks for them.
const reunionPeriod = 10 * time.Second

// join asks a seed for all facts. The daemon introduces itself only when it
// holds them, so that it knows its watchers before they expect its heartbeats.
func (s *State) join() {
	s.nextJoin = s.now.Add(s.timing.JoinInterval)
	seeds := s.otherSeeds()
	if len(seeds) == 0 {
		s.introduce()
		return
	}
	s.joinAttempts++
	s.askAll(seeds[s.options.Random.IntN(len(seeds))], false)
}

func (s *State) askAll(address string, referred bool) {
	s.send(structs.Node{PeerAddress: address}, &gossipv1.Message{
		Address: s.options.Self.PeerAddress,
		Sync:    &gossipv1.Sync{All: true, Referred: referred},
	})
}

// referFrom is the number of members from which on a seed refers joining
// daemons to others, so that the few seeds don't carry every join.
const referFrom = 32

// refer returns a member that can answer a joining daemon as well.
func (s *State) refer(joining string) *member {
	if len(s.members) < referFrom {
		return nil
	}
	return s.randomMember(func(m *member) bool {
		return s.present(m).State == structs.NodeAlive && m.node.PeerAddress != joining && m.node.ID != s.options.Self.ID
	})
}

func (s *State) otherSeeds() []string {
	var seeds []string
	for _, seed := range s.options.Seeds {
		if seed != s.options.Self.PeerAddress {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// ownJoinAttempts is how often a daemon asks before it answers others though it
// has not joined itself: then the cluster is most likely starting as a whole.
const ownJoinAttempts = 2

// receiveJoin answers a joining daemon, which is not yet known, with all facts
// but the one about itself.
func (s *State) receiveJoin(m *gossipv1.Message) bool {
	if m.Sync == nil || !m.Sync.All || m.Address == "" {
		return false
	}
	if !s.joined && s.joinAttempts < ownJoinAttempts {
		return true
	}
	to := structs.Node{PeerAddress: m.Address}
	if other := s.refer(m.Address); other != nil && !m.Sync.Referred {
		s.send(to, &gossipv1.Message{Sync: &gossipv1.Sync{Refer: other.node.PeerAddress}})
		return true
	}
	itself := nodeKey(structs.NodeID(m.From))
	var facts []*gossipv1.Fact
	for bucket := range bucketCount {
		for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
			if held := s.facts.buckets[bucket][hash]; !held.retired && held.key != itself {
				facts = append(facts, held.message())
			}
		}
	}
	s.sendFacts(to, facts)
	s.send(to, &gossipv1.Message{
		Sync:            &gossipv1.Sync{Total: uint32(len(facts))},
		DocumentVersion: s.documentVersion(),
	})
	return true
}

// completeJoin ends the join if the seed's whole answer has come. A part that
// was lost makes the daemon ask again.
func (s *State) completeJoin(m *gossipv1.Message) {
	if s.joined {
		return
	}
	if m.Sync != nil && m.Sync.Refer != "" {
		s.askAll(m.Sync.Refer, true)
	}
	if m.Sync != nil && m.Sync.Total > 0 {
		s.joinTotal = int(m.Sync.Total)
	}
	if others := s.facts.count - 1; s.joinTotal > 0 && others >= s.joinTotal {
		s.introduce()
	}
}

// introduce tells the daemon's place in the cluster to its neighbours.
func (s *State) introduce() {
	s.joined = true
	s.introduced = s.now
	s.derived = nil
	s.watches = map[structs.NodeID]*watch{}
	s.links = map[structs.NodeID]*link{}
	s.nextHeartbeat = s.now
	s.pending = append(s.pending, pendingFact{fact: s.facts.get(nodeKey(s.options.Self.ID))})
	s.flush()
}

// introductionSpan is how long a daemon's heartbeats carry its address after it
// introduced itself, for those whom the introduction did not reach.
const introductionSpan = 20 * time.Second

// askStranger greets the sender of a heartbeat whose introduction was lost.
func (s *State) askStranger(m *gossipv1.Message) {
	if s.joined && m.Heartbeat > 0 && m.Address != "" {
		s.greet(structs.Node{PeerAddress: m.Address})
	}
}

// reunite greets a daemon that was removed and that this one would watch, so
// that parts that lost each other find together again. A handful greet each, and
// none that left by itself.
func (s *State) reunite() {
	s.nextReunion = s.now.Add(reunionPeriod)
	self := s.members[s.options.Self.ID]
	missing := s.randomMember(func(m *member) bool {
		return m != self && m.node.State == structs.NodeDead && !m.left && slices.Contains(s.watchersOf(m, s.byZone), self)
	})
	if missing != nil {
		s.greet(missing.node)
		return
	}
	if seeds := s.otherSeeds(); len(seeds) > 0 && len(s.members) <= len(seeds) {
		s.greet(structs.Node{PeerAddress: seeds[s.options.Random.IntN(len(seeds))]})
	}
}

// greet introduces the daemon to a peer that may not know it and starts a
// comparison of facts.
func (s *State) greet(to structs.Node) {
	s.send(to, &gossipv1.Message{
		Address:         s.options.Self.PeerAddress,
		Facts:           []*gossipv1.Fact{s.facts.get(nodeKey(s.options.Self.ID)).message()},
		Sync:            &gossipv1.Sync{Buckets: s.facts.folded()},
		DocumentVersion: s.documentVersion(),
	})
}
