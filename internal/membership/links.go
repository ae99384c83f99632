package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// endpointsKey identifies the endpoints in a zone of its links with another zone.
type endpointsKey struct {
	pair zonePair
	zone structs.ZoneName
}

func (s *State) invalidateEndpoints(zone structs.ZoneName) {
	s.cachedTopology = nil
	for key := range s.endpoints {
		if key.zone == zone {
			delete(s.endpoints, key)
		}
	}
}

// endpointsOf returns the members of a zone that are endpoints of the pair's links.
func (s *State) endpointsOf(zone structs.ZoneName, pair zonePair) []*member {
	key := endpointsKey{pair, zone}
	endpoints, cached := s.endpoints[key]
	if !cached {
		endpoints = selectEndpoints(s.membersByZone[zone], pair)
		s.endpoints[key] = endpoints
	}
	return endpoints
}

// deriveLinks determines the pairs of neighbouring zones and the daemons that link
// them.
func (s *State) deriveLinks(t *topology) {
	self := s.members[s.options.Self.ID]
	for _, pair := range zonePairs(t.zones) {
		endpoints := s.endpointsOf(pair.from, pair)
		otherEndpoints := s.endpointsOf(pair.to, pair)
		t.pairs[pair] = otherEndpoints
		t.pairs[zonePair{pair.to, pair.from}] = endpoints
		for i := 0; i < max(len(endpoints), len(otherEndpoints)); i++ {
			local, remote := endpoints[i%len(endpoints)], otherEndpoints[i%len(otherEndpoints)]
			t.addLink(self, local, remote)
			t.addLink(self, remote, local)
		}
	}
}

// deriveFallbackLinks links this zone directly with each zone from which no path of
// regular links leads here: the failure that interrupted the links may have left the
// two zones connected.
func (s *State) deriveFallbackLinks(t *topology) {
	self := s.members[s.options.Self.ID]
	ownZone := s.options.Self.Zone
	for _, zone := range t.zones {
		if _, linked := t.pairs[zonePair{zone, ownZone}]; linked || zone == ownZone || !s.noRegularPath[zone] {
			continue
		}
		t.fallbackZones[zone] = true
		pair := zonePair{min(ownZone, zone), max(ownZone, zone)}
		endpoints, otherEndpoints := s.endpointsOf(ownZone, pair), s.endpointsOf(zone, pair)
		for i := 0; i < max(len(endpoints), len(otherEndpoints)); i++ {
			t.addLink(self, endpoints[i%len(endpoints)], otherEndpoints[i%len(otherEndpoints)])
		}
	}
}

func (t *topology) addLink(self, endpoint, other *member) {
	if endpoint == self && !slices.Contains(t.links, other) {
		t.links = append(t.links, other)
	}
}

// zonePairs returns the pairs of zones that are adjacent on one of the rings, without
// duplicates and in a fixed order.
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

// selectEndpoints returns the members of a zone that are endpoints of the pair's links:
// the first ones by rendezvous hash.
func selectEndpoints(zone []*member, pair zonePair) []*member {
	salt := xxhash.Sum64String(string(pair.from) + "\x00" + string(pair.to))
	var selected []*member
	for _, m := range zone {
		position := len(selected)
		for position > 0 && rendezvousBefore(m, selected[position-1], salt) {
			position--
		}
		if position < linksPerZonePair {
			selected = slices.Insert(selected, position, m)
			selected = selected[:min(linksPerZonePair, len(selected))]
		}
	}
	return selected
}

func rendezvousBefore(a, b *member, salt uint64) bool { return compareRendezvous(a, b, salt) < 0 }

func compareRendezvous(a, b *member, salt uint64) int {
	return cmp.Or(cmp.Compare(mixHash(a.ringPositions[0]^salt), mixHash(b.ringPositions[0]^salt)), byID(a, b))
}
