package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// DefaultSubsetSize is how many engines a daemon follows, on average.
	DefaultSubsetSize = 24
	// minCoverage is how many daemons of its own zone follow each engine, where
	// there are so many.
	minCoverage = 3
	// Shares of the subset: the daemon's own zone, the other zones of its
	// region, and the zones of other regions. A class without zones leaves its
	// share to the others.
	ownZoneShare     = 0.5
	ownRegionShare   = 0.375
	otherRegionShare = 0.125
	// capFactor bounds a daemon's subset at that multiple of the wanted size.
	capFactor = 2
)

// Endpoint is a declared engine and its place.
type Endpoint struct {
	structs.EngineEndpoint
	Zone   structs.ZoneName
	Region string
}

// Endpoints returns all declared engines.
func Endpoints(d *structs.Declarations) []Endpoint {
	var endpoints []Endpoint
	for _, zone := range d.Zones {
		for _, engine := range zone.Engines {
			endpoints = append(endpoints, Endpoint{EngineEndpoint: engine, Zone: zone.Name, Region: zone.Region})
		}
	}
	return endpoints
}

// Subset returns the engines that a daemon follows, in order of their ids.
//
// Each engine picks its followers among the daemons of each zone by the
// highest rendezvous hash, as many as give each daemon its share on average.
// So every engine has the same number of followers, a daemon that comes or goes
// changes the subsets only where it was picked, and all daemons agree without a
// message. Daemons are those alive; self counts as alive. When the engines are
// few, all are followed.
func Subset(self structs.Node, daemons []structs.Node, engines []Endpoint, size int) []Endpoint {
	if len(engines) <= size {
		return sortedByID(engines)
	}
	peers := zonePeers(self, daemons)
	byZone := groupByZone(engines)
	shares := zoneShares(self, byZone, size)
	var picked []scored
	selfHash, zoneHash := hashText(string(self.ID)), hashText(string(self.Zone))
	for zone, members := range byZone {
		wanted := followersOf(shares[zone], len(peers), len(members), zone == self.Zone)
		for _, engine := range members {
			engineHash := hashText(string(engine.ID))
			followers := roundedBy(wanted, mix(engineHash, zoneHash))
			if score, follows := pickedBy(engineHash, selfHash, peers, followers); follows {
				picked = append(picked, scored{engine, score, zone == self.Zone})
			}
		}
	}
	return capped(picked, size*capFactor)
}

type scored struct {
	endpoint Endpoint
	score    uint64
	ownZone  bool
}

// capped keeps the engines of the own zone first, then those with the highest
// scores.
func capped(picked []scored, limit int) []Endpoint {
	sortByScore(picked)
	kept := make([]Endpoint, 0, min(len(picked), limit))
	for _, p := range picked[:min(len(picked), limit)] {
		kept = append(kept, p.endpoint)
	}
	return sortedByID(kept)
}

// sortByScore orders engines of the own zone first, and by falling scores.
func sortByScore(engines []scored) {
	slices.SortFunc(engines, func(a, b scored) int {
		if a.ownZone != b.ownZone {
			if a.ownZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
}

// followersOf returns how many daemons of the observing zone follow each of
// the zone's engines on average, so that each daemon follows share of them.
func followersOf(share float64, daemons, engines int, ownZone bool) float64 {
	followers := share * float64(daemons) / float64(engines)
	if ownZone {
		followers = max(followers, minCoverage)
	}
	return followers
}

// roundedBy rounds up as often as the fraction says, by a hash that is alike at
// all daemons.
func roundedBy(followers float64, hash uint64) int {
	whole, fraction := math.Modf(followers)
	if float64(hash)/math.MaxUint64 < fraction {
		return int(whole) + 1
	}
	return int(whole)
}

// pickedBy reports whether self is among an engine's followers, which are the
// peers with the highest scores.
func pickedBy(engine, self uint64, peers []uint64, followers int) (score uint64, follows bool) {
	if followers == 0 {
		return 0, false
	}
	own := mix(engine, self)
	higher := 0
	for _, peer := range peers {
		if mix(engine, peer) > own {
			higher++
			if higher >= followers {
				return own, false
			}
		}
	}
	return own, true
}

// zonePeers returns the hashes of the live daemons of self's zone, with self.
func zonePeers(self structs.Node, daemons []structs.Node) []uint64 {
	peers := []uint64{hashText(string(self.ID))}
	for _, daemon := range daemons {
		if daemon.ID != self.ID && daemon.Zone == self.Zone && serves(daemon) {
			peers = append(peers, hashText(string(daemon.ID)))
		}
	}
	return peers
}

// serves reports whether a daemon counts as alive. Suspects do, so that a slow
// answer does not change every subset.
func serves(daemon structs.Node) bool {
	return daemon.State == structs.NodeAlive || daemon.State == structs.NodeSuspect
}

func groupByZone(engines []Endpoint) map[structs.ZoneName][]Endpoint {
	byZone := map[structs.ZoneName][]Endpoint{}
	for _, engine := range engines {
		byZone[engine.Zone] = append(byZone[engine.Zone], engine)
	}
	return byZone
}

// zoneShares divides the subset's size among the zones that have engines.
func zoneShares(self structs.Node, byZone map[structs.ZoneName][]Endpoint, size int) map[structs.ZoneName]float64 {
	count := map[float64]int{}
	class := map[structs.ZoneName]float64{}
	for zone, members := range byZone {
		share := otherRegionShare
		if zone == self.Zone {
			share = ownZoneShare
		} else if members[0].Region == self.Region {
			share = ownRegionShare
		}
		class[zone] = share
		count[share]++
	}
	var total float64
	for share := range count {
		total += share
	}
	shares := map[structs.ZoneName]float64{}
	for zone, share := range class {
		shares[zone] = float64(size) * share / total / float64(count[share])
	}
	return shares
}

// mix combines two hashes into a score.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func sortedByID(engines []Endpoint) []Endpoint {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return sorted
}
