package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSubsetSize is the minimum number of workers of each zone that a process chooses from. A
	// small subset increases prompt cache hits and connection reuse. Half of a subset of 32 can
	// fail while a zone of the users' fleet, with 100 turns per second, fills at most a third of
	// the capacity of the others.
	minSubsetSize = 32
	// subsetWindow is the time constant of the attempt rates. subsetPrior is the number of
	// successful attempts added to them, so that a single rejection does not grow a subset.
	subsetWindow = 4 * time.Second
	subsetPrior  = 10
	// growFailureShare is the share of rejected or failed attempts above which a subset is doubled.
	// minGrowInterval is the minimum time between two increases, in which the last one can take
	// effect.
	growFailureShare = 0.1
	minGrowInterval  = 500 * time.Millisecond
	// shrinkDelay is how long few attempts must have been rejected or failed before a subset is
	// halved. It is long because moving conversations away from a worker loses their cached
	// prompts.
	shrinkDelay = 30 * time.Second
)

// SubsetSizes determines, for each service, from how many workers of each zone this process
// chooses. It matters only in large fleets: in a small one, all workers are in the subset. It is
// safe for concurrent use.
type SubsetSizes struct {
	now      func() time.Time
	services sync.Map
}

// subsetSize is the subset size of one service.
type subsetSize struct {
	size  atomic.Int64
	mutex sync.Mutex
	// all and failed are the rates of all attempts and of those that were rejected or failed.
	all, failed decayingRate
	// changedAt is the time of the last change of the size. pressuredAt is when the share of
	// failures last exceeded half of growFailureShare.
	changedAt, pressuredAt time.Time
}

// NewSubsetSizes returns sizes without any observations.
func NewSubsetSizes(now func() time.Time) *SubsetSizes { return &SubsetSizes{now: now} }

// Size returns the current subset size of a service.
func (s *SubsetSizes) Size(service string) int { return int(s.forService(service).size.Load()) }

func (s *SubsetSizes) forService(service string) *subsetSize {
	if size, found := s.services.Load(service); found {
		return size.(*subsetSize)
	}
	created := &subsetSize{changedAt: s.now()}
	created.size.Store(minSubsetSize)
	size, _ := s.services.LoadOrStore(service, created)
	return size.(*subsetSize)
}

// Observe records the result of an attempt at a worker of a service that has the given number of
// workers.
func (s *SubsetSizes) Observe(service string, result AttemptResult, workers int) {
	if result == Canceled {
		return
	}
	size, now := s.forService(service), s.now()
	size.mutex.Lock()
	defer size.mutex.Unlock()
	size.all.observe(now, subsetWindow)
	if result == Rejected || result == Failed || result == Unreachable {
		size.failed.observe(now, subsetWindow)
	}
	size.size.Store(size.nextSize(now, int64(workers)))
}

// nextSize returns the size after an attempt. The mutex must be held.
func (s *subsetSize) nextSize(now time.Time, workers int64) int64 {
	size := s.size.Load()
	share := s.failed.perSecond(now, subsetWindow) / (s.all.perSecond(now, subsetWindow) + subsetPrior/subsetWindow.Seconds())
	switch {
	case share > growFailureShare && size < workers && now.Sub(s.changedAt) >= minGrowInterval:
		s.changedAt, s.pressuredAt = now, now
		return 2 * size
	case share > growFailureShare/2:
		s.pressuredAt = now
	case size > minSubsetSize && now.Sub(s.changedAt) >= shrinkDelay && now.Sub(s.pressuredAt) >= shrinkDelay:
		s.changedAt = now
		return size / 2
	}
	return size
}

// Prune removes the services that are not declared.
func (s *SubsetSizes) Prune(declared func(service string) bool) {
	for service := range s.services.Range {
		if !declared(service.(string)) {
			s.services.Delete(service)
		}
	}
}
