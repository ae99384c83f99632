package demo

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// requestsInProgress counts callers' requests by the daemon that they were sent
// to. The zero value counts none.
type requestsInProgress struct {
	mutex  sync.Mutex
	counts map[structs.NodeID]int
}

// track counts a request until ended is called.
func (r *requestsInProgress) track(daemon structs.NodeID) (ended func()) {
	r.add(daemon, 1)
	return func() { r.add(daemon, -1) }
}

func (r *requestsInProgress) add(daemon structs.NodeID, change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = map[structs.NodeID]int{}
	}
	r.counts[daemon] += change
}

// busiest returns the daemon with the most requests in progress, if any.
func (r *requestsInProgress) busiest() (structs.NodeID, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	most, found := 0, structs.NodeID("")
	for daemon, count := range r.counts {
		if count > most {
			most, found = count, daemon
		}
	}
	return found, most > 0
}

// at returns the number of requests in progress at a daemon.
func (r *requestsInProgress) at(daemon structs.NodeID) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counts[daemon]
}
