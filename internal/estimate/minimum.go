package estimate

import (
	"sync"
	"time"
)

// minimumWindow is the number of samples in a window. The minimum covers the previous window
// and the current one, so between one and two windows; older samples are forgotten.
const minimumWindow = 64

// Minimum tracks the minimum of the last samples of a latency. The zero value has no samples.
// It is safe for concurrent use.
type Minimum struct {
	mutex sync.Mutex
	// previous is the minimum of the last full window; 0 until one is full. current is the
	// minimum of the current window, which has count samples.
	previous, current time.Duration
	count             int
}

// Observe adds a sample.
func (m *Minimum) Observe(latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
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
	if m.count == 0 || m.previous == 0 {
		return m.previous
	}
	return min(m.previous, m.current)
}
