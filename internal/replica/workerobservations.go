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
	// windowDuration and windowCount determine how long observations of gateways count: two
	// seconds. In that time the few requests that each gateway sends to a worker add up to enough
	// samples.
	windowDuration = 500 * time.Millisecond
	windowCount    = 4
	// minSamples is the minimum number of timed answers, or of completed requests, for a decision.
	// A worker is slow if its mean latency ratio is slowFactor times the median of its service. The
	// factor is the one that a gateway uses on its own (balance.slowFactor).
	minSamples = 4
	slowFactor = 2.2
	// suspectFailureRatio is the share of failed requests from which on a worker is suspect.
	suspectFailureRatio = 0.5
	// minWorkersForMedian is the minimum number of workers of a service for a median.
	minWorkersForMedian = 3
)

// workerObservations aggregates what gateways have observed of workers. It is safe for concurrent
// use.
type workerObservations struct {
	now   func() time.Time
	mutex sync.Mutex
	// windows are the recent time windows, the newest last.
	windows []observationWindow
}

type observationWindow struct {
	start   time.Time
	workers map[string]balance.Observation
}

func newWorkerObservations(now func() time.Time) *workerObservations {
	return &workerObservations{now: now}
}

// add adds the observations of one gateway.
func (o *workerObservations) add(observed []*replicav1.WorkerObservation) {
	if len(observed) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.expire()
	now := o.now()
	if last := len(o.windows) - 1; last < 0 || now.Sub(o.windows[last].start) >= windowDuration {
		o.windows = append(o.windows, observationWindow{start: now, workers: make(map[string]balance.Observation)})
	}
	workers := o.windows[len(o.windows)-1].workers
	for _, observation := range observed {
		workers[observation.Id] = mergeObservations(workers[observation.Id], balance.Observation{
			Worker: observation.Id, Responses: int(observation.Answers), Failures: int(observation.Failures),
			LatencySamples: int(observation.Paced), LatencyRatioSum: observation.PaceSum,
		})
	}
}

func mergeObservations(a, b balance.Observation) balance.Observation {
	return balance.Observation{
		Worker: b.Worker, Responses: a.Responses + b.Responses, Failures: a.Failures + b.Failures,
		LatencySamples: a.LatencySamples + b.LatencySamples, LatencyRatioSum: a.LatencyRatioSum + b.LatencyRatioSum,
	}
}

// expire drops windows that are too old. The mutex must be held.
func (o *workerObservations) expire() {
	oldest := o.now().Add(-windowDuration * windowCount)
	for len(o.windows) > 0 && o.windows[0].start.Before(oldest) {
		o.windows = o.windows[1:]
	}
}

// suspects returns the listed workers that are slow or failing. It iterates only over workers with
// observations, because each gateway calls it several times a second.
func (o *workerObservations) suspects(workers *directory.Workers) (found []string) {
	o.mutex.Lock()
	o.expire()
	sums := make(map[string]balance.Observation)
	for _, window := range o.windows {
		for id, observation := range window.workers {
			sums[id] = mergeObservations(sums[id], observation)
		}
	}
	o.mutex.Unlock()
	services := make(map[string][]balance.Observation)
	for id, observation := range sums {
		if listed, found := workers.Find(id); found {
			services[listed.Service] = append(services[listed.Service], observation)
		}
	}
	for _, observed := range services {
		median := medianLatencyRatio(observed)
		for _, observation := range observed {
			if isSuspect(observation, median) {
				found = append(found, observation.Worker)
			}
		}
	}
	return found
}

// isSuspect compares a worker with the median latency ratio of its service. A median of 0 is
// unknown.
func isSuspect(observed balance.Observation, median float64) bool {
	total := observed.Responses + observed.Failures
	failing := total >= minSamples && float64(observed.Failures) >= suspectFailureRatio*float64(total)
	slow := median > 0 && observed.LatencySamples >= minSamples && observed.LatencyRatioSum/float64(observed.LatencySamples) > slowFactor*median
	return failing || slow
}

// medianLatencyRatio returns the median latency ratio of a service's workers, or 0 if too few are
// known.
func medianLatencyRatio(service []balance.Observation) float64 {
	var ratios []float64
	for _, observed := range service {
		if observed.LatencySamples >= minSamples {
			ratios = append(ratios, observed.LatencyRatioSum/float64(observed.LatencySamples))
		}
	}
	if len(ratios) < minWorkersForMedian {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
