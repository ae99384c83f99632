package gateway

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// routeAndService identifies a kind of request by its route and the service it was assigned to.
type routeAndService struct{ route, service string }

// estimatesByKind holds an estimate for each kind of request. The zero value is empty.
type estimatesByKind[Estimate any] struct{ estimates sync.Map }

// getOrCreate returns the estimate for a kind of request.
func (e *estimatesByKind[Estimate]) getOrCreate(kind routeAndService) *Estimate {
	if found, exists := e.estimates.Load(kind); exists {
		return found.(*Estimate)
	}
	created, _ := e.estimates.LoadOrStore(kind, new(Estimate))
	return created.(*Estimate)
}

// removeUndeclared removes the estimates of routes that are no longer declared.
func (e *estimatesByKind[Estimate]) removeUndeclared(declared func(route string) bool) {
	for kind := range e.estimates.Range {
		if !declared(kind.(routeAndService).route) {
			e.estimates.Delete(kind)
		}
	}
}

// fastestResponses estimates, by route and service, the shortest time in which workers have
// recently begun to respond. A request with less time left cannot be served.
type fastestResponses = estimatesByKind[estimate.Minimum]

func newFastestResponses() *fastestResponses { return &fastestResponses{} }
