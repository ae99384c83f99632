package gateway

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// routeOfService names a kind of request by its route and the service it is dealt to.
type routeOfService struct{ route, service string }

// fastestAnswers knows how fast workers have lately begun to answer, by route and
// service: what has less time than that cannot be served.
type fastestAnswers struct{ known sync.Map }

func newFastestAnswers() *fastestAnswers { return &fastestAnswers{} }

// of returns what is known of a kind of request.
func (f *fastestAnswers) of(kind routeOfService) *estimate.Minimum {
	if least, found := f.known.Load(kind); found {
		return least.(*estimate.Minimum)
	}
	least, _ := f.known.LoadOrStore(kind, &estimate.Minimum{})
	return least.(*estimate.Minimum)
}

// forget drops what is known of routes that are not declared any more.
func (f *fastestAnswers) forget(declared func(route string) bool) {
	for kind := range f.known.Range {
		if !declared(kind.(routeOfService).route) {
			f.known.Delete(kind)
		}
	}
}
