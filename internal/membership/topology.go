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
	// zoneRingCount is the number of rings over the zones; a zone links with
	// its neighbours on each.
	zoneRingCount = 2
	// linksPerZonePair is the number of links that each two neighbouring zones have.
	linksPerZonePair = 2
)

// zonePair is a direction between two neighbouring zones.
type zonePair struct{ from, to structs.ZoneName }

// topology is who watches whom and which daemons link the zones. Every daemon
// derives it alone from the members, so equal views give equal topologies.
type topology struct {
	// watchers receive this daemon's heartbeats.
	watchers []*member
	// watched send heartbeats to this daemon.
	watched []*member
	// links are the peers in other zones that this daemon exchanges heartbeats with.
	links []*member
	// neighbours are watchers and links: facts are pushed to them.
	neighbours []*member
	// zones lists the zones that have members, in order.
	zones []structs.ZoneName
	// pairs maps each two neighbouring zones, in both directions, to the
	// receiving ends of their links.
	pairs map[zonePair][]*member
	// detours are zones without a path of links from here, with which this
	// zone tries to link directly.
	detours map[structs.ZoneName]bool
}

// topology returns the topology of the present members.
func (s *State) topology() *topology {
	if s.derived == nil {
		s.derived = s.deriveTopology()
		s.updateWatches()
	}
	return s.derived
}

func (s *State) deriveTopology() *topology {
	byZone := s.byZone
	t := &topology{pairs: map[zonePair][]*member{}, detours: map[structs.ZoneName]bool{}}
	for zone := range byZone {
		t.zones = append(t.zones, zone)
	}
	slices.Sort(t.zones)
	own := s.members[s.options.Self.ID]
	t.watchers = s.watchersOf(own, byZone)
	t.watched = s.watchedBy(own, byZone)
	s.deriveLinks(t)
	s.deriveDetours(t)
	t.neighbours = slices.Clone(t.watchers)
	for _, link := range t.links {
		if !slices.Contains(t.neighbours, link) {
			t.neighbours = append(t.neighbours, link)
		}
	}
	return t
}

// enter and exit keep the members that were not removed by zone. The topology
// is derived anew, but only for the zone that changed.
func (s *State) enter(m *member) {
	s.byZone[m.node.Zone] = append(s.byZone[m.node.Zone], m)
	s.forgetEnds(m.node.Zone)
}

func (s *State) exit(m *member, zone structs.ZoneName) {
	rest := slices.DeleteFunc(s.byZone[zone], func(other *member) bool { return other == m })
	s.byZone[zone] = rest
	if len(rest) == 0 {
		delete(s.byZone, zone)
	}
	s.forgetEnds(zone)
}

// watchersOf returns the daemons that watch the subject: its successors on
// several rings of its zone, all different, so that a zone's watch graph is a
// union of random cycles. A zone with too few members borrows watchers from
// other zones.
func (s *State) watchersOf(subject *member, byZone map[structs.ZoneName][]*member) []*member {
	var watchers []*member
	zone := byZone[subject.node.Zone]
	for ring := 0; ring < watcherCount; ring++ {
		if next := successor(subject, zone, ring, watchers); next != nil {
			watchers = append(watchers, next)
		}
	}
	if len(watchers) < watcherCount {
		watchers = s.borrowWatchers(subject, watchers)
	}
	return watchers
}

// successor returns the next member after the subject on the ring that is not
// yet taken; nil if there is none.
func successor(subject *member, zone []*member, ring int, taken []*member) *member {
	var best *member
	var bestDistance uint64
	for _, candidate := range zone {
		if candidate == subject || slices.Contains(taken, candidate) {
			continue
		}
		distance := candidate.ring[ring] - subject.ring[ring]
		if best == nil || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// borrowWatchers fills up with daemons of other zones, by rendezvous hash, of
// different zones where there are enough.
func (s *State) borrowWatchers(subject *member, watchers []*member) []*member {
	var candidates []*member
	for _, m := range s.members {
		if m.node.State != structs.NodeDead && m.node.Zone != subject.node.Zone {
			candidates = append(candidates, m)
		}
	}
	rendezvousSort(candidates, string(subject.node.ID))
	used := map[structs.ZoneName]bool{}
	for _, different := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(watchers) == watcherCount {
				return watchers
			}
			if slices.Contains(watchers, candidate) || different && used[candidate.node.Zone] {
				continue
			}
			watchers = append(watchers, candidate)
			used[candidate.node.Zone] = true
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
		for _, subject := range candidatesFor(watcher, members) {
			if subject != watcher && slices.Contains(s.watchersOf(subject, byZone), watcher) {
				watched = append(watched, subject)
			}
		}
	}
	slices.SortFunc(watched, byID)
	return watched
}

// candidatesFor returns the members that can have the watcher among their
// successors: in a large zone these are its nearest predecessors on each ring.
func candidatesFor(watcher *member, zone []*member) []*member {
	const reach = watcherCount
	if len(zone) <= watcherCount*reach {
		return zone
	}
	var candidates []*member
	for ring := 0; ring < watcherCount; ring++ {
		for _, near := range predecessors(watcher, zone, ring, reach) {
			if !slices.Contains(candidates, near) {
				candidates = append(candidates, near)
			}
		}
	}
	return candidates
}

// predecessors returns the members nearest before the watcher on the ring.
func predecessors(watcher *member, zone []*member, ring, count int) []*member {
	distance := func(m *member) uint64 { return watcher.ring[ring] - m.ring[ring] }
	nearest := make([]*member, 0, count+1)
	for _, m := range zone {
		at := len(nearest)
		for at > 0 && distance(m) < distance(nearest[at-1]) {
			at--
		}
		if m != watcher && at < count {
			nearest = slices.Insert(nearest, at, m)
			nearest = nearest[:min(count, len(nearest))]
		}
	}
	return nearest
}

// rendezvousSort orders members by the hash of the key and their ids.
func rendezvousSort(members []*member, key string) {
	salt := xxhash.Sum64String(key)
	slices.SortFunc(members, func(a, b *member) int { return rendezvousOrder(a, b, salt) })
}

func byID(a, b *member) int { return cmp.Compare(a.node.ID, b.node.ID) }

// mix is a bijection that spreads near values apart.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// ringPosition places a name on a ring.
func ringPosition(name string, ring int) uint64 {
	return mix(xxhash.Sum64String(name) + uint64(ring)*0x9e3779b97f4a7c15)
}
