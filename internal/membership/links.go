package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// endsKey names the ends that a zone holds of the links with another.
type endsKey struct {
	pair zonePair
	zone structs.ZoneName
}

func (s *State) forgetEnds(zone structs.ZoneName) {
	s.derived = nil
	for key := range s.ends {
		if key.zone == zone {
			delete(s.ends, key)
		}
	}
}

// endsOf returns the members of a zone that hold its ends of the pair's links.
func (s *State) endsOf(zone structs.ZoneName, pair zonePair) []*member {
	key := endsKey{pair, zone}
	ends, known := s.ends[key]
	if !known {
		ends = representatives(s.byZone[zone], pair)
		s.ends[key] = ends
	}
	return ends
}

// deriveLinks finds each two neighbouring zones and the daemons that link them.
func (s *State) deriveLinks(t *topology) {
	self := s.members[s.options.Self.ID]
	for _, pair := range zonePairs(t.zones) {
		ends := s.endsOf(pair.from, pair)
		others := s.endsOf(pair.to, pair)
		t.pairs[pair] = others
		t.pairs[zonePair{pair.to, pair.from}] = ends
		for i := 0; i < max(len(ends), len(others)); i++ {
			here, there := ends[i%len(ends)], others[i%len(others)]
			t.addLink(self, here, there)
			t.addLink(self, there, here)
		}
	}
}

// deriveDetours links this zone directly with each zone that no path of links
// leads from: what cut the links may have left the zones themselves connected.
func (s *State) deriveDetours(t *topology) {
	self := s.members[s.options.Self.ID]
	own := s.options.Self.Zone
	for _, zone := range t.zones {
		if _, linked := t.pairs[zonePair{zone, own}]; linked || zone == own || !s.pathless[zone] {
			continue
		}
		t.detours[zone] = true
		pair := zonePair{min(own, zone), max(own, zone)}
		ends, others := s.endsOf(own, pair), s.endsOf(zone, pair)
		for i := 0; i < max(len(ends), len(others)); i++ {
			t.addLink(self, ends[i%len(ends)], others[i%len(others)])
		}
	}
}

func (t *topology) addLink(self, end, other *member) {
	if end == self && !slices.Contains(t.links, other) {
		t.links = append(t.links, other)
	}
}

// zonePairs returns each two zones that follow each other on one of the rings,
// once, in a fixed order.
func zonePairs(zones []structs.ZoneName) []zonePair {
	var pairs []zonePair
	for ring := 0; ring < zoneRingCount; ring++ {
		ordered := slices.Clone(zones)
		slices.SortFunc(ordered, func(a, b structs.ZoneName) int {
			return cmp.Compare(ringPosition(string(a), ring), ringPosition(string(b), ring))
		})
		for i, zone := range ordered {
			next := ordered[(i+1)%len(ordered)]
			pair := zonePair{min(zone, next), max(zone, next)}
			if zone != next && !slices.Contains(pairs, pair) {
				pairs = append(pairs, pair)
			}
		}
	}
	return pairs
}

// representatives returns the members of a zone that hold its ends of the
// links: the first by rendezvous hash.
func representatives(zone []*member, pair zonePair) []*member {
	salt := xxhash.Sum64String(string(pair.from) + "\x00" + string(pair.to))
	var first []*member
	for _, m := range zone {
		at := len(first)
		for at > 0 && rendezvousBefore(m, first[at-1], salt) {
			at--
		}
		if at < linksPerZonePair {
			first = slices.Insert(first, at, m)
			first = first[:min(linksPerZonePair, len(first))]
		}
	}
	return first
}

func rendezvousBefore(a, b *member, salt uint64) bool { return rendezvousOrder(a, b, salt) < 0 }

func rendezvousOrder(a, b *member, salt uint64) int {
	return cmp.Or(cmp.Compare(mix(a.ring[0]^salt), mix(b.ring[0]^salt)), byID(a, b))
}
