// Package balance chooses the worker for an attempt from what one gateway knows: the available
// workers, its own requests in flight and the results of its recent attempts. Gateways do not
// coordinate.
//
// Requests with the same affinity prefer the worker that the hash of the affinity ranks first. It
// is the same worker at every gateway. With so many workers that a gateway would rarely send two
// successive requests to the same one, it is only the same at the gateways of a zone. With workers
// in several regions, it is the same at every gateway of a region, and other regions serve the
// requests for which the local region has no capacity.
package balance

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/distance"
)

const (
	// failureWeight is the weight of the last attempt in the moving average of a worker's failures.
	// A worker is ejected when the average reaches ejectFailureRate: after two consecutive
	// failures, or when about half of the attempts fail.
	failureWeight    = 0.3
	ejectFailureRate = 0.5
	// readmitFailureRate is the failure rate of a worker after its ejection; one more failure
	// ejects it again.
	readmitFailureRate = 0.35
	// healthyFailureRate is the failure rate below which a worker's past ejections are reset.
	healthyFailureRate = 0.05
	initialEjection    = 800 * time.Millisecond
	maxEjection        = 5 * time.Second
	// maxEjectedShare is the maximum share of a service's workers that may be ejected. If more are,
	// the cause is load rather than the workers, and all of them are used.
	maxEjectedShare = 0.5
	// affinitySlack is how many more requests in flight than the least loaded worker the worker
	// preferred by affinity may have.
	affinitySlack = 2
)

// Request describes the request that a worker is chosen for.
type Request struct {
	// Affinity is equal for requests that benefit from using the same worker. "" means no
	// preference.
	Affinity string
	// Service is the service of the workers.
	Service string
	// Tried contains the workers that must not be chosen because they were tried before.
	Tried map[string]bool
	// Filtered is set if workers were removed from the list for reasons specific to this request.
	// The list then does not show the remaining capacity of a region.
	Filtered bool
	// PriorityRank orders the requests of a service; 0 is the most urgent. When the local region
	// has not enough capacity, the requests with the highest ranks leave it first.
	PriorityRank int
	// Remaining is the time until the deadline of the request, or 0 if it is unknown.
	Remaining time.Duration
	// TypicalLatency is how long workers of the service usually take to begin a response, or 0 if
	// it is unknown.
	TypicalLatency time.Duration
	// HasIdleConnection reports whether an idle connection to a worker's address is open. nil means
	// that there are none.
	HasIdleConnection func(address string) bool
}

// Balancer tracks the workers and chooses among them. It is safe for concurrent use.
type Balancer struct {
	now func() time.Time
	// zone is the zone of this process. If it is empty, no worker is preferred for its zone.
	zone string
	// places and times provide the region of a worker and the latency to it. They have no effect if
	// all workers are in one region.
	places distance.Topology
	times  *distance.ZoneLatencies
	policy spilloverPolicy

	mutex sync.Mutex
	stats map[string]*workerStats
	rates map[string]*requestRate
	// spillovers are the shares of requests that leave the local region, by service.
	spillovers map[string]*spillover
	// zones is the state of all zones of workers during the current call of Choose.
	zones map[string]*zoneState
	// observations are the results per worker that have not been reported yet.
	observations map[string]*Observation
	choices      uint64

	// The buffers are reused by each call of Choose to avoid allocations.
	candidateBuffer, localBuffer []candidate
	latencyBuffer                []float64
}

type workerStats struct {
	inFlight int
	// failureRate is the moving average of failed attempts.
	failureRate float64
	ejections   int
	// ejectedUntil is the end of the current or last ejection. It is zero if the worker was never
	// ejected.
	ejectedUntil time.Time
	// suspectUntil is the end of the time for which the worker is avoided because the gateways of a
	// zone together found it slow or failing.
	suspectUntil time.Time
	latency      latencyAverage
	// service and region belong to the last request that was sent to the worker.
	service, region string
}

