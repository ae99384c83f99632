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

// link follows one peer in another zone that this daemon exchanges heartbeats with.
type link struct {
	heard time.Time
	cut   bool
}

// Reports about links are facts "l/<from zone>/<to zone>/<witness>", whose
// value is one of these.
const (
	linkCut  = "cut"
	linkOpen = "open"
)

func linkKey(pair zonePair, witness structs.NodeID) string {
	return linkPrefix + string(pair.from) + "/" + string(pair.to) + "/" + string(witness)
}

// updateLinks follows the topology.
func (s *State) updateLinks() {
	wanted := map[structs.NodeID]bool{}
	for _, peer := range s.derived.links {
		wanted[peer.node.ID] = true
		if _, known := s.links[peer.node.ID]; !known {
			s.links[peer.node.ID] = s.newLink(peer)
		}
	}
	for id := range s.links {
		if !wanted[id] {
			delete(s.links, id)
		}
	}
	s.checkZones()
}

// newLink takes a regular link for open until it is silent for long, and a
// detour for cut until something comes.
func (s *State) newLink(peer *member) *link {
	if s.derived.detours[peer.node.Zone] {
		return &link{}
	}
	return &link{heard: s.now}
}

func (s *State) linkAlive(from *member) {
	if l, linked := s.links[from.node.ID]; linked {
		l.heard = s.now
	}
}

// checkLinks reports, by zone, when all of this daemon's links from the zone
// fell silent or one came back.
func (s *State) checkLinks() {
	silent := map[structs.ZoneName]bool{}
	for _, peer := range s.derived.links {
		l := s.links[peer.node.ID]
		l.cut = s.now.Sub(l.heard) > s.timing.LinkTimeout
		zone := peer.node.Zone
		if before, known := silent[zone]; known {
			silent[zone] = before && l.cut
		} else {
			silent[zone] = l.cut
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(silent)) {
		s.reportLink(zone, silent[zone])
	}
}

func (s *State) reportLink(from structs.ZoneName, cut bool) {
	key := linkKey(zonePair{from, s.options.Self.Zone}, s.options.Self.ID)
	held := s.facts.get(key)
	value := linkOpen
	if cut {
		value = linkCut
	}
	unsaid := held == nil && !cut && !s.derived.detours[from]
	if unsaid || held != nil && string(held.value) == value && held.major >= uint64(s.options.Self.Incarnation) {
		return
	}
	next := version{major: uint64(s.options.Self.Incarnation), minor: 1}
	if held != nil {
		next.major, next.minor = max(next.major, held.major), held.minor+1
	}
	s.learn(&gossipv1.Fact{Key: key, Major: next.major, Minor: next.minor, Value: []byte(value)}, "")
}

func (s *State) acceptLink(f *fact) bool {
	if strings.Count(f.key, "/") != 3 {
		return false
	}
	s.zonesStale = true
	return true
}

// checkZones derives from the reports which zones no path of working links
// leads from, and reports the members there as suspects. They are not removed:
// a zone that was cut off comes back whole.
func (s *State) checkZones() {
	s.zonesStale = false
	regular := s.reachedZones(nil)
	s.updatePathless(regular)
	reached := s.reachedZones(regular)
	for _, zone := range s.derived.zones {
		if cut := !reached[zone]; cut != s.cut[zone] {
			s.setCut(zone, cut)
		}
	}
}

func (s *State) updatePathless(regular map[structs.ZoneName]bool) {
	pathless := map[structs.ZoneName]bool{}
	for _, zone := range s.derived.zones {
		if !regular[zone] {
			pathless[zone] = true
		}
	}
	if !maps.Equal(pathless, s.pathless) {
		s.pathless = pathless
		s.detoursStale = true
	}
}

func (s *State) setCut(zone structs.ZoneName, cut bool) {
	kind := ZoneReachable
	delete(s.cut, zone)
	if cut {
		kind = ZoneUnreachable
		s.cut[zone] = true
	}
	s.emit(Event{Kind: kind, Zone: zone})
	for _, id := range sortedKeys(s.members) {
		if m := s.members[id]; m.node.Zone == zone {
			s.report(m, false)
		}
	}
}

// reachedZones walks the working links backwards from this daemon's zone. With
// the zones that regular links reach it takes detours from the others as well.
func (s *State) reachedZones(regular map[structs.ZoneName]bool) map[structs.ZoneName]bool {
	reached := map[structs.ZoneName]bool{s.options.Self.Zone: true}
	frontier := []structs.ZoneName{s.options.Self.Zone}
	for len(frontier) > 0 {
		to := frontier[0]
		frontier = frontier[1:]
		for _, from := range s.derived.zones {
			if reached[from] {
				continue
			}
			pair := zonePair{from, to}
			_, linked := s.derived.pairs[pair]
			detour := regular != nil && !regular[from] && !linked && s.detourOpen(pair)
			if linked && !s.pairCut(pair) || detour {
				reached[from] = true
				frontier = append(frontier, from)
			}
		}
	}
	return reached
}

// detourOpen reports whether a receiving end of a detour says that it hears.
func (s *State) detourOpen(pair zonePair) bool {
	named := zonePair{min(pair.from, pair.to), max(pair.from, pair.to)}
	for _, witness := range s.endsOf(pair.to, named) {
		held := s.facts.get(linkKey(pair, witness.node.ID))
		if held != nil && string(held.value) == linkOpen && held.major >= uint64(witness.node.Incarnation) {
			return true
		}
	}
	return false
}

// pairCut reports whether every receiving end reports the pair's links cut.
func (s *State) pairCut(pair zonePair) bool {
	for _, witness := range s.derived.pairs[pair] {
		held := s.facts.get(linkKey(pair, witness.node.ID))
		if held == nil || string(held.value) != linkCut || held.major < uint64(witness.node.Incarnation) {
			return false
		}
	}
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
