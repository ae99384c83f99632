package balance

import (
	"math"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/distance"
)

const (
	// resultWindow is the time constant of the attempt rates of a region. A gateway with two
	// requests per second sees several results in it.
	resultWindow = 4 * time.Second
	// acceptedPrior is the number of accepted attempts added to the observed ones, so that a single
	// rejection at an idle gateway does not move requests to another region.
	acceptedPrior = 3
	// minLocalRejections is how many workers of the local region must have rejected a request
	// before that request may leave the region. Each of these attempts takes less time than the way
	// to another region.
	minLocalRejections = 4
	// minRemainingFactor is the minimum remaining time of a request that leaves the region while
	// there are local workers, as a multiple of the additional latency to the nearest other region.
	// With less, it would spend too much of its time on the way.
	minRemainingFactor = 4
	// maxRegionAffinityWorkers is the maximum number of workers of a region up to which requests
	// with the same affinity go to the same worker from all zones of the region. With more workers,
	// each zone chooses its own if the rate is too low to reuse connections.
	maxRegionAffinityWorkers = 256
)

// spillover is the share of a service's requests that leaves the local region.
type spillover struct {
	share     float64
	updatedAt time.Time
	// results are the attempt rates by region.
	results map[string]*attemptRates
	// ratesByRank are the request rates by priority rank.
	ratesByRank map[int]*decayingRate
}

// attemptRates are the rates of all and of rejected attempts at the workers of one region.
type attemptRates struct{ all, rejected decayingRate }

// observe counts the result of an attempt.
func (e *attemptRates) observe(now time.Time, rejected bool) {
	e.all.observe(now, resultWindow)
	if rejected {
		e.rejected.observe(now, resultWindow)
	}
}

// rejectedShare returns the share of rejected attempts.
func (e *attemptRates) rejectedShare(now time.Time) float64 {
	return e.rejected.perSecond(now, resultWindow) / (e.all.perSecond(now, resultWindow) + acceptedPrior/resultWindow.Seconds())
}

// regionState is the input of a spilloverPolicy.
type regionState struct {
	// usableShare is the share of the local region's workers that can be chosen.
	usableShare float64
	// localRejectedShare is the share of attempts that workers of the local region rejected.
	// remoteRejectedShare is the lowest such share of the other regions.
	localRejectedShare, remoteRejectedShare float64
	// extraLatency is the additional latency to the nearest other region. typicalLatency is how
	// long workers usually take to begin a response.
	extraLatency, typicalLatency time.Duration
}

// spilloverPolicy determines the share of requests that leaves the local region.
type spilloverPolicy interface {
	// nextShare returns the share after the elapsed time.
	nextShare(share float64, elapsed time.Duration, state regionState) float64
}

const (
	// fullRejectedShare is the share of rejected attempts above which a region counts as full for
	// requests of other regions, which then prefer the next region.
	fullRejectedShare = 0.3
	// maxRiseRate is the maximum increase of the share per second. Results stay in the rates for
	// about resultWindow, so a faster increase would overshoot after capacity has become available.
	maxRiseRate = 0.5
	// maxFallRate is the maximum decrease of the share per second. It is low because the prompts of
	// moved requests are cached in the other region, and not at workers that come back.
	maxFallRate = 0.08
	// minTypicalLatency is the minimum of the typical latency, also used if nothing is known.
	// Callers do not notice shorter delays.
	minTypicalLatency = time.Millisecond
	// maxStep limits the time for which the share changes at once, because nothing was observed in
	// a longer interval.
	maxStep = time.Second
)

// unavailableShare returns the share of requests that must leave because workers are not usable. It
// is 0 while the usable share is at least minUsableShare and 1 if no worker is usable.
func unavailableShare(usableShare float64) float64 { return max(0, 1-usableShare/minUsableShare) }

// costPolicy moves requests while an attempt in the local region is expected to take longer than
// one in another region. The time in another region consists of the wait for a free slot, the
// additional latency and processing the prompt again, which takes about as long as workers usually
// take to begin a response. The share changes in proportion to the difference, so processes with
// the same observations converge to the share at which both take equally long.
type costPolicy struct{}

