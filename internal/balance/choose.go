package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
)

// Decision is the worker chosen for a request and why its region was chosen.
type Decision struct {
	directory.Worker
	// Distance is the distance class of the worker.
	Distance distance.Class
	// RegionReason is why the request goes to the region of the worker.
	RegionReason RegionReason
}

// RegionReason is why a request goes to the local or to another region.
type RegionReason string

// The reasons.
const (
	// LocalRegion is for requests that stay in the local region.
	LocalRegion RegionReason = "home"
	// Spillover is for requests that exceed the capacity of the local region.
	Spillover RegionReason = "spilled"
	// LocalRejected is for requests that workers of the local region have rejected.
	LocalRejected RegionReason = "turned_away"
	// NoLocalWorker is for requests without a candidate in the local region.
	NoLocalWorker RegionReason = "homeless"
)

// choice is the state of one call of Choose.
type choice struct {
	now     time.Time
	workers []*directory.WorkerRecord
	request Request
	// localListed and localTried count the workers of the local region in the list, and those of
	// them that the request has tried.
	localListed, localTried int
}

// workerOf returns the worker of a candidate.
func (c *choice) workerOf(candidate *candidate) *directory.WorkerRecord {
	return c.workers[candidate.index]
}

// candidate is a worker in the list of a choice.
type candidate struct {
	index, load int
	// latencyRatio is 0 if it is unknown.
	latencyRatio float64
	state        candidateState
	// zone is nil if all workers are in one region.
	zone *zoneState
}

// candidateState says whether a worker can be chosen.
type candidateState uint8

const (
	// stateUsable workers are neither lapsed, ejected nor tried.
	stateUsable candidateState = iota
	// stateLapsed workers are used if there is no usable one.
	stateLapsed
	// stateEjected workers are used if they are most of the workers that have not lapsed.
	stateEjected
	// stateTried workers are never used.
	stateTried

	candidateStates
)

// emptyStats are the statistics of workers that no request was sent to.
var emptyStats workerStats

// Choose returns a worker and counts the request as in flight there, or returns false if no worker
// can be chosen. Done must be called for it.
func (b *Balancer) Choose(workers []*directory.WorkerRecord, request Request) (Decision, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.choices++
	choice := choice{now: b.now(), workers: workers, request: request}
	b.rateOf(request.Service).observe(choice.now)
	candidates := b.eligibleCandidates(&choice)
	if len(candidates) == 0 {
		return Decision{}, false
	}
	candidates, load := b.filterByRegion(&choice, candidates)
	if !b.hasRegionAffinity(&choice, candidates) {
		if local := b.preferLocalZone(&choice, candidates); len(local) > 0 {
			candidates = local
		}
	}
	best := b.pickByRank(&choice, candidates)
	chosen := choice.workerOf(&best).Worker
	stats := b.statsOf(chosen.ID)
	stats.inFlight++
	stats.service, stats.region = request.Service, b.places.Region(chosen.Zone)
	return Decision{Worker: chosen, Distance: b.places.Class(chosen.Zone), RegionReason: load}, true
}

// eligibleCandidates returns the workers that can be chosen. Ejected and slow workers are excluded
// unless they exceed maxEjectedShare of the service. The mutex must be held.
func (b *Balancer) eligibleCandidates(choice *choice) []candidate {
	b.collectCandidates(choice)
	median := medianLatency(b.latencyBuffer)
	var counts [candidateStates]int
	for i := range b.candidateBuffer {
		each := &b.candidateBuffer[i]
		if each.state == stateUsable && median > 0 && each.latencyRatio > slowFactor*median {
			each.state = stateEjected
		}
		counts[each.state]++
	}
	var include [candidateStates]bool
	switch {
	case float64(counts[stateEjected]) > maxEjectedShare*float64(counts[stateUsable]+counts[stateEjected]):
		include[stateUsable], include[stateEjected] = true, true
	case counts[stateUsable] > 0:
		include[stateUsable] = true
	default:
		include[stateLapsed] = true
	}
	kept := b.candidateBuffer[:0]
	for _, each := range b.candidateBuffer {
		if include[each.state] {
			kept = append(kept, each)
		}
	}
	return kept
}

// collectCandidates fills candidateBuffer with all workers and latencyBuffer with their known
// latency ratios. The mutex must be held.
func (b *Balancer) collectCandidates(choice *choice) {
	b.candidateBuffer, b.latencyBuffer = b.candidateBuffer[:0], b.latencyBuffer[:0]
	multiRegion := b.places.MultiRegion()
	for i := range choice.workers {
		worker := choice.workers[i]
		stats := b.stats[worker.ID]
		if stats == nil {
			stats = &emptyStats
		}
		each := candidate{index: i, load: stats.inFlight}
		if stats.latency.valid(choice.now) {
			each.latencyRatio = stats.latency.ratio
			b.latencyBuffer = append(b.latencyBuffer, each.latencyRatio)
		}
		switch {
		case choice.request.Tried[worker.ID]:
			each.state = stateTried
		case worker.Lapsed:
			each.state = stateLapsed
		case choice.now.Before(stats.ejectedUntil), choice.now.Before(stats.suspectUntil):
			each.state = stateEjected
		}
		if multiRegion {
			each.zone = b.zoneStateOf(worker.Zone)
			choice.countLocal(each)
		}
		b.candidateBuffer = append(b.candidateBuffer, each)
	}
}

// countLocal counts a worker if it is in the local region.
func (c *choice) countLocal(each candidate) {
	if each.zone.class == distance.OtherRegion {
		return
	}
	c.localListed++
	if each.state == stateTried {
		c.localTried++
	}
}

// pickByRank returns the candidate with the lowest rank among those whose load exceeds the lowest
// load by no more than the allowed slack. The mutex must be held.
func (b *Balancer) pickByRank(choice *choice, candidates []candidate) candidate {
	slack := 0
	if choice.request.Affinity != "" {
		slack = affinitySlack
	}
	maxLoad := minLoad(candidates) + slack
	ranking := b.rankingFor(choice.request.Affinity)
	var best candidate
	lowest := uint64(math.MaxUint64)
	for _, each := range candidates {
		if each.load > maxLoad {
			continue
		}
		if rank := ranking.rank(choice.workerOf(&each).ID); rank <= lowest {
			best, lowest = each, rank
		}
	}
	return best
}

func minLoad(candidates []candidate) int {
	lowest := math.MaxInt
	for i := range candidates {
		lowest = min(lowest, candidates[i].load)
	}
	return lowest
}

// ranking orders workers by a hash that depends on the affinity.
type ranking struct{ prefix xxhash.Digest }

// rankingFor returns the ranking for an affinity. Without an affinity, each choice has a different
// ranking. The mutex must be held.
func (b *Balancer) rankingFor(affinity string) ranking {
	var result ranking
	result.prefix.Reset()
	if affinity == "" {
		var sequence [8]byte
		for i := range sequence {
			sequence[i] = byte(b.choices >> (8 * i))
		}
		result.prefix.Write(sequence[:])
	} else {
		result.prefix.WriteString(affinity)
	}
	result.prefix.WriteString("/")
	return result
}

// rank returns the rank of a worker; the lowest rank is preferred.
func (r *ranking) rank(worker string) uint64 {
	digest := r.prefix
	digest.WriteString(worker)
	return digest.Sum64()
}
