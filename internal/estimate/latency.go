// Package estimate learns what is usual of a measured time. It does no I/O and
// reads no clock.
package estimate

import (
	"sync"
	"time"
)

// The weights of a new sample in the mean and in the deviation, and how many
// deviations beyond the mean are no longer usual: as for the retransmission timer
// of TCP (RFC 6298), with a wider margin because a wrong guess costs a whole turn,
// or more load where there is too much.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 8
	// typicalDeviations are those within which most samples lie, for decisions where
	// too long costs as much as too short.
	typicalDeviations = 2
)

// Latency learns the mean and the deviation of a time. Its zero value knows
// nothing. It is safe for concurrent use.
type Latency struct {
	mutex           sync.Mutex
	known           bool
	mean, deviation time.Duration
}

// Observe takes how long something has taken, also where it was given up then.
func (l *Latency) Observe(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.known {
		l.known, l.mean, l.deviation = true, took, took/2
		return
	}
	off := (took - l.mean).Abs()
	l.deviation += time.Duration(deviationWeight * float64(off-l.deviation))
	l.mean += time.Duration(meanWeight * float64(took-l.mean))
}

// UpperBound returns the longest time that is still usual, and least where nothing, or
// less, is known. It grows when everything gets slower.
func (l *Latency) UpperBound(least time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(least, l.mean+deviations*l.deviation)
}

// SetInitial sets what is typical before anything was observed: a mean of half of it, whose
// first deviation is half of the mean.
func (l *Latency) SetInitial(typical time.Duration) { l.Observe(typical / 2) }

// Typical returns the time that most have taken, the mean and two deviations; 0 where
// nothing is known.
func (l *Latency) Typical() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mean + typicalDeviations*l.deviation
}

// Mean returns the mean of what was observed; 0 where nothing is known.
func (l *Latency) Mean() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mean
}
