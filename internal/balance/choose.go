package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// Decision is the worker of a request and why it is that one.
type Decision struct {
	directory.Worker
	// Distance is how far the worker is.
	Distance distance.Class
	// RegionReason is what the request is a part of.
	RegionReason RegionReason
}

// RegionReason names what a choice answers.
type RegionReason string

// The loads.
const (
	// LocalRegion stays in the own region.
	LocalRegion RegionReason = "home"
	// Spillover is the share of the requests that the own region has no room for.
	Spillover RegionReason = "spilled"
	// LocalRejected was turned away by workers of the own region.
	LocalRejected RegionReason = "turned_away"
	// NoLocalWorker has no worker in the own region.
	NoLocalWorker RegionReason = "homeless"
)

// choice is one request's choice out of a list.
type choice struct {
	now     time.Time
	workers []*directory.WorkerRecord
	request Request
	// homeListed and homeTried count the workers of the own region that are listed, and those
	// of them that the request is not to go to again.
	homeListed, homeTried int
}

// at returns the worker of a candidate.
func (c *choice) at(each *candidate) *directory.WorkerRecord { return c.workers[each.index] }

// candidate is a worker of a choice's list.
type candidate struct {
	index, load int
	// pace is 0 where it is not known.
	pace     float64
	standing standing
	// zone is nil where all workers are in one region.
	zone *zoneField
}

// standing is whether a worker may be chosen.
type standing uint8

const (
	// usable workers are in good standing.
	usable standing = iota
	// lapsed workers are used where there is no usable one.
	lapsed
	// ejected workers are used where they are most of those that are not lapsed.
	ejected
	// tried workers are not used.
	tried

	standings
)

// unseen is the record of workers that no request was sent to.
var unseen record

// Choose returns a worker and counts the request as under way there, or false
// if there is none. Done must be called for it.
func (b *Balancer) Choose(workers []*directory.WorkerRecord, request Request) (Decision, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn++
	choice := choice{now: b.now(), workers: workers, request: request}
	b.rateOf(request.Service).count(choice.now)
	candidates := b.candidates(&choice)
	if len(candidates) == 0 {
		return Decision{}, false
	}
	candidates, load := b.byRegion(&choice, candidates)
	if !b.sharedByRegion(&choice, candidates) {
		if near := b.nearFirst(&choice, candidates); len(near) > 0 {
			candidates = near
		}
	}
	best := b.pick(&choice, candidates)
	chosen := choice.at(&best).Worker
	known := b.of(chosen.ID)
	known.inFlight++
	known.service, known.region = request.Service, b.places.Region(chosen.Zone)
	return Decision{Worker: chosen, Distance: b.places.Class(chosen.Zone), RegionReason: load}, true
}

// candidates returns the workers that may be chosen. Ejected and slow workers are left out,
// unless they are more than maxEjected of the service. The mutex is held.
func (b *Balancer) candidates(choice *choice) []candidate {
	b.survey(choice)
	typical := typicalPace(b.paces)
	var counts [standings]int
	for i := range b.field {
		each := &b.field[i]
		if each.standing == usable && typical > 0 && each.pace > slowFactor*typical {
			each.standing = ejected
		}
		counts[each.standing]++
	}
	var used [standings]bool
	switch {
	case float64(counts[ejected]) > maxEjected*float64(counts[usable]+counts[ejected]):
		used[usable], used[ejected] = true, true
	case counts[usable] > 0:
		used[usable] = true
	default:
		used[lapsed] = true
	}
	kept := b.field[:0]
	for _, each := range b.field {
		if used[each.standing] {
			kept = append(kept, each)
		}
	}
	return kept
}

// survey fills field with all listed workers, and paces with their known paces. The mutex
// is held.
func (b *Balancer) survey(choice *choice) {
	b.field, b.paces = b.field[:0], b.paces[:0]
	several := b.places.MultiRegion()
	for i := range choice.workers {
		worker := choice.workers[i]
		known := b.record[worker.ID]
		if known == nil {
			known = &unseen
		}
		each := candidate{index: i, load: known.inFlight}
		if known.pace.known(choice.now) {
			each.pace = known.pace.value
			b.paces = append(b.paces, each.pace)
		}
		switch {
		case choice.request.Tried[worker.ID]:
			each.standing = tried
		case worker.Lapsed:
			each.standing = lapsed
		case choice.now.Before(known.ejectedUntil), choice.now.Before(known.suspectUntil):
			each.standing = ejected
		}
		if several {
			each.zone = b.zoneField(worker.Zone)
			choice.countHome(each)
		}
		b.field = append(b.field, each)
	}
}

// countHome counts a listed worker if it is in the own region.
func (c *choice) countHome(each candidate) {
	if each.zone.class == distance.OtherRegion {
		return
	}
	c.homeListed++
	if each.standing == tried {
		c.homeTried++
	}
}

// pick returns the first candidate by rank that has not clearly more under way
// than the least loaded one. The mutex is held.
func (b *Balancer) pick(choice *choice, candidates []candidate) candidate {
	slack := 0
	if choice.request.Affinity != "" {
		slack = affinitySlack
	}
	most := leastLoad(candidates) + slack
	ranks := b.ranks(choice.request.Affinity)
	var best candidate
	first := uint64(math.MaxUint64)
	for _, each := range candidates {
		if each.load > most {
			continue
		}
		if rank := ranks.of(choice.at(&each).ID); rank <= first {
			best, first = each, rank
		}
	}
	return best
}

func leastLoad(candidates []candidate) int {
	least := math.MaxInt
	for i := range candidates {
		least = min(least, candidates[i].load)
	}
	return least
}

// ranking ranks workers for the requests that share it.
type ranking struct{ prefix xxhash.Digest }

// ranks returns the ranking of an affinity; without one it differs with each choice. The
// mutex is held.
func (b *Balancer) ranks(affinity string) ranking {
	var made ranking
	made.prefix.Reset()
	if affinity == "" {
		var turn [8]byte
		for i := range turn {
			turn[i] = byte(b.turn >> (8 * i))
		}
		made.prefix.Write(turn[:])
	} else {
		made.prefix.WriteString(affinity)
	}
	made.prefix.WriteString("/")
	return made
}

// of returns the rank of a worker; the least is the first.
func (r *ranking) of(worker string) uint64 {
	digest := r.prefix
	digest.WriteString(worker)
	return digest.Sum64()
}
