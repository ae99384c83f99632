package balance

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// Waits learns how long the workers of each service take to their first event. It
// is safe for concurrent use.
type Waits struct {
	mutex    sync.Mutex
	services map[string]*estimate.Latency
}

// NewWaits returns an empty record.
func NewWaits() *Waits { return &Waits{services: make(map[string]*estimate.Latency)} }

// Of returns what is known of a service.
func (w *Waits) Of(service string) *estimate.Latency {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.services[service]
	if known == nil {
		known = &estimate.Latency{}
		w.services[service] = known
	}
	return known
}
