// Package balance chooses the worker of an attempt out of what one gateway
// knows: the workers listed, its own requests under way and how its last ones
// ended. No gateway asks another: requests of a program prefer the worker that
// its hash ranks first, which is the same at every gateway, or at every gateway of
// a zone where there are so many workers that each gateway would have requests for
// one of them only now and then.
package balance

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

const (
	// failureWeight is how much the last attempt counts in a worker's share of
	// failures; from ejectShare on the worker is ejected: after two failures in a
	// row, or when about half of the attempts fail.
	failureWeight = 0.3
	ejectShare    = 0.5
	// returnShare is the share of failures that a worker comes back with: one
	// more failure ejects it again.
	returnShare = 0.35
	// goodShare is the share below which a worker's ejections are forgotten.
	goodShare  = 0.05
	firstEject = 800 * time.Millisecond
	lastEject  = 5 * time.Second
	// maxEjected is the share of a service's workers that may be ejected; beyond
	// it all take work, whatever their record: then it is load, not the workers.
	maxEjected = 0.5
	// affinitySlack is how many more requests than the least loaded worker the
	// preferred worker may have under way here.
	affinitySlack = 2
)

// Request is what the choice depends on.
type Request struct {
	// Affinity is shared by requests that profit from the same worker; "" has
	// no preference.
	Affinity string
	// Service is what the workers belong to.
	Service string
	// Tried are workers that this request is not to go to again.
	Tried map[string]bool
	// Connected reports whether an idle connection to a worker's address is open; nil
	// reports none.
	Connected func(address string) bool
}

// Balancer keeps the record of each worker. It is safe for concurrent use.
type Balancer struct {
	now func() time.Time
	// zone is this process's own; empty prefers no worker for its zone.
	zone   string
	mutex  sync.Mutex
	record map[string]*record
	rates  map[string]*requestRate
	// observed is what was seen of workers and not told to others yet.
	observed map[string]*Observation
	turn     uint64
}

type record struct {
	underWay int
	// failing is the share of failures of the last attempts, the newest first.
	failing float64
	ejects  int
	// ejectedUntil is zero for workers in good standing.
	ejectedUntil time.Time
	// suspectUntil ends the time for which others have found the worker slow or
	// failing.
	suspectUntil time.Time
	pace         pace
}

// New returns a balancer of a process in a zone.
func New(now func() time.Time, zone string) *Balancer {
	return &Balancer{
		now: now, zone: zone, record: make(map[string]*record), rates: make(map[string]*requestRate),
		observed: make(map[string]*Observation),
	}
}

type candidate struct {
	worker directory.Listed
	load   int
	rank   uint64
}

// Choose returns a worker and counts the request as under way there, or false
// if there is none. Done must be called for it.
func (b *Balancer) Choose(workers []directory.Listed, request Request) (directory.Worker, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.turn++
	b.rateOf(request.Service).count(b.now())
	candidates := b.candidates(workers, request)
	if len(candidates) == 0 {
		return directory.Worker{}, false
	}
	if near := b.nearFirst(candidates, request, zonesOf(workers)); len(near) > 0 {
		candidates = near
	}
	best := pick(candidates, request)
	b.of(best.worker.ID).underWay++
	return best.worker.Worker, true
}

// zonesOf returns how many workers each zone has.
func zonesOf(workers []directory.Listed) map[string]int {
	zones := make(map[string]int)
	for _, worker := range workers {
		zones[worker.Zone]++
	}
	return zones
}

// pick returns the first candidate by rank that has not clearly more under way
// than the least loaded one.
func pick(candidates []candidate, request Request) candidate {
	least := math.MaxInt
	for _, each := range candidates {
		least = min(least, each.load)
	}
	slack := 0
	if request.Affinity != "" {
		slack = affinitySlack
	}
	for _, each := range candidates {
		if each.load <= least+slack {
			return each
		}
	}
	return candidates[0]
}

