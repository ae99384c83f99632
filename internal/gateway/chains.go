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
	// maxChainBytes bounds the turns that a gateway remembers, and chainShare the
	// part of its memory that they may take. They are copies: a turn never changes.
	maxChainBytes = 24 << 20
	chainShare    = 8
)

// chainBytes returns how much a gateway remembers.
func chainBytes(options Options) int {
	switch {
	case options.DisabledMechanisms.Has(mechanism.TurnCache):
		return 0
	case options.MemoryBytes <= 0:
		return maxChainBytes
	}
	return int(min(maxChainBytes, options.MemoryBytes/chainShare))
}

// chainCache remembers kept turns, the least recently used go first.
type chainCache struct {
	quorum *quorum.Client
	limit  int
	// zone is this gateway's, and regionOf names the region of each zone: a turn is not
	// remembered where it may not rest.
	zone     string
	regionOf map[string]string

	mutex sync.Mutex
	turns map[string]*list.Element
	order *list.List
	bytes int
}

// newChainCache returns a cache of up to limit bytes.
func newChainCache(client *quorum.Client, limit int) *chainCache {
	return &chainCache{quorum: client, limit: limit, turns: make(map[string]*list.Element), order: list.New()}
}

// get returns a turn and all before it, the newest first, for a scope whose turn goes on
// from it.
func (c *chainCache) get(ctx context.Context, scope quorum.Scope, id string) ([]*replicav1.Turn, error) {
	chain, missing := c.known(id)
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

// known returns the part of a chain that is remembered, and the first turn that
// is not.
func (c *chainCache) known(id string) ([]*replicav1.Turn, string) {
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

// add remembers a turn that a majority has, unless it may not rest here.
func (c *chainCache) add(turn *replicav1.Turn) {
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
	c.bytes += size(turn)
	for c.bytes > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		dropped := oldest.Value.(*replicav1.Turn)
		delete(c.turns, dropped.Id)
		c.bytes -= size(dropped)
	}
}

func size(turn *replicav1.Turn) int { return len(turn.Input) + len(turn.Output) + len(turn.Id) }
