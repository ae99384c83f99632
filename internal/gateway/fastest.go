package gateway

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// routeOfService names a kind of request by its route and the service it is dealt to.
type routeOfService struct{ route, service string }

// fastestAnswers knows how fast workers have lately begun to answer, by route and
// service: what has less time than that cannot be served.
type fastestAnswers struct {
	mutex sync.RWMutex
	known map[routeOfService]*estimate.Least
}

func newFastestAnswers() *fastestAnswers {
	return &fastestAnswers{known: make(map[routeOfService]*estimate.Least)}
}

// of returns what is known of a kind of request.
func (f *fastestAnswers) of(kind routeOfService) *estimate.Least {
	f.mutex.RLock()
	least := f.known[kind]
	f.mutex.RUnlock()
	if least != nil {
		return least
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.known[kind] == nil {
		f.known[kind] = &estimate.Least{}
	}
	return f.known[kind]
}
