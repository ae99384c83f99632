package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// link monitors one peer in another zone with which this daemon exchanges heartbeats.
type link struct {
	lastHeard time.Time
	down      bool
}

// Link reports are facts with the key "l/<from zone>/<to zone>/<witness>" and one of
// the following values.
const (
	linkDown = "cut"
	linkUp   = "open"
)

func linkKey(pair zonePair, witness structs.NodeID) string {
	return linkPrefix + string(pair.from) + "/" + string(pair.to) + "/" + string(witness)
}

// updateLinks updates the links after a change of the topology.
func (s *State) updateLinks() {
	linked := map[structs.NodeID]bool{}
	for _, peer := range s.cachedTopology.links {
		linked[peer.node.ID] = true
		if _, exists := s.links[peer.node.ID]; !exists {
			s.links[peer.node.ID] = s.newLink(peer)
		}
	}
	for id := range s.links {
		if !linked[id] {
			delete(s.links, id)
		}
	}
	s.updateReachability()
}

// newLink returns a new link. A regular link counts as up until it times out, a
// fallback link as down until the first message arrives.
func (s *State) newLink(peer *member) *link {
	if s.cachedTopology.fallbackZones[peer.node.Zone] {
		return &link{}
	}
	return &link{lastHeard: s.now}
}

func (s *State) recordLinkMessage(from *member) {
	if l, linked := s.links[from.node.ID]; linked {
		l.lastHeard = s.now
	}
}

// checkLinks reports, for each zone, whether all of this daemon's links from the zone
// are down.
func (s *State) checkLinks() {
	down := map[structs.ZoneName]bool{}
	for _, peer := range s.cachedTopology.links {
		l := s.links[peer.node.ID]
		l.down = s.now.Sub(l.lastHeard) > s.timing.LinkTimeout
		zone := peer.node.Zone
		if allDown, exists := down[zone]; exists {
			down[zone] = allDown && l.down
		} else {
			down[zone] = l.down
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(down)) {
		s.reportLink(zone, down[zone])
	}
}

func (s *State) reportLink(from structs.ZoneName, down bool) {
	key := linkKey(zonePair{from, s.options.Self.Zone}, s.options.Self.ID)
	stored := s.facts.get(key)
	value := linkUp
	if down {
		value = linkDown
	}
	isImplicit := stored == nil && !down && !s.cachedTopology.fallbackZones[from]
	if isImplicit || stored != nil && string(stored.value) == value && stored.major >= uint64(s.options.Self.Incarnation) {
		return
	}
	newVersion := version{major: uint64(s.options.Self.Incarnation), minor: 1}
	if stored != nil {
		newVersion.major, newVersion.minor = max(newVersion.major, stored.major), stored.minor+1
	}
	s.learnFact(&gossipv1.Fact{Key: key, Major: newVersion.major, Minor: newVersion.minor, Value: []byte(value)}, "")
}

func (s *State) acceptLinkFact(f *fact) bool {
	if strings.Count(f.key, "/") != 3 {
		return false
	}
	s.reachabilityStale = true
	return true
}

// updateReachability derives from the link reports from which zones no path of working
// links leads here, and marks their members as suspected. They are not removed, because
// a partitioned zone usually recovers as a whole.
func (s *State) updateReachability() {
	s.reachabilityStale = false
	reachableRegularly := s.reachableZones(nil)
	s.updateNoRegularPath(reachableRegularly)
	reachable := s.reachableZones(reachableRegularly)
	for _, zone := range s.cachedTopology.zones {
		if unreachable := !reachable[zone]; unreachable != s.unreachableZones[zone] {
			s.setUnreachable(zone, unreachable)
		}
	}
}

func (s *State) updateNoRegularPath(reachableRegularly map[structs.ZoneName]bool) {
	noRegularPath := map[structs.ZoneName]bool{}
	for _, zone := range s.cachedTopology.zones {
		if !reachableRegularly[zone] {
			noRegularPath[zone] = true
		}
	}
	if !maps.Equal(noRegularPath, s.noRegularPath) {
		s.noRegularPath = noRegularPath
		s.fallbackLinksStale = true
	}
}

func (s *State) setUnreachable(zone structs.ZoneName, unreachable bool) {
	kind := ZoneReachable
	delete(s.unreachableZones, zone)
	if unreachable {
		kind = ZoneUnreachable
		s.unreachableZones[zone] = true
	}
	s.emit(Event{Kind: kind, Zone: zone})
	for _, id := range sortedKeys(s.members) {
		if m := s.members[id]; m.node.Zone == zone {
			s.reportNode(m, false)
		}
	}
}

// reachableZones returns the zones from which a path of working links leads to this
// daemon's zone. If regular is given, which is the result for regular links alone,
// fallback links from the remaining zones are followed as well.
func (s *State) reachableZones(regular map[structs.ZoneName]bool) map[structs.ZoneName]bool {
	reachable := map[structs.ZoneName]bool{s.options.Self.Zone: true}
	frontier := []structs.ZoneName{s.options.Self.Zone}
	for len(frontier) > 0 {
		to := frontier[0]
		frontier = frontier[1:]
		for _, from := range s.cachedTopology.zones {
			if reachable[from] {
				continue
			}
			pair := zonePair{from, to}
			_, linked := s.cachedTopology.pairs[pair]
			isFallback := regular != nil && !regular[from] && !linked && s.isFallbackLinkUp(pair)
			if linked && !s.areLinksDown(pair) || isFallback {
				reachable[from] = true
				frontier = append(frontier, from)
			}
		}
	}
	return reachable
}

// isFallbackLinkUp reports whether a receiving endpoint of a fallback link reports it
// up.
func (s *State) isFallbackLinkUp(pair zonePair) bool {
	orderedPair := zonePair{min(pair.from, pair.to), max(pair.from, pair.to)}
	for _, witness := range s.endpointsOf(pair.to, orderedPair) {
		stored := s.facts.get(linkKey(pair, witness.node.ID))
		if stored != nil && string(stored.value) == linkUp && stored.major >= uint64(witness.node.Incarnation) {
			return true
		}
	}
	return false
}

// areLinksDown reports whether every receiving endpoint reports the pair's links down.
func (s *State) areLinksDown(pair zonePair) bool {
	for _, witness := range s.cachedTopology.pairs[pair] {
		stored := s.facts.get(linkKey(pair, witness.node.ID))
		if stored == nil || string(stored.value) != linkDown || stored.major < uint64(witness.node.Incarnation) {
			return false
		}
	}
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
