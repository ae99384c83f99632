package balance

import (
	"math"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/distance"
)

const (
	// endsMemory is the time over which answers of a region's workers are counted: a gateway
	// with two requests a second sees several.
	endsMemory = 4 * time.Second
	// endsDoubt is how many answers that no worker turned away are added to those that were
	// counted, so that one request at an idle gateway is no reason to leave the region.
	endsDoubt = 3
	// homeTries is how many workers of the own region must have turned a request away before
	// it may leave by itself: each of these tries costs it less than one way to another
	// region.
	homeTries = 4
	// leftFactor is how many times the way there and back a request must have left to leave
	// its region while there are workers at home: less would be spent on the way.
	leftFactor = 4
	// sharedWorkers is up to how many workers of a region the requests of a program go to the
	// same one from all of the region's zones. With more, each zone has its own where
	// connections would not be kept open.
	sharedWorkers = 256
)

// spill is which share of a service's requests leaves the own region.
type spill struct {
	share float64
	at    time.Time
	// ends are how attempts ended, by region.
	ends map[string]*attemptEnds
	// kinds are the rates of requests by urgency.
	kinds map[int]*fadingRate
}

// attemptEnds are the rates of attempts at the workers of one region.
type attemptEnds struct{ all, turnedAway fadingRate }

// note takes the end of an attempt.
func (e *attemptEnds) note(now time.Time, turnedAway bool) {
	e.all.count(now, endsMemory)
	if turnedAway {
		e.turnedAway.count(now, endsMemory)
	}
}

// refused returns the share of attempts that were turned away.
func (e *attemptEnds) refused(now time.Time) float64 {
	return e.turnedAway.now(now, endsMemory) / (e.all.now(now, endsMemory) + endsDoubt/endsMemory.Seconds())
}

// sight is what is known where the share is decided.
type sight struct {
	// usable is the share of the own region's workers that may be used.
	usable float64
	// refused is the share of attempts that workers of the own region turned away, elsewhere
	// the least such share of the other regions.
	refused, elsewhere float64
	// extra is how much longer the way to the nearest other region is, usual how long
	// workers take to begin an answer.
	extra, usual time.Duration
}

// spillRule is a way to decide the share of requests that leaves the own region.
type spillRule interface {
	// next returns the share after a time.
	next(share float64, elapsed time.Duration, seen sight) float64
}

const (
	// fullRefused is the share of attempts turned away from which on a region is full for
	// requests of other regions: they go to the next one first.
	fullRefused = 0.3
	// riseRate is how much the share rises a second at most: answers of endsMemory ago still
	// count, so a faster one would go on rising after there is room.
	riseRate = 0.5
	// fallRate is how much it falls a second at most. It is slow: what has left has its
	// prompts elsewhere, and workers that come back have none.
	fallRate = 0.08
	// leastUsual is the least time that an answer is taken to take where nothing is known:
	// callers notice no less.
	leastUsual = time.Millisecond
	// longestStep bounds the time for which a share moves at once: nothing was seen in a
	// longer one.
	longestStep = time.Second
)

// ill returns the share that the usable workers of a region leave to others: none while
// most are usable, and all where none is.
func ill(usable float64) float64 { return max(0, 1-usable/nearUsable) }

// byCost lets requests leave while an attempt at home is expected to take longer than one
// elsewhere: the wait for a place, the way, and reading the prompt anew, which takes about
// as long as workers usually take to begin an answer. The share rises and falls by the
// difference, so that all processes that see the same come to rest where both take alike.
type byCost struct{}

func (byCost) next(share float64, elapsed time.Duration, seen sight) float64 {
	step := min(elapsed, longestStep).Seconds()
	usual := max(seen.usual, seen.extra, leastUsual)
	home, away := expectedWait(seen.refused, usual), seen.extra+usual+expectedWait(seen.elsewhere, usual)
	gain := float64(home-away) / float64(away)
	share += step * min(riseRate, max(-fallRate, riseRate*gain))
	return max(ill(seen.usable), min(1, max(0, share)))
}

// expectedWait is how long a request waits for a place where a share of attempts is turned
// away.
func expectedWait(refused float64, usual time.Duration) time.Duration {
	const most = 0.95
	refused = min(refused, most)
	return time.Duration(refused / (1 - refused) * float64(usual))
}

// advance moves the share to a moment.
func (s *spill) advance(rule spillRule, now time.Time, seen sight) {
	if s.at.IsZero() {
		s.at = now
	}
	s.share = rule.next(s.share, now.Sub(s.at), seen)
	s.at = now
}

// leaves reports whether a request at a place between 0 and 1 among those of its kind is of
// the share that leaves: all of the least urgent kinds before any of a more urgent one.
func (s *spill) leaves(now time.Time, urgency int, place float64) bool {
	if s.share <= 0 || s.share >= 1 {
		return s.share >= 1
	}
	var all, lessUrgent, own float64
	for kind, rate := range s.kinds {
		perSecond := rate.now(now, slowRateMemory)
		all += perSecond
		switch {
		case kind > urgency:
			lessUrgent += perSecond
		case kind == urgency:
			own = perSecond
		}
	}
	return place*own < s.share*all-lessUrgent
}

// count notes a request of an urgency.
func (s *spill) count(now time.Time, urgency int) {
	rate := s.kinds[urgency]
	if rate == nil {
		rate = &fadingRate{}
		s.kinds[urgency] = rate
	}
	rate.count(now, slowRateMemory)
}

// refused returns the share of attempts that a region's workers turned away.
func (s *spill) refused(now time.Time, region string) float64 {
	if ends := s.ends[region]; ends != nil {
		return ends.refused(now)
	}
	return 0
}

