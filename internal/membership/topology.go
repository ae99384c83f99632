package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// watcherCount is the number of daemons that watch each daemon.
	watcherCount = 3
	// zoneRingCount is the number of rings of zones; a zone is linked with its
	// neighbours on each ring.
	zoneRingCount = 2
	// linksPerZonePair is the number of links between two neighbouring zones.
	linksPerZonePair = 2
)

// zonePair is a direction between two zones.
type zonePair struct{ from, to structs.ZoneName }

// topology defines which daemons watch each other and which daemons link the zones.
// Every daemon derives it from its members alone, so equal views result in equal
// topologies.
type topology struct {
	// watchers receive this daemon's heartbeats.
	watchers []*member
	// watched send heartbeats to this daemon.
	watched []*member
	// links are the peers in other zones that this daemon exchanges heartbeats with.
	links []*member
	// neighbours are the watchers and links, to which facts are pushed.
	neighbours []*member
	// zones lists the zones that have members, sorted.
	zones []structs.ZoneName
	// pairs maps each pair of neighbouring zones, in both directions, to the receiving
	// endpoints of their links.
	pairs map[zonePair][]*member
	// fallbackZones are the zones without a path of regular links to this zone, with
	// which this zone tries to link directly.
	fallbackZones map[structs.ZoneName]bool
}

// topology returns the topology of the current members.
func (s *State) topology() *topology {
	if s.cachedTopology == nil {
		s.cachedTopology = s.deriveTopology()
		s.updateWatches()
	}
	return s.cachedTopology
}

func (s *State) deriveTopology() *topology {
	byZone := s.membersByZone
	t := &topology{pairs: map[zonePair][]*member{}, fallbackZones: map[structs.ZoneName]bool{}}
	for zone := range byZone {
		t.zones = append(t.zones, zone)
	}
	slices.Sort(t.zones)
	self := s.members[s.options.Self.ID]
	t.watchers = s.watchersOf(self, byZone)
	t.watched = s.watchedBy(self, byZone)
	s.deriveLinks(t)
	s.deriveFallbackLinks(t)
	t.neighbours = slices.Clone(t.watchers)
	for _, link := range t.links {
		if !slices.Contains(t.neighbours, link) {
			t.neighbours = append(t.neighbours, link)
		}
	}
	return t
}

// addToZone and removeFromZone maintain membersByZone. They invalidate the topology,
// but the link endpoints only of the changed zone.
func (s *State) addToZone(m *member) {
	s.membersByZone[m.node.Zone] = append(s.membersByZone[m.node.Zone], m)
	s.invalidateEndpoints(m.node.Zone)
}

func (s *State) removeFromZone(m *member, zone structs.ZoneName) {
	remaining := slices.DeleteFunc(s.membersByZone[zone], func(other *member) bool { return other == m })
	s.membersByZone[zone] = remaining
	if len(remaining) == 0 {
		delete(s.membersByZone, zone)
	}
	s.invalidateEndpoints(zone)
}

// watchersOf returns the daemons that watch the subject: its successors on several
// rings of its zone, all different, so that the watch graph of a zone is a union of
// random cycles. If the zone has too few members, daemons of other zones are added.
func (s *State) watchersOf(subject *member, byZone map[structs.ZoneName][]*member) []*member {
	var watchers []*member
	zone := byZone[subject.node.Zone]
	for ring := 0; ring < watcherCount; ring++ {
		if next := successor(subject, zone, ring, watchers); next != nil {
			watchers = append(watchers, next)
		}
	}
	if len(watchers) < watcherCount {
		watchers = s.addWatchersFromOtherZones(subject, watchers)
	}
	return watchers
}

// successor returns the next member after the subject on the ring that is not excluded;
// nil if there is none.
func successor(subject *member, zone []*member, ring int, excluded []*member) *member {
	var nearest *member
	var minDistance uint64
	for _, candidate := range zone {
		if candidate == subject || slices.Contains(excluded, candidate) {
			continue
		}
		distance := candidate.ringPositions[ring] - subject.ringPositions[ring]
		if nearest == nil || distance < minDistance {
			nearest, minDistance = candidate, distance
		}
	}
	return nearest
}

// addWatchersFromOtherZones adds daemons of other zones by rendezvous hash until there
// are watcherCount watchers. They are of different zones if possible.
func (s *State) addWatchersFromOtherZones(subject *member, watchers []*member) []*member {
	var candidates []*member
	for _, m := range s.members {
		if m.node.State != structs.NodeDead && m.node.Zone != subject.node.Zone {
			candidates = append(candidates, m)
		}
	}
	rendezvousSort(candidates, string(subject.node.ID))
	usedZones := map[structs.ZoneName]bool{}
	for _, differentZone := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(watchers) == watcherCount {
				return watchers
			}
			if slices.Contains(watchers, candidate) || differentZone && usedZones[candidate.node.Zone] {
				continue
			}
			watchers = append(watchers, candidate)
			usedZones[candidate.node.Zone] = true
		}
	}
	return watchers
}

// watchedBy returns the members that the watcher watches.
func (s *State) watchedBy(watcher *member, byZone map[structs.ZoneName][]*member) []*member {
	var watched []*member
	for zone, members := range byZone {
		if zone != watcher.node.Zone && len(members) > watcherCount {
			continue
		}
		for _, subject := range possibleSubjects(watcher, members) {
			if subject != watcher && slices.Contains(s.watchersOf(subject, byZone), watcher) {
				watched = append(watched, subject)
			}
		}
	}
	slices.SortFunc(watched, byID)
	return watched
}

// possibleSubjects returns the members that can have the watcher among their
// successors: in a large zone these are its nearest predecessors on each ring.
func possibleSubjects(watcher *member, zone []*member) []*member {
	const reach = watcherCount
	if len(zone) <= watcherCount*reach {
		return zone
	}
	var candidates []*member
	for ring := 0; ring < watcherCount; ring++ {
		for _, predecessor := range predecessors(watcher, zone, ring, reach) {
			if !slices.Contains(candidates, predecessor) {
				candidates = append(candidates, predecessor)
			}
		}
	}
	return candidates
}

// predecessors returns the nearest members before the watcher on the ring.
func predecessors(watcher *member, zone []*member, ring, count int) []*member {
	distance := func(m *member) uint64 { return watcher.ringPositions[ring] - m.ringPositions[ring] }
	nearest := make([]*member, 0, count+1)
	for _, m := range zone {
		position := len(nearest)
		for position > 0 && distance(m) < distance(nearest[position-1]) {
			position--
		}
		if m != watcher && position < count {
			nearest = slices.Insert(nearest, position, m)
			nearest = nearest[:min(count, len(nearest))]
		}
	}
	return nearest
}

// rendezvousSort sorts members by the hash of the key and their IDs.
func rendezvousSort(members []*member, key string) {
	salt := xxhash.Sum64String(key)
	slices.SortFunc(members, func(a, b *member) int { return compareRendezvous(a, b, salt) })
}

func byID(a, b *member) int { return cmp.Compare(a.node.ID, b.node.ID) }

// mixHash is a bijection that maps similar values to dissimilar ones.
func mixHash(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// ringPosition returns the position of a name on a ring.
func ringPosition(name string, ring int) uint64 {
	return mixHash(xxhash.Sum64String(name) + uint64(ring)*0x9e3779b97f4a7c15)
}
