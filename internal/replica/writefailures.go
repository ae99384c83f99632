package replica

import (
	"sync"
	"time"
)

// writeFailures logs writes that the data folder rejects, at most one per failureLogInterval: while a
// disk is full, each retry fails. It is safe for concurrent use.
type writeFailures struct {
	now   func() time.Time
	mutex sync.Mutex
	// lastLogged is when a failure was last logged, and unlogged how many have followed since.
	lastLogged time.Time
	unlogged   int
}

func newWriteFailures(now func() time.Time) *writeFailures { return &writeFailures{now: now} }

// log logs a failure, with the number of failures that were not logged before it, and reports whether
// it has.
func (w *writeFailures) log(cause error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.now()
	if !w.lastLogged.IsZero() && now.Sub(w.lastLogged) < failureLogInterval {
		w.unlogged++
		return false
	}
	eventWriteFailed.Log("cause", cause.Error(), "unlogged", w.unlogged)
	w.lastLogged, w.unlogged = now, 0
	return true
}
