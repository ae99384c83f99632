package balance

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// ServiceLatencies learns how long the workers of each service take to their first event. It
// is safe for concurrent use.
type ServiceLatencies struct {
	mutex    sync.Mutex
	services map[string]*estimate.Latency
}

// NewServiceLatencies returns an empty record.
func NewServiceLatencies() *ServiceLatencies {
	return &ServiceLatencies{services: make(map[string]*estimate.Latency)}
}

// Estimate returns what is known of a service.
func (w *ServiceLatencies) Estimate(service string) *estimate.Latency {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.services[service]
	if known == nil {
		known = &estimate.Latency{}
		w.services[service] = known
	}
	return known
}
