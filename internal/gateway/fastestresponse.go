package gateway

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// routeAndService identifies a kind of request by its route and the service it was assigned to.
type routeAndService struct{ route, service string }

// fastestResponses estimates, by route and service, the shortest time in which workers have
// recently begun to respond. A request with less time left cannot be served.
type fastestResponses struct{ estimates sync.Map }

func newFastestResponses() *fastestResponses { return &fastestResponses{} }

// getOrCreate returns the estimate for a kind of request.
func (f *fastestResponses) getOrCreate(key routeAndService) *estimate.Minimum {
	if least, found := f.estimates.Load(key); found {
		return least.(*estimate.Minimum)
	}
	least, _ := f.estimates.LoadOrStore(key, &estimate.Minimum{})
	return least.(*estimate.Minimum)
}

// removeUndeclared removes the estimates of routes that are no longer declared.
func (f *fastestResponses) removeUndeclared(declared func(route string) bool) {
	for key := range f.estimates.Range {
		if !declared(key.(routeAndService).route) {
			f.estimates.Delete(key)
		}
	}
}
