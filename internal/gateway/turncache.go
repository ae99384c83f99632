package gateway

import (
	"container/list"
	"context"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// maxTurnCacheBytes bounds the size of the turn cache; turnCacheMemoryDivisor bounds it to
	// a fraction of the process memory. Cached turns never become stale: a turn is immutable.
	maxTurnCacheBytes      = 24 << 20
	turnCacheMemoryDivisor = 8
)

// turnCacheLimit returns the size limit of the turn cache in bytes.
func turnCacheLimit(options Options) int {
	switch {
	case options.DisabledMechanisms.Has(mechanism.TurnCache):
		return 0
	case options.MemoryBytes <= 0:
		return maxTurnCacheBytes
	}
	return int(min(maxTurnCacheBytes, options.MemoryBytes/turnCacheMemoryDivisor))
}

// turnCache is an LRU cache of stored turns.
type turnCache struct {
	quorum *quorum.Client
	limit  int
	// zone is the zone of this gateway and regionOf maps each zone to its region. A turn is not
	// cached in a region where it may not be stored.
	zone     string
	regionOf map[string]string

	mutex sync.Mutex
	turns map[string]*list.Element
	order *list.List
	bytes int
}

// newTurnCache returns a cache of up to limit bytes.
func newTurnCache(client *quorum.Client, limit int) *turnCache {
	return &turnCache{quorum: client, limit: limit, turns: make(map[string]*list.Element), order: list.New()}
}

// chain returns a turn and all its predecessors, newest first. scope is the scope of the turn
// that continues from it.
func (c *turnCache) chain(ctx context.Context, scope quorum.Scope, id string) ([]*replicav1.Turn, error) {
	chain, missing := c.lookup(id)
	if missing == "" {
		return chain, nil
	}
	rest, err := c.quorum.Chain(ctx, scope, missing)
	if err != nil {
		return nil, err
	}
	for _, turn := range rest {
		c.add(turn)
	}
	return append(chain, rest...), nil
}

// lookup returns the cached part of a chain, and the id of the first turn that is not cached.
func (c *turnCache) lookup(id string) ([]*replicav1.Turn, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var chain []*replicav1.Turn
	for id != "" {
		element := c.turns[id]
		if element == nil {
			return chain, id
		}
		c.order.MoveToFront(element)
		turn := element.Value.(*replicav1.Turn)
		chain = append(chain, turn)
		id = turn.Previous
	}
	return chain, ""
}

// add caches a turn that a majority has stored, unless it may not be stored in this region.
func (c *turnCache) add(turn *replicav1.Turn) {
	policy := placement.RegionPolicy{Permitted: quorum.ScopeOf(turn).Regions, RegionOf: c.regionOf}
	if policy.Check(placement.CachedTurn, c.zone) != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.turns[turn.Id] != nil {
		return
	}
	c.turns[turn.Id] = c.order.PushFront(turn)
	c.bytes += turnSize(turn)
	for c.bytes > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		dropped := oldest.Value.(*replicav1.Turn)
		delete(c.turns, dropped.Id)
		c.bytes -= turnSize(dropped)
	}
}

func turnSize(turn *replicav1.Turn) int { return len(turn.Input) + len(turn.Output) + len(turn.Id) }