// spillOf returns the share of a service. The mutex is held.
func (b *Balancer) spillOf(service string) *spill {
	known := b.spills[service]
	if known == nil {
		known = &spill{ends: make(map[string]*attemptEnds), kinds: make(map[int]*fadingRate)}
		b.spills[service] = known
	}
	return known
}

// observeRegion notes how an attempt at a worker ended. The mutex is held.
func (b *Balancer) observeRegion(known *record, verdict AttemptResult) {
	if known.region == "" || verdict == Canceled {
		return
	}
	ends := b.spillOf(known.service).ends
	if ends[known.region] == nil {
		ends[known.region] = &attemptEnds{}
	}
	ends[known.region].note(b.now(), verdict == Rejected)
}

// zoneField is what one choice knows of a zone.
type zoneField struct {
	class  distance.Class
	region string
	// candidates counts the zone's, extra, rank and refused are those of the way there and of
	// the region's workers. They are filled in for zones with candidates.
	candidates int
	extra      time.Duration
	rank       int
	refused    float64
}

// zoneField returns the field of a zone. The mutex is held.
func (b *Balancer) zoneField(zone string) *zoneField {
	known := b.zones[zone]
	if known == nil {
		known = &zoneField{class: b.places.Class(zone), region: b.places.Region(zone)}
		b.zones[zone] = known
	}
	return known
}

// byRegion returns the candidates of the region that a request goes to, and why. The mutex
// is held.
func (b *Balancer) byRegion(choice *choice, candidates []candidate) ([]candidate, RegionReason) {
	if !b.places.MultiRegion() {
		return candidates, LocalRegion
	}
	load := b.loadOf(choice, candidates)
	if load == LocalRegion {
		return keep(candidates, func(zone *zoneField) bool { return zone.class != distance.OtherRegion }), load
	}
	nearest := math.MaxInt
	for _, zone := range b.zones {
		if zone.candidates > 0 && zone.class == distance.OtherRegion {
			nearest = min(nearest, zone.rank)
		}
	}
	return keep(candidates, func(zone *zoneField) bool {
		return zone.class == distance.OtherRegion && zone.rank == nearest
	}), load
}

// loadOf returns what a request is a part of. The mutex is held.
func (b *Balancer) loadOf(choice *choice, candidates []candidate) RegionReason {
	spill := b.spillOf(choice.request.Service)
	if choice.homeTried == 0 && !choice.request.Filtered {
		spill.count(choice.now, choice.request.PriorityRank)
	}
	b.fillZones(choice.now, spill, candidates)
	seen, home, elsewhere := b.look(choice, spill)
	if elsewhere == 0 {
		return LocalRegion
	}
	if !choice.request.Filtered {
		spill.advance(b.rule, choice.now, seen)
	}
	switch {
	case home == 0 && choice.homeTried > 0:
		return LocalRejected
	case home == 0:
		return NoLocalWorker
	case choice.request.Remaining > 0 && choice.request.Remaining < leftFactor*seen.extra:
		return LocalRegion
	case choice.homeTried >= homeTries:
		return LocalRejected
	case spill.leaves(choice.now, choice.request.PriorityRank, b.place(choice.request.Affinity)):
		return Spillover
	}
	return LocalRegion
}

// fullRank is added to the rank of zones whose workers turn many requests away: they come
// after all others.
const fullRank = 1 << 20

// fillZones counts the candidates of each zone and fills in what is known of those that have
// any. The mutex is held.
func (b *Balancer) fillZones(now time.Time, spill *spill, candidates []candidate) {
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
		zone.extra, zone.rank, zone.refused = view.ExtraLatency(name), view.Rank(name), spill.refused(now, zone.region)
		if zone.refused > fullRefused {
			zone.rank += fullRank
		}
	}
}

// look returns what is known of the own region and of the nearest others, and how many
// candidates there are in either. The mutex is held.
func (b *Balancer) look(choice *choice, spill *spill) (seen sight, home, elsewhere int) {
	seen.refused, seen.usual = spill.refused(choice.now, b.places.Region(b.places.OwnZone())), choice.request.TypicalLatency
	for _, zone := range b.zones {
		switch {
		case zone.candidates == 0:
			continue
		case zone.class != distance.OtherRegion:
			home += zone.candidates
			continue
		case elsewhere == 0:
			seen.extra, seen.elsewhere = zone.extra, zone.refused
		default:
			seen.extra, seen.elsewhere = min(seen.extra, zone.extra), min(seen.elsewhere, zone.refused)
		}
		elsewhere += zone.candidates
	}
	if choice.homeListed > 0 {
		seen.usable = float64(home+choice.homeTried) / float64(choice.homeListed)
	}
	return seen, home, elsewhere
}

// place returns where a program is between 0 and 1, alike at all gateways, so that the same
// programs leave; requests without affinity are anywhere. The mutex is held.
func (b *Balancer) place(affinity string) float64 {
	const bits = 32
	ranks := b.ranks(affinity)
	return float64(ranks.of("")>>bits) / (1 << bits)
}

// sharedByRegion reports whether a request goes to the same worker from all zones of the
// region.
func (b *Balancer) sharedByRegion(choice *choice, candidates []candidate) bool {
	return b.places.MultiRegion() && choice.request.Affinity != "" && len(candidates) <= sharedWorkers
}

// keep returns the candidates of wanted zones, in the same memory.
func keep(candidates []candidate, wanted func(zone *zoneField) bool) []candidate {
	kept := candidates[:0]
	for i := range candidates {
		if wanted(candidates[i].zone) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}
