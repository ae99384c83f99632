package balance

import "time"

// suspectDuration is how long a worker that was reported as slow or failing is avoided. It is twice
// the interval between two reports, so the worker stays suspect as long as reports name it.
const suspectDuration = 1500 * time.Millisecond

// Observation sums up the results of this process's requests to one worker.
type Observation struct {
	Worker string
	// Responses is the number of responses without a failure of the worker. Failures is the number of
	// attempts without a response or with a failure of the worker.
	Responses, Failures int
	// LatencySamples is the number of measured responses. LatencyRatioSum is the sum of their
	// latencies, each divided by the target latency of its route.
	LatencySamples  int
	LatencyRatioSum float64
}

// TakeObservations returns the observations of each worker since the last call.
func (b *Balancer) TakeObservations() []Observation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	observations := make([]Observation, 0, len(b.observations))
	for _, each := range b.observations {
		observations = append(observations, *each)
	}
	clear(b.observations)
	return observations
}

// MarkSuspect marks workers as suspect for suspectDuration. A single gateway among hundreds sends too
// few requests to a worker to detect alone that it has become slow.
func (b *Balancer) MarkSuspect(workers []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := b.now().Add(suspectDuration)
	for _, worker := range workers {
		b.statsOf(worker).suspectUntil = until
	}
}

// recordResult adds the result of an attempt to the worker's observation. The mutex must be held.
func (b *Balancer) recordResult(worker string, result AttemptResult) {
	switch result {
	case Served:
		b.observationOf(worker).Responses++
	case Failed, WorkerError, Unreachable:
		b.observationOf(worker).Failures++
	}
}

// recordLatency adds a latency ratio to the worker's observation. The mutex must be held.
func (b *Balancer) recordLatency(worker string, ratio float64) {
	observation := b.observationOf(worker)
	observation.LatencySamples++
	observation.LatencyRatioSum += ratio
}

func (b *Balancer) observationOf(worker string) *Observation {
	observation := b.observations[worker]
	if observation == nil {
		observation = &Observation{Worker: worker}
		b.observations[worker] = observation
	}
	return observation
}
