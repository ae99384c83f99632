package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rosterMemory is how long a gateway that no longer asks for news is passed on.
	rosterMemory = 6 * time.Second
	// rosterShare is how many gateways each one is told of, whatever their number: one
	// that works is enough, and four are rarely in trouble together.
	rosterShare = 4
)

// roster knows which gateways ask for news, and tells each of a few others, through
// which it may call replicas that it does not reach.
type roster struct {
	now func() time.Time

	mutex sync.Mutex
	heard map[string]time.Time
}

func newRoster(now func() time.Time) *roster {
	return &roster{now: now, heard: make(map[string]time.Time)}
}

// note takes a sign of life of a gateway, by the address at which it forwards.
func (r *roster) note(forwarder string) {
	if forwarder == "" {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard[forwarder] = r.now()
}

// count returns how many gateways have asked lately.
func (r *roster) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.heard)
}

// near returns the gateways that one is told of. All replicas that hear the same
// gateways choose alike.
func (r *roster) near(forwarder string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	ranks := make(map[string]uint64, len(r.heard))
	for address, at := range r.heard {
		if now.Sub(at) > rosterMemory {
			delete(r.heard, address)
			continue
		}
		if address != forwarder {
			ranks[address] = xxhash.Sum64String(forwarder + "/" + address)
		}
	}
	others := slices.Collect(maps.Keys(ranks))
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(ranks[a], ranks[b]) })
	return others[:min(rosterShare, len(others))]
}
