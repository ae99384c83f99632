package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leastSubset is of how many workers of each zone a process chooses at least. Few workers get
	// the requests, so that they have the prompts that many share and connections stay open;
	// half of them may fail while a zone of the users' fleet, with 100 turns a second, fills no
	// more than a third of the places of the others.
	leastSubset = 32
	// subsetMemory is the time over which attempts are counted, subsetDoubt how many that went
	// well are added: one request that was turned away is no reason to grow.
	subsetMemory = 4 * time.Second
	subsetDoubt  = 10
	// growShare is the share of attempts that workers turned away or failed from which on a
	// subset is doubled, and growPause the least time between two times: what the last one
	// brought must show.
	growShare = 0.1
	growPause = 500 * time.Millisecond
	// shrinkAfter is how long nothing must have been turned away before a subset is halved: what
	// has left a worker has its prompt elsewhere.
	shrinkAfter = 30 * time.Second
)

// SubsetSizes decides of how many workers of each zone this process chooses, by service. The load
// that it answers is that of large fleets: all of a small one's workers are chosen from. It is safe
// for concurrent use.
type SubsetSizes struct {
	now      func() time.Time
	services sync.Map
}

// subsetSize is that of one service.
type subsetSize struct {
	size  atomic.Int64
	mutex sync.Mutex
	// all and unfit are the rates of attempts and of those that were turned away or failed.
	all, unfit fadingRate
	// changed is when the size changed last, needed when more than a few were unfit last.
	changed, needed time.Time
}

// NewSubsetSizes returns sizes that nothing has been seen of.
func NewSubsetSizes(now func() time.Time) *SubsetSizes { return &SubsetSizes{now: now} }

// Estimate returns of how many workers of each zone requests of a service choose.
func (s *SubsetSizes) Size(service string) int { return int(s.of(service).size.Load()) }

func (s *SubsetSizes) of(service string) *subsetSize {
	if known, found := s.services.Load(service); found {
		return known.(*subsetSize)
	}
	made := &subsetSize{changed: s.now()}
	made.size.Store(leastSubset)
	known, _ := s.services.LoadOrStore(service, made)
	return known.(*subsetSize)
}

// Observe takes how an attempt ended at a worker of a service that has so many workers.
func (s *SubsetSizes) Observe(service string, verdict AttemptResult, workers int) {
	if verdict == Canceled {
		return
	}
	known, now := s.of(service), s.now()
	known.mutex.Lock()
	defer known.mutex.Unlock()
	known.all.count(now, subsetMemory)
	if verdict == Rejected || verdict == Failed || verdict == Unreachable {
		known.unfit.count(now, subsetMemory)
	}
	known.size.Store(known.next(now, int64(workers)))
}

// next returns the size after an attempt. The mutex is held.
func (k *subsetSize) next(now time.Time, workers int64) int64 {
	size := k.size.Load()
	share := k.unfit.now(now, subsetMemory) / (k.all.now(now, subsetMemory) + subsetDoubt/subsetMemory.Seconds())
	switch {
	case share > growShare && size < workers && now.Sub(k.changed) >= growPause:
		k.changed, k.needed = now, now
		return 2 * size
	case share > growShare/2:
		k.needed = now
	case size > leastSubset && now.Sub(k.changed) >= shrinkAfter && now.Sub(k.needed) >= shrinkAfter:
		k.changed = now
		return size / 2
	}
	return size
}

// Prune drops the services that are not declared.
func (s *SubsetSizes) Prune(declared func(service string) bool) {
	for service := range s.services.Range {
		if !declared(service.(string)) {
			s.services.Delete(service)
		}
	}
}
