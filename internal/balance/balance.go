// Package balance chooses the worker of an attempt out of what one gateway
// knows: the workers listed, its own requests under way and how its last ones
// ended. No gateway asks another: requests of a program prefer the worker that
// its hash ranks first, which is the same at every gateway, or at every gateway of
// a zone where there are so many workers that each gateway would have requests for
// one of them only now and then. Where workers lie in several regions it is the same
// at every gateway of a region; other regions take the share of requests that the own
// one has no room for.
package balance

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/distance"
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
	// Filtered is set where workers are left out of the list for reasons of this request
	// alone, so that the list says nothing of what a region has left.
	Filtered bool
	// PriorityRank ranks the request among others of its service, 0 first. Where the own region
	// has no room for all, the least urgent leave it first.
	PriorityRank int
	// Remaining is how much time the request has; 0 is unknown.
	Remaining time.Duration
	// TypicalLatency is how long workers of the service usually take to begin an answer; 0 is
	// unknown.
	TypicalLatency time.Duration
	// HasIdleConnection reports whether an idle connection to a worker's address is open; nil
	// reports none.
	HasIdleConnection func(address string) bool
}

// Balancer keeps the record of each worker. It is safe for concurrent use.
type Balancer struct {
	now func() time.Time
	// zone is this process's own; empty prefers no worker for its zone.
	zone string
	// places and times tell which region a worker is in and how far that is; where all are
	// in one, nothing depends on them.
	places distance.Topology
	times  *distance.ZoneLatencies
	rule   spillRule

	mutex  sync.Mutex
	record map[string]*record
	rates  map[string]*requestRate
	// spills are the shares of each service's requests that leave the own region.
	spills map[string]*spill
	// zones are those that workers were listed in; used by one choice at a time.
	zones map[string]*zoneField
	// observed is what was seen of workers and not told to others yet.
	observed map[string]*Observation
	turn     uint64

	// field, narrowed and paces are used by one choice at a time.
	field, narrowed []candidate
	paces           []float64
}

type record struct {
	inFlight int
	// failing is the share of failures of the last attempts, the newest first.
	failing float64
	ejects  int
	// ejectedUntil is zero for workers in good standing.
	ejectedUntil time.Time
	// suspectUntil ends the time for which others have found the worker slow or
	// failing.
	suspectUntil time.Time
	pace         pace
	// service and region are those of the last request that was sent there.
	service, region string
}

// New returns a balancer of a process in a zone, for workers that are all in one region.
func New(now func() time.Time, zone string) *Balancer {
	return NewMultiRegion(now, zone, distance.NewZoneLatencies(distance.NewTopology(zone, nil)), distance.Topology{})
}

// NewMultiRegion returns a balancer for workers in several regions. times measures the ways to
// workers; the workers of zone come first where there are many.
func NewMultiRegion(now func() time.Time, zone string, times *distance.ZoneLatencies, places distance.Topology) *Balancer {
	return &Balancer{
		now: now, zone: zone, places: places, times: times, rule: byCost{},
		record: make(map[string]*record), rates: make(map[string]*requestRate), spills: make(map[string]*spill), zones: make(map[string]*zoneField),
		observed: make(map[string]*Observation),
	}
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
	b.of(worker).inFlight++
}

// InFlight returns how many requests of this process a worker has.
func (b *Balancer) InFlight(worker string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known := b.record[worker]; known != nil {
		return known.inFlight
	}
	return 0
}

// AttemptResult is how an attempt at a worker ended.
type AttemptResult int

// The verdicts.
const (
	// Served attempts got an answer of the worker's own.
	Served AttemptResult = iota
	// Turned away attempts met a worker that is full.
	Rejected
	// Failed attempts got no answer, or a broken one.
	Failed
	// Unreachable attempts never reached the worker.
	Unreachable
	// WorkerError attempts got an answer that tells of a failure of the worker's own.
	WorkerError
	// Canceled attempts were cancelled from here.
	Canceled
)

var verdictNames = [...]string{"served", "turned_away", "failed", "unreachable", "erring", "abandoned"}

// String returns the verdict's name in logs and metrics.
func (v AttemptResult) String() string { return verdictNames[v] }

// Done ends an attempt that Choose began, and reports whether the worker was
// ejected by it.
func (b *Balancer) Done(worker string, verdict AttemptResult) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.of(worker)
	known.inFlight--
	b.observe(worker, verdict)
	b.observeRegion(known, verdict)
	switch verdict {
	case Served, Rejected:
		known.failing *= 1 - failureWeight
		if known.failing < goodShare {
			known.ejects = 0
		}
	case Failed, WorkerError:
		return b.failed(known)
	case Unreachable:
		known.failing = max(known.failing, returnShare)
		return b.failed(known)
	case Canceled:
	}
	return false
}

// RecordLateStart notes that an attempt has waited for longer than it should, and reports
// whether the worker was ejected by it. The attempt goes on.
func (b *Balancer) RecordLateStart(worker string) bool {
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

// Prune drops the records of workers that are not listed and have nothing
// under way.
func (b *Balancer) Prune(listed func(worker string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, known := range b.record {
		if known.inFlight == 0 && !listed(id) {
			delete(b.record, id)
		}
	}
}
