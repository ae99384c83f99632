package estimate

import (
	"sync"
	"time"
)

// maximumWindow is the length of a window. The maximum covers the previous window and the current one,
// so between one and two windows; older samples are forgotten.
const maximumWindow = 10 * time.Minute

// Maximum tracks the maximum of the recent samples of a size. The zero value has no samples. It is safe
// for concurrent use.
type Maximum struct {
	mutex             sync.Mutex
	previous, current sizeWindow
}

// sizeWindow holds the samples of one window.
type sizeWindow struct {
	start   time.Time
	largest int64
	count   int
}

// Observe adds a sample.
func (m *Maximum) Observe(now time.Time, size int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance(now)
	m.current.largest = max(m.current.largest, size)
	m.current.count++
}

// Value returns the maximum of the recent samples, and how many there are.
func (m *Maximum) Value(now time.Time) (largest int64, count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance(now)
	return max(m.previous.largest, m.current.largest), m.previous.count + m.current.count
}

// advance begins a new window once the current one is over. The mutex must be held.
func (m *Maximum) advance(now time.Time) {
	switch age := now.Sub(m.current.start); {
	case age < maximumWindow:
	case age < 2*maximumWindow:
		m.previous, m.current = m.current, sizeWindow{start: m.current.start.Add(maximumWindow)}
	default:
		m.previous, m.current = sizeWindow{}, sizeWindow{start: now}
	}
}
