package estimate

import (
	"sync"
	"time"
)

// leastWindow is how many samples the least of a time is taken from, at least, and twice
// that at most: what was fast once is forgotten after that.
const leastWindow = 64

// Minimum knows the shortest of the last samples of a time. Its zero value knows nothing. It
// is safe for concurrent use.
type Minimum struct {
	mutex sync.Mutex
	// before is the shortest of the last full window; 0 until there was one.
	before, current time.Duration
	count           int
}

// Observe takes a sample.
func (l *Minimum) Observe(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count == 0 || took < l.current {
		l.current = took
	}
	l.count++
	if l.count == leastWindow {
		l.before, l.count = l.current, 0
	}
}

// Value returns the shortest time of the last samples, and 0 while there are few.
func (l *Minimum) Value() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count == 0 || l.before == 0 {
		return l.before
	}
	return min(l.before, l.current)
}