func (costPolicy) nextShare(share float64, elapsed time.Duration, state regionState) float64 {
	step := min(elapsed, maxStep).Seconds()
	latency := max(state.typicalLatency, state.extraLatency, minTypicalLatency)
	local, remote := expectedWait(state.localRejectedShare, latency), state.extraLatency+latency+expectedWait(state.remoteRejectedShare, latency)
	gain := float64(local-remote) / float64(remote)
	share += step * min(maxRiseRate, max(-maxFallRate, maxRiseRate*gain))
	return max(unavailableShare(state.usableShare), min(1, max(0, share)))
}

// expectedWait returns how long a request waits for a free slot if the given share of attempts is
// rejected.
func expectedWait(rejectedShare float64, typicalLatency time.Duration) time.Duration {
	const maxShare = 0.95
	rejectedShare = min(rejectedShare, maxShare)
	return time.Duration(rejectedShare / (1 - rejectedShare) * float64(typicalLatency))
}

// update advances the share to the given time.
func (s *spillover) update(policy spilloverPolicy, now time.Time, state regionState) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
	}
	s.share = policy.nextShare(s.share, now.Sub(s.updatedAt), state)
	s.updatedAt = now
}

// includes reports whether a request belongs to the share that leaves. position is its position,
// between 0 and 1, among the requests of its rank. Requests with the highest ranks leave first.
func (s *spillover) includes(now time.Time, priorityRank int, position float64) bool {
	if s.share <= 0 || s.share >= 1 {
		return s.share >= 1
	}
	var all, lowerPriority, sameRank float64
	for rank, rate := range s.ratesByRank {
		perSecond := rate.perSecond(now, slowRateWindow)
		all += perSecond
		switch {
		case rank > priorityRank:
			lowerPriority += perSecond
		case rank == priorityRank:
			sameRank = perSecond
		}
	}
	return position*sameRank < s.share*all-lowerPriority
}

// observe counts a request of a priority rank.
func (s *spillover) observe(now time.Time, priorityRank int) {
	rate := s.ratesByRank[priorityRank]
	if rate == nil {
		rate = &decayingRate{}
		s.ratesByRank[priorityRank] = rate
	}
	rate.observe(now, slowRateWindow)
}

// rejectedShare returns the share of attempts that the workers of a region rejected.
func (s *spillover) rejectedShare(now time.Time, region string) float64 {
	if rates := s.results[region]; rates != nil {
		return rates.rejectedShare(now)
	}
	return 0
}

// spilloverOf returns the spillover of a service. The mutex must be held.
func (b *Balancer) spilloverOf(service string) *spillover {
	current := b.spillovers[service]
	if current == nil {
		current = &spillover{results: make(map[string]*attemptRates), ratesByRank: make(map[int]*decayingRate)}
		b.spillovers[service] = current
	}
	return current
}

// recordRegionResult counts the result of an attempt for the region of the worker. The mutex must
// be held.
func (b *Balancer) recordRegionResult(stats *workerStats, result AttemptResult) {
	if stats.region == "" || result == Canceled {
		return
	}
	results := b.spilloverOf(stats.service).results
	if results[stats.region] == nil {
		results[stats.region] = &attemptRates{}
	}
	results[stats.region].observe(b.now(), result == Rejected)
}

// zoneState is what one call of Choose knows about a zone.
type zoneState struct {
	class  distance.Class
	region string
	// candidates is the number of candidates in the zone. extraLatency and rank describe the
	// latency to the zone, rejectedShare its region. They are only set for zones with candidates.
	candidates    int
	extraLatency  time.Duration
	rank          int
	rejectedShare float64
}

// zoneStateOf returns the state of a zone. The mutex must be held.
func (b *Balancer) zoneStateOf(zone string) *zoneState {
	state := b.zones[zone]
	if state == nil {
		state = &zoneState{class: b.places.Class(zone), region: b.places.Region(zone)}
		b.zones[zone] = state
	}
	return state
}

// filterByRegion returns the candidates of the region that the request goes to, and the reason. The
// mutex must be held.
func (b *Balancer) filterByRegion(choice *choice, candidates []candidate) ([]candidate, RegionReason) {
	if !b.places.MultiRegion() {
		return candidates, LocalRegion
	}
	reason := b.regionReason(choice, candidates)
	if reason == LocalRegion {
		return filterByZone(candidates, func(zone *zoneState) bool { return zone.class != distance.OtherRegion }), reason
	}
	nearest := math.MaxInt
	for _, zone := range b.zones {
		if zone.candidates > 0 && zone.class == distance.OtherRegion {
			nearest = min(nearest, zone.rank)
		}
	}
	return filterByZone(candidates, func(zone *zoneState) bool {
		return zone.class == distance.OtherRegion && zone.rank == nearest
	}), reason
}

