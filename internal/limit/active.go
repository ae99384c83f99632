package limit

import (
	"maps"
	"slices"
	"sync"
)

// activeShares is the set of shares in use. The request path takes the lock only when
// it activates an idle share, because each share is added at most once.
type activeShares struct {
	mutex  sync.Mutex
	shares map[*share]struct{}
}

func (a *activeShares) add(s *share) {
	if s.active.Load() || s.active.Swap(true) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.shares == nil {
		a.shares = map[*share]struct{}{}
	}
	a.shares[s] = struct{}{}
}

func (a *activeShares) remove(s *share) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.shares, s)
	s.active.Store(false)
}

func (a *activeShares) list() []*share {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Collect(maps.Keys(a.shares))
}