// candidates returns the workers that may be chosen, by rank. Ejected and slow
// workers are left out, unless they are more than maxEjected of the service.
func (b *Balancer) candidates(workers []directory.Listed, request Request) []candidate {
	now := b.now()
	typical := b.typicalPace(now, workers)
	var usable, lapsed, ejected []candidate
	for _, worker := range workers {
		if request.Tried[worker.ID] {
			continue
		}
		known := b.of(worker.ID)
		each := candidate{worker: worker, load: known.underWay, rank: b.rank(request.Affinity, worker.ID)}
		switch {
		case worker.Lapsed:
			lapsed = append(lapsed, each)
		case now.Before(known.ejectedUntil), now.Before(known.suspectUntil), known.pace.slow(now, typical):
			ejected = append(ejected, each)
		default:
			usable = append(usable, each)
		}
	}
	if float64(len(ejected)) > maxEjected*float64(len(usable)+len(ejected)) {
		usable = append(usable, ejected...)
		ejected = nil
	}
	for _, reserve := range [][]candidate{lapsed, ejected} {
		if len(usable) == 0 {
			usable = reserve
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].rank < usable[j].rank })
	return usable
}

func (b *Balancer) rank(affinity, worker string) uint64 {
	digest := xxhash.New()
	if affinity == "" {
		var turn [8]byte
		for i := range turn {
			turn[i] = byte(b.turn >> (8 * i))
		}
		digest.Write(turn[:])
	} else {
		digest.WriteString(affinity)
	}
	digest.WriteString("/")
	digest.WriteString(worker)
	return digest.Sum64()
}

func (b *Balancer) of(worker string) *record {
	known := b.record[worker]
	if known == nil {
		known = &record{}
		b.record[worker] = known
	}
	return known
}

// Begin counts a request as under way at a worker that was not chosen by
// Choose. Done must be called for it.
func (b *Balancer) Begin(worker string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(worker).underWay++
}

// UnderWay returns how many requests of this process a worker has.
func (b *Balancer) UnderWay(worker string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.record[worker]; known != nil {
		return known.underWay
	}
	return 0
}

// Verdict is how an attempt at a worker ended.
type Verdict int

// The verdicts.
const (
	// Served attempts got an answer of the worker's own.
	Served Verdict = iota
	// Turned away attempts met a worker that is full.
	TurnedAway
	// Failed attempts got no answer, or a broken one.
	Failed
	// Unreachable attempts never reached the worker.
	Unreachable
	// Erring attempts got an answer that tells of a failure of the worker's own.
	Erring
	// Abandoned attempts were cancelled from here.
	Abandoned
)

var verdictNames = [...]string{"served", "turned_away", "failed", "unreachable", "erring", "abandoned"}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Done ends an attempt that Choose began, and reports whether the worker was
// ejected by it.
func (b *Balancer) Done(worker string, verdict Verdict) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.of(worker)
	known.underWay--
	b.observe(worker, verdict)
	switch verdict {
	case Served, TurnedAway:
		known.failing *= 1 - failureWeight
		if known.failing < goodShare {
			known.ejects = 0
		}
	case Failed, Erring:
		return b.failed(known)
	case Unreachable:
		known.failing = max(known.failing, returnShare)
		return b.failed(known)
	case Abandoned:
	}
	return false
}

// Silent notes that an attempt has waited for longer than it should, and reports
// whether the worker was ejected by it. The attempt goes on.
func (b *Balancer) Silent(worker string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failed(b.of(worker))
}

// failed counts a failure and ejects a worker that has too many.
func (b *Balancer) failed(known *record) bool {
	known.failing += failureWeight * (1 - known.failing)
	if known.failing < ejectShare || b.now().Before(known.ejectedUntil) {
		return false
	}
	known.ejectedUntil = b.now().Add(min(lastEject, firstEject<<min(known.ejects, 8)))
	known.ejects++
	known.failing = returnShare
	return true
}

// Forget drops the records of workers that are not listed and have nothing
// under way.
func (b *Balancer) Forget(listed func(worker string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, known := range b.record {
		if known.underWay == 0 && !listed(id) {
			delete(b.record, id)
		}
	}
}
