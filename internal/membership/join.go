package membership

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// reconnectInterval is the interval at which a daemon contacts daemons that were
// removed or are missing.
const reconnectInterval = 10 * time.Second

// join requests all facts from a seed. The daemon announces itself only after it has
// received them, so that it knows its watchers before they expect its heartbeats.
func (s *State) join() {
	s.nextJoin = s.now.Add(s.timing.JoinInterval)
	seeds := s.otherSeeds()
	if len(seeds) == 0 {
		s.announce()
		return
	}
	s.joinAttempts++
	s.requestAllFacts(seeds[s.options.Random.IntN(len(seeds))], false)
}

func (s *State) requestAllFacts(address string, referred bool) {
	s.send(structs.Node{PeerAddress: address}, &gossipv1.Message{
		Address: s.options.Self.PeerAddress,
		Sync:    &gossipv1.Sync{All: true, Referred: referred},
	})
}

// minMembersForReferral is the cluster size at which a seed begins to refer joining
// daemons to other members, so that the few seeds do not have to serve every join.
const minMembersForReferral = 32

// pickReferral returns a member that can answer a joining daemon instead of this one.
func (s *State) pickReferral(joiningAddress string) *member {
	if len(s.members) < minMembersForReferral {
		return nil
	}
	return s.randomMember(func(m *member) bool {
		return s.observedNode(m).State == structs.NodeAlive && m.node.PeerAddress != joiningAddress && m.node.ID != s.options.Self.ID
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

// minJoinAttempts is the number of join requests after which a daemon answers joining
// daemons although it has not joined itself: then the whole cluster is probably
// starting.
const minJoinAttempts = 2

// receiveJoin answers a joining daemon, which is not known yet, with all facts except
// the one about the joining daemon itself. It reports whether the message was a join
// request.
func (s *State) receiveJoin(m *gossipv1.Message) bool {
	if m.Sync == nil || !m.Sync.All || m.Address == "" {
		return false
	}
	if !s.joined && s.joinAttempts < minJoinAttempts {
		return true
	}
	to := structs.Node{PeerAddress: m.Address}
	if referral := s.pickReferral(m.Address); referral != nil && !m.Sync.Referred {
		s.send(to, &gossipv1.Message{Sync: &gossipv1.Sync{Refer: referral.node.PeerAddress}})
		return true
	}
	joiningKey := nodeKey(structs.NodeID(m.From))
	var facts []*gossipv1.Fact
	for bucket := range bucketCount {
		for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
			if stored := s.facts.buckets[bucket][hash]; !stored.tombstone && stored.key != joiningKey {
				facts = append(facts, stored.proto())
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

// completeJoin completes the join once the seed's whole reply has arrived. If a part of
// it was lost, the daemon sends another request later.
func (s *State) completeJoin(m *gossipv1.Message) {
	if s.joined {
		return
	}
	if m.Sync != nil && m.Sync.Refer != "" {
		s.requestAllFacts(m.Sync.Refer, true)
	}
	if m.Sync != nil && m.Sync.Total > 0 {
		s.joinTotal = int(m.Sync.Total)
	}
	if received := s.facts.count - 1; s.joinTotal > 0 && received >= s.joinTotal {
		s.announce()
	}
}

// announce announces the daemon to its neighbours.
func (s *State) announce() {
	s.joined = true
	s.announcedAt = s.now
	s.cachedTopology = nil
	s.watches = map[structs.NodeID]*watch{}
	s.links = map[structs.NodeID]*link{}
	s.nextHeartbeat = s.now
	s.pending = append(s.pending, pendingFact{fact: s.facts.get(nodeKey(s.options.Self.ID))})
	s.flush()
}

// announcementPeriod is how long a daemon's heartbeats carry its address after it
// announced itself, for neighbours that the announcement did not reach.
const announcementPeriod = 20 * time.Second

// greetUnknownSender introduces this daemon to the sender of a heartbeat whose
// announcement was lost.
func (s *State) greetUnknownSender(m *gossipv1.Message) {
	if s.joined && m.Heartbeat > 0 && m.Address != "" {
		s.introduceTo(structs.Node{PeerAddress: m.Address})
	}
}

// reconnect introduces this daemon to a removed daemon that it would watch, so that
// separated parts of the cluster merge again. Only the few watchers of a removed daemon
// contact it, and none contacts a daemon that left voluntarily. A daemon that knows no
// more members than there are seeds contacts a seed.
func (s *State) reconnect() {
	s.nextReconnect = s.now.Add(reconnectInterval)
	self := s.members[s.options.Self.ID]
	removed := s.randomMember(func(m *member) bool {
		return m != self && m.node.State == structs.NodeDead && !m.leftVoluntarily && slices.Contains(s.watchersOf(m, s.membersByZone), self)
	})
	if removed != nil {
		s.introduceTo(removed.node)
		return
	}
	if seeds := s.otherSeeds(); len(seeds) > 0 && len(s.members) <= len(seeds) {
		s.introduceTo(structs.Node{PeerAddress: seeds[s.options.Random.IntN(len(seeds))]})
	}
}

// introduceTo introduces the daemon to a peer that may not know it and starts a
// comparison of facts.
func (s *State) introduceTo(to structs.Node) {
	s.send(to, &gossipv1.Message{
		Address:         s.options.Self.PeerAddress,
		Facts:           []*gossipv1.Fact{s.facts.get(nodeKey(s.options.Self.ID)).proto()},
		Sync:            &gossipv1.Sync{Buckets: s.facts.bucketDigests()},
		DocumentVersion: s.documentVersion(),
	})
}
