package balance

import (
	"sync"
	"time"
)

// The weights of a new sample in the mean and in the deviation, and how many
// deviations beyond the mean are no longer usual: as for the retransmission timer
// of TCP (RFC 6298), with a wider margin because a wrong guess costs a whole turn.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 8
)

// Waits learns how long the workers of each service take to their first event. It
// is safe for concurrent use.
type Waits struct {
	mutex    sync.Mutex
	services map[string]*waitEstimate
}

type waitEstimate struct {
	mean, deviation time.Duration
}

// NewWaits returns an empty record.
func NewWaits() *Waits { return &Waits{services: make(map[string]*waitEstimate)} }

// Observe takes how long one request has waited for its first event, also where it
// was given up then.
func (w *Waits) Observe(service string, took time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.services[service]
	if known == nil {
		w.services[service] = &waitEstimate{mean: took, deviation: took / 2}
		return
	}
	off := (took - known.mean).Abs()
	known.deviation += time.Duration(deviationWeight * float64(off-known.deviation))
	known.mean += time.Duration(meanWeight * float64(took-known.mean))
}

// Limit returns the longest wait that is still usual, and least where nothing, or
// less, is known. When all workers get slower it grows with them.
func (w *Waits) Limit(service string, least time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.services[service]
	if known == nil {
		return least
	}
	return max(least, known.mean+deviations*known.deviation)
}
