package balance

import "time"

// suspectFor is how long a worker is passed over that the gateways of a zone together
// have found slow or failing: two of the questions in which that is told, so that a
// worker stays passed over while it is told on.
const suspectFor = 1500 * time.Millisecond

// Observation is how this process's requests to one worker ended.
type Observation struct {
	Worker string
	// Responses counts those that the worker answered, Failures those that it did not,
	// or with a failure of its own.
	Responses, Failures int
	// LatencySamples counts the answers whose time was measured, LatencyRatioSum adds their times up,
	// each as a multiple of what its route aims at.
	LatencySamples  int
	LatencyRatioSum float64
}

// TakeObservations returns what was seen of each worker since the last call.
func (b *Balancer) TakeObservations() []Observation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := make([]Observation, 0, len(b.observed))
	for _, each := range b.observed {
		taken = append(taken, *each)
	}
	clear(b.observed)
	return taken
}

// MarkSuspect passes workers over for suspectFor. Requests of one gateway in hundreds meet a
// worker too seldom to find out alone that it has become slow.
func (b *Balancer) MarkSuspect(workers []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := b.now().Add(suspectFor)
	for _, worker := range workers {
		b.of(worker).suspectUntil = until
	}
}

// observe notes how a request to a worker ended. The mutex is held.
func (b *Balancer) observe(worker string, verdict AttemptResult) {
	switch verdict {
	case Served:
		b.observation(worker).Responses++
	case Failed, WorkerError, Unreachable:
		b.observation(worker).Failures++
	}
}

// observePace notes how long a worker took. The mutex is held.
func (b *Balancer) observePace(worker string, took float64) {
	seen := b.observation(worker)
	seen.LatencySamples++
	seen.LatencyRatioSum += took
}

func (b *Balancer) observation(worker string) *Observation {
	known := b.observed[worker]
	if known == nil {
		known = &Observation{Worker: worker}
		b.observed[worker] = known
	}
	return known
}
