// Package estimate estimates the normal range of latencies from samples. It does no I/O and
// reads no clock.
package estimate

import (
	"sync"
	"time"
)

// The weights are those of the TCP retransmission timer (RFC 6298). The upper bound is more
// deviations from the mean than there, because a timeout that is too short costs a whole turn,
// or adds load to an overloaded system.
const (
	// meanWeight and deviationWeight are the weights of a new sample in the moving averages.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// upperBoundDeviations is the distance of the upper bound from the mean, in deviations.
	upperBoundDeviations = 8
	// typicalDeviations is the distance from the mean within which most samples lie, in
	// deviations, for decisions where too long costs as much as too short.
	typicalDeviations = 2
)

// Latency estimates the mean and the deviation of a latency with moving averages. The zero
// value has no samples. It is safe for concurrent use.
type Latency struct {
	mutex           sync.Mutex
	observed        bool
	mean, deviation time.Duration
}

// Observe adds a sample. For an operation that was abandoned, it is the time until then.
func (l *Latency) Observe(latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.observed {
		l.observed, l.mean, l.deviation = true, latency, latency/2
		return
	}
	difference := (latency - l.mean).Abs()
	l.deviation += time.Duration(deviationWeight * float64(difference-l.deviation))
	l.mean += time.Duration(meanWeight * float64(latency-l.mean))
}

// UpperBound returns the longest latency that still counts as normal, and at least minimum. It
// grows when all operations become slower.
func (l *Latency) UpperBound(minimum time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(minimum, l.mean+upperBoundDeviations*l.deviation)
}

// SetInitial sets the value that Typical returns before the first sample. It must be called
// before Observe: it adds half of typical as the first sample, whose deviation is half of that
// again.
func (l *Latency) SetInitial(typical time.Duration) { l.Observe(typical / 2) }

// Typical returns the latency that most operations stay below, the mean plus two deviations;
// 0 without samples.
func (l *Latency) Typical() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mean + typicalDeviations*l.deviation
}

// Mean returns the moving average of the samples; 0 without samples.
func (l *Latency) Mean() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mean
}