// regionReason determines whether the request stays in the local region, and why. The mutex must be
// held.
func (b *Balancer) regionReason(choice *choice, candidates []candidate) RegionReason {
	spillover := b.spilloverOf(choice.request.Service)
	if choice.localTried == 0 && !choice.request.Filtered {
		spillover.observe(choice.now, choice.request.PriorityRank)
	}
	b.updateZones(choice.now, spillover, candidates)
	state, localCount, remoteCount := b.regionState(choice, spillover)
	if remoteCount == 0 {
		return LocalRegion
	}
	if !choice.request.Filtered {
		spillover.update(b.policy, choice.now, state)
	}
	switch {
	case localCount == 0 && choice.localTried > 0:
		return LocalRejected
	case localCount == 0:
		return NoLocalWorker
	case choice.request.Remaining > 0 && choice.request.Remaining < minRemainingFactor*state.extraLatency:
		return LocalRegion
	case choice.localTried >= minLocalRejections:
		return LocalRejected
	case spillover.includes(choice.now, choice.request.PriorityRank, b.affinityPosition(choice.request.Affinity)):
		return Spillover
	}
	return LocalRegion
}

// fullRegionRankPenalty is added to the rank of zones in full regions, which places them after all
// others.
const fullRegionRankPenalty = 1 << 20

// updateZones counts the candidates of each zone and updates the state of zones with candidates.
// The mutex must be held.
func (b *Balancer) updateZones(now time.Time, spillover *spillover, candidates []candidate) {
	for _, zone := range b.zones {
		zone.candidates = 0
	}
	for i := range candidates {
		candidates[i].zone.candidates++
	}
	view := b.times.View()
	for name, zone := range b.zones {
		if zone.candidates == 0 {
			continue
		}
		zone.extraLatency, zone.rank, zone.rejectedShare = view.ExtraLatency(name), view.Rank(name), spillover.rejectedShare(now, zone.region)
		if zone.rejectedShare > fullRejectedShare {
			zone.rank += fullRegionRankPenalty
		}
	}
}

// regionState returns the input for the spillover policy and the numbers of candidates in the local
// and in other regions. The mutex must be held.
func (b *Balancer) regionState(choice *choice, spillover *spillover) (state regionState, localCount, remoteCount int) {
	state.localRejectedShare, state.typicalLatency = spillover.rejectedShare(choice.now, b.places.Region(b.places.OwnZone())), choice.request.TypicalLatency
	for _, zone := range b.zones {
		switch {
		case zone.candidates == 0:
			continue
		case zone.class != distance.OtherRegion:
			localCount += zone.candidates
			continue
		case remoteCount == 0:
			state.extraLatency, state.remoteRejectedShare = zone.extraLatency, zone.rejectedShare
		default:
			state.extraLatency, state.remoteRejectedShare = min(state.extraLatency, zone.extraLatency), min(state.remoteRejectedShare, zone.rejectedShare)
		}
		remoteCount += zone.candidates
	}
	if choice.localListed > 0 {
		state.usableShare = float64(localCount+choice.localTried) / float64(choice.localListed)
	}
	return state, localCount, remoteCount
}

// affinityPosition maps an affinity to a position between 0 and 1. It is the same at all gateways,
// so the same requests leave everywhere. Requests without affinity get random positions. The mutex
// must be held.
func (b *Balancer) affinityPosition(affinity string) float64 {
	const bits = 32
	ranking := b.rankingFor(affinity)
	return float64(ranking.rank("")>>bits) / (1 << bits)
}

// hasRegionAffinity reports whether the request goes to the same worker from all zones of the
// region.
func (b *Balancer) hasRegionAffinity(choice *choice, candidates []candidate) bool {
	return b.places.MultiRegion() && choice.request.Affinity != "" && len(candidates) <= maxRegionAffinityWorkers
}

// filterByZone returns the candidates of matching zones in the same slice.
func filterByZone(candidates []candidate, matches func(zone *zoneState) bool) []candidate {
	kept := candidates[:0]
	for i := range candidates {
		if matches(candidates[i].zone) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}
