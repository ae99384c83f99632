package emulator

import (
	"sort"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// block is the cache of one segment. Its prefix, the parent block, is needed
// to use it, so that only blocks without children are evicted.
type block struct {
	digest   chainDigest
	parent   *block
	model    structs.ModelName
	tokens   int64
	children int
	// pins counts the running streams that use the block.
	pins int
	// holders are the programs on whose behalf the block is kept; a block
	// without any is freed at once.
	holders     map[structs.ProgramID]struct{}
	lastUsed    time.Time
	retainUntil time.Time
}

// hold is the memory kept for one program.
type hold struct {
	blocks map[chainDigest]*block
	tokens int64
}

// prefixCache is the engine's memory: blocks, the private tokens of running
// streams, and a fixed amount for each hold. It does no locking.
type prefixCache struct {
	capacity   int64
	holdTokens int64
	used       int64
	blocks     map[chainDigest]*block
	holds      map[structs.ProgramID]*hold
	// changed is told of each holder whose cached tokens changed.
	changed func(holder structs.ProgramID, stored bool, tokens int64)
}

func newPrefixCache(capacity, holdTokens int64) *prefixCache {
	return &prefixCache{
		capacity:   capacity,
		holdTokens: holdTokens,
		blocks:     map[chainDigest]*block{},
		holds:      map[structs.ProgramID]*hold{},
		changed:    func(structs.ProgramID, bool, int64) {},
	}
}

// hold makes sure that the holder has a hold and returns it.
func (c *prefixCache) hold(holder structs.ProgramID) *hold {
	if known, ok := c.holds[holder]; ok {
		return known
	}
	c.used += c.holdTokens
	made := &hold{blocks: map[chainDigest]*block{}}
	c.holds[holder] = made
	return made
}

// match returns how many leading links are cached.
func (c *prefixCache) match(links []link) int {
	for i, l := range links {
		if _, cached := c.blocks[l.digest]; !cached {
			return i
		}
	}
	return len(links)
}

// pin keeps the leading count links for a stream of holder.
func (c *prefixCache) pin(holder structs.ProgramID, links []link, count int, now, retainUntil time.Time) {
	for _, l := range links[:count] {
		found := c.blocks[l.digest]
		found.pins++
		c.touch(found, holder, now, retainUntil)
	}
}

// unpin undoes pin, and the pins that insert made.
func (c *prefixCache) unpin(links []link, count int) {
	for _, l := range links[:count] {
		if found, ok := c.blocks[l.digest]; ok && found.pins > 0 {
			found.pins--
		}
	}
}

// touch marks a block as used by holder.
func (c *prefixCache) touch(b *block, holder structs.ProgramID, now, retainUntil time.Time) {
	b.lastUsed = now
	if retainUntil.After(b.retainUntil) {
		b.retainUntil = retainUntil
	}
	kept := c.hold(holder)
	if _, already := kept.blocks[b.digest]; !already {
		kept.blocks[b.digest] = b
		kept.tokens += b.tokens
		b.holders[holder] = struct{}{}
	}
}

// insert adds the block of a link under parent (nil at the start of a chain)
// on behalf of holder and returns it. A block already there is only marked.
// The caller has made room.
func (c *prefixCache) insert(parent *block, l link, model structs.ModelName, holder structs.ProgramID, now, retainUntil time.Time) *block {
	found, cached := c.blocks[l.digest]
	if !cached {
		found = &block{digest: l.digest, parent: parent, model: model, tokens: l.tokens, holders: map[structs.ProgramID]struct{}{}}
		c.blocks[l.digest] = found
		c.used += l.tokens
		if parent != nil {
			parent.children++
		}
	}
	c.touch(found, holder, now, retainUntil)
	return found
}

// reserve takes private tokens, evicting where needed; it reports false, and
// takes none, when there is no room.
func (c *prefixCache) reserve(tokens int64, now time.Time) bool {
	if !c.makeRoom(tokens, now) {
		return false
	}
	c.used += tokens
	return true
}

// free gives private tokens back.
func (c *prefixCache) free(tokens int64) { c.used -= tokens }

// makeRoom evicts blocks until tokens fit: those whose retention has run out
// first, then those used least recently. It evicts nothing when all that can be
// evicted would not be enough.
func (c *prefixCache) makeRoom(tokens int64, now time.Time) bool {
	if c.used+tokens <= c.capacity {
		return true
	}
	evictable := c.evictable()
	var total int64
	for _, b := range evictable {
		total += b.tokens
	}
	if c.used-total+tokens > c.capacity {
		return false
	}
	sort.Slice(evictable, func(i, j int) bool { return evictsBefore(evictable[i], evictable[j], now) })
	// A parent becomes a candidate after its children, so several rounds may be
	// needed; each evicts at least one block.
	for c.used+tokens > c.capacity {
		for _, b := range evictable {
			if c.used+tokens <= c.capacity {
				return true
			}
			if b.children == 0 && c.blocks[b.digest] == b {
				c.evict(b)
			}
		}
	}
	return true
}

// evictable returns the blocks that no running stream needs. A pinned block's
// ancestors are pinned too, so their descendants can all go first.
func (c *prefixCache) evictable() []*block {
	var found []*block
	for _, b := range c.blocks {
		if b.pins == 0 {
			found = append(found, b)
		}
	}
	return found
}

func evictsBefore(a, b *block, now time.Time) bool {
	aExpired, bExpired := !a.retainUntil.After(now), !b.retainUntil.After(now)
	if aExpired != bExpired {
		return aExpired
	}
	if !a.lastUsed.Equal(b.lastUsed) {
		return a.lastUsed.Before(b.lastUsed)
	}
	return string(a.digest[:]) < string(b.digest[:])
}

// evict drops a block for all its holders.
func (c *prefixCache) evict(b *block) {
	for holder := range b.holders {
		kept := c.holds[holder]
		delete(kept.blocks, b.digest)
		kept.tokens -= b.tokens
		c.changed(holder, false, kept.tokens)
	}
	c.drop(b)
}

// drop frees a block that no hold lists any more.
func (c *prefixCache) drop(b *block) {
	delete(c.blocks, b.digest)
	c.used -= b.tokens
	if b.parent != nil {
		b.parent.children--
	}
}

// release frees the hold and every block that no other program holds. The
// holder's streams have been stopped before.
func (c *prefixCache) release(holder structs.ProgramID) {
	kept, ok := c.holds[holder]
	if !ok {
		return
	}
	delete(c.holds, holder)
	c.used -= c.holdTokens
	for _, b := range kept.blocks {
		delete(b.holders, holder)
	}
	// Children before parents: each round frees the ends of the chains.
	for freed := true; freed; {
		freed = false
		for digest, b := range kept.blocks {
			if len(b.holders) == 0 && b.children == 0 && b.pins == 0 {
				c.drop(b)
				delete(kept.blocks, digest)
				freed = true
			}
		}
	}
	c.changed(holder, false, 0)
}

// dropModel frees all blocks of a model. Its streams have been stopped before.
func (c *prefixCache) dropModel(model structs.ModelName) {
	for _, b := range c.blocks {
		if b.model == model {
			b.children = 0
			b.parent = nil
			c.evict(b)
		}
	}
}
