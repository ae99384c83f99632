package replica

import (
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// observationSlot and observationSlots are how long what gateways saw of workers
	// counts: two seconds, in which the few requests that each of them sends to one
	// worker add up to a judgement.
	observationSlot  = 500 * time.Millisecond
	observationSlots = 4
	// suspectSamples is how many times, or failures, make a judgement, and
	// suspectFactor how many times the median of its service makes a worker slow. The
	// factor is the one by which a gateway judges alone (balance.slowFactor).
	suspectSamples = 4
	suspectFactor  = 2.2
	// suspectFailures is the share of failures from which a worker is suspected.
	suspectFailures = 0.5
	// suspectPeers is how many workers of a service must be known for a median.
	suspectPeers = 3
)

// observations adds up what gateways saw of workers. It is safe for concurrent use.
type observations struct {
	now   func() time.Time
	mutex sync.Mutex
	// slots are the last spans of time, the newest last.
	slots []observationSpan
}

type observationSpan struct {
	began   time.Time
	workers map[string]balance.Observation
}

func newObservations(now func() time.Time) *observations { return &observations{now: now} }

// add takes what one gateway saw.
func (o *observations) add(seen []*replicav1.WorkerObservation) {
	if len(seen) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.expire()
	now := o.now()
	if last := len(o.slots) - 1; last < 0 || now.Sub(o.slots[last].began) >= observationSlot {
		o.slots = append(o.slots, observationSpan{began: now, workers: make(map[string]balance.Observation)})
	}
	workers := o.slots[len(o.slots)-1].workers
	for _, each := range seen {
		workers[each.Id] = sumOf(workers[each.Id], balance.Observation{
			Worker: each.Id, Responses: int(each.Answers), Failures: int(each.Failures),
			LatencySamples: int(each.Paced), LatencyRatioSum: each.PaceSum,
		})
	}
}

func sumOf(one, other balance.Observation) balance.Observation {
	return balance.Observation{
		Worker: other.Worker, Responses: one.Responses + other.Responses, Failures: one.Failures + other.Failures,
		LatencySamples: one.LatencySamples + other.LatencySamples, LatencyRatioSum: one.LatencyRatioSum + other.LatencyRatioSum,
	}
}

// expire drops spans that are too old. The mutex is held.
func (o *observations) expire() {
	oldest := o.now().Add(-observationSlot * observationSlots)
	for len(o.slots) > 0 && o.slots[0].began.Before(oldest) {
		o.slots = o.slots[1:]
	}
}

// suspects returns the workers that were found slow or failing, of those that are listed. It looks
// at those alone that something was seen of: it is asked by each gateway, some times a second.
func (o *observations) suspects(workers *directory.Workers) (found []string) {
	o.mutex.Lock()
	o.expire()
	sums := make(map[string]balance.Observation)
	for _, slot := range o.slots {
		for id, each := range slot.workers {
			sums[id] = sumOf(sums[id], each)
		}
	}
	o.mutex.Unlock()
	services := make(map[string][]balance.Observation)
	for id, seen := range sums {
		if listed, found := workers.Find(id); found {
			services[listed.Service] = append(services[listed.Service], seen)
		}
	}
	for _, seen := range services {
		typical := typicalPace(seen)
		for _, each := range seen {
			if suspect(each, typical) {
				found = append(found, each.Worker)
			}
		}
	}
	return found
}

// suspect judges one worker against what is typical of its service; 0 is not known.
func suspect(seen balance.Observation, typical float64) bool {
	ended := seen.Responses + seen.Failures
	failing := ended >= suspectSamples && float64(seen.Failures) >= suspectFailures*float64(ended)
	slow := typical > 0 && seen.LatencySamples >= suspectSamples && seen.LatencyRatioSum/float64(seen.LatencySamples) > suspectFactor*typical
	return failing || slow
}

// typicalPace returns the median pace of a service's workers, or 0 where too few are
// known.
func typicalPace(service []balance.Observation) float64 {
	var paces []float64
	for _, seen := range service {
		if seen.LatencySamples >= suspectSamples {
			paces = append(paces, seen.LatencyRatioSum/float64(seen.LatencySamples))
		}
	}
	if len(paces) < suspectPeers {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}