// New returns a balancer for workers in a single region.
func New(now func() time.Time, zone string) *Balancer {
	return NewMultiRegion(now, zone, distance.NewZoneLatencies(distance.NewTopology(zone, nil)), distance.Topology{})
}

// NewMultiRegion returns a balancer for workers in several regions. times measures the latency to
// other zones. Workers of zone are preferred when there are many workers.
func NewMultiRegion(now func() time.Time, zone string, times *distance.ZoneLatencies, places distance.Topology) *Balancer {
	return &Balancer{
		now: now, zone: zone, places: places, times: times, policy: costPolicy{},
		stats: make(map[string]*workerStats), rates: make(map[string]*requestRate), spillovers: make(map[string]*spillover), zones: make(map[string]*zoneState),
		observations: make(map[string]*Observation),
	}
}

func (b *Balancer) statsOf(worker string) *workerStats {
	stats := b.stats[worker]
	if stats == nil {
		stats = &workerStats{}
		b.stats[worker] = stats
	}
	return stats
}

// Begin counts a request in flight at a worker that was not chosen by Choose. Done must be called
// for it.
func (b *Balancer) Begin(worker string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.statsOf(worker).inFlight++
}

// InFlight returns the number of requests of this process that a worker is processing.
func (b *Balancer) InFlight(worker string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if stats := b.stats[worker]; stats != nil {
		return stats.inFlight
	}
	return 0
}

// AttemptResult is the result of an attempt to send a request to a worker.
type AttemptResult int

// The results.
const (
	// Served attempts got a response from the worker that reports no failure of the worker itself.
	Served AttemptResult = iota
	// Rejected attempts were rejected because the worker is at its limit.
	Rejected
	// Failed attempts got no response or an incomplete one.
	Failed
	// Unreachable attempts could not connect to the worker.
	Unreachable
	// WorkerError attempts got a response that reports a failure of the worker itself.
	WorkerError
	// Canceled attempts were canceled by this process.
	Canceled
)

var attemptResultNames = [...]string{"served", "turned_away", "failed", "unreachable", "erring", "abandoned"}

// String returns the name of the result in logs and metrics.
func (r AttemptResult) String() string { return attemptResultNames[r] }

// Done ends an attempt that was started by Choose or Begin, and reports whether it caused the
// ejection of the worker.
func (b *Balancer) Done(worker string, result AttemptResult) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	stats := b.statsOf(worker)
	stats.inFlight--
	b.recordResult(worker, result)
	b.recordRegionResult(stats, result)
	switch result {
	case Served, Rejected:
		stats.failureRate *= 1 - failureWeight
		if stats.failureRate < healthyFailureRate {
			stats.ejections = 0
		}
	case Failed, WorkerError:
		return b.recordFailure(stats)
	case Unreachable:
		stats.failureRate = max(stats.failureRate, readmitFailureRate)
		return b.recordFailure(stats)
	case Canceled:
	}
	return false
}

// RecordLateStart counts a failure for an attempt whose response is late, and reports whether that
// ejected the worker. The attempt continues.
func (b *Balancer) RecordLateStart(worker string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.recordFailure(b.statsOf(worker))
}

// recordFailure counts a failure and ejects the worker if its failure rate is too high. The mutex
// must be held.
func (b *Balancer) recordFailure(stats *workerStats) bool {
	stats.failureRate += failureWeight * (1 - stats.failureRate)
	if stats.failureRate < ejectFailureRate || b.now().Before(stats.ejectedUntil) {
		return false
	}
	stats.ejectedUntil = b.now().Add(min(maxEjection, initialEjection<<min(stats.ejections, 8)))
	stats.ejections++
	stats.failureRate = readmitFailureRate
	return true
}

// Prune removes the workers that are not listed and have no requests in flight.
func (b *Balancer) Prune(listed func(worker string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, stats := range b.stats {
		if stats.inFlight == 0 && !listed(id) {
			delete(b.stats, id)
		}
	}
}
