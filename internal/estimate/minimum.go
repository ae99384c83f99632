package estimate

import (
	"math"
	"sync"
	"time"
)

const (
	// minimumWindow is the number of samples in a window. The minimum covers the previous window
	// and the current one, so between one and two windows; older samples are forgotten.
	minimumWindow = 64
	// initialHalfLife and maxHalfLife bound the time in which the minimum counts half as much while
	// there are no samples. It doubles with each probe that brings none.
	initialHalfLife = time.Second
	maxHalfLife     = 4 * time.Second
)

// Minimum tracks the minimum of the last samples of a latency. The zero value has no samples.
// It is safe for concurrent use.
//
// Callers that reject what has less time than the minimum get no samples any more once they
// reject everything. The minimum would then hold for ever, whatever the latency has become.
// While there are no samples, Admit therefore lets single operations through as probes: first
// those with nearly as much time as the minimum, later also those with much less.
type Minimum struct {
	mutex sync.Mutex
	// previous is the minimum of the last full window; 0 until one is full. current is the
	// minimum of the current window, which has count samples.
	previous, current time.Duration
	count             int
	// lastEvidence is the time of the last sample or probe, from which on the minimum decays
	// with halfLife; 0 is initialHalfLife.
	lastEvidence time.Time
	halfLife     time.Duration
}

// Observe adds a sample.
func (m *Minimum) Observe(now time.Time, latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastEvidence, m.halfLife = now, 0
	if m.count == 0 || latency < m.current {
		m.current = latency
	}
	m.count++
	if m.count == minimumWindow {
		m.previous, m.count = m.current, 0
	}
}

// Value returns the minimum of the last samples; 0 until the first window is full.
func (m *Minimum) Value() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.value()
}

// value is Value while the mutex is held.
func (m *Minimum) value() time.Duration {
	if m.count == 0 || m.previous == 0 {
		return m.previous
	}
	return min(m.previous, m.current)
}

// Admission is whether an operation is worth an attempt.
type Admission struct {
	// Admitted is set if the operation has as much time as the minimum, or is a probe.
	Admitted bool
	// IsProbe is set for an operation with less time, which shows whether the latency has fallen.
	IsProbe bool
	// Minimum is the value that the time was compared with.
	Minimum time.Duration
}

// Admit decides about an operation that has the given time, which is positive. A probe must be attempted, and its
// latency observed if it succeeds.
func (m *Minimum) Admit(now time.Time, available time.Duration) Admission {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	minimum := m.value()
	if available >= minimum {
		return Admission{Admitted: true, Minimum: minimum}
	}
	halfLife := max(m.halfLife, initialHalfLife)
	age := now.Sub(m.lastEvidence)
	if float64(available) < float64(minimum)*math.Exp2(-float64(age)/float64(halfLife)) {
		return Admission{Minimum: minimum}
	}
	m.lastEvidence, m.halfLife = now, min(2*halfLife, maxHalfLife)
	return Admission{Admitted: true, IsProbe: true, Minimum: minimum}
}
