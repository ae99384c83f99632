package balance

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// ServiceLatencies estimates how long the workers of each service take to send their first event.
// It is safe for concurrent use.
type ServiceLatencies struct {
	mutex    sync.Mutex
	services map[string]*estimate.Latency
}

// NewServiceLatencies returns estimates without any observations.
func NewServiceLatencies() *ServiceLatencies {
	return &ServiceLatencies{services: make(map[string]*estimate.Latency)}
}

// Estimate returns the latency estimate of a service.
func (w *ServiceLatencies) Estimate(service string) *estimate.Latency {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	latency := w.services[service]
	if latency == nil {
		latency = &estimate.Latency{}
		w.services[service] = latency
	}
	return latency
}
