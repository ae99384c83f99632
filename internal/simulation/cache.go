package simulation

import "time"

// segment is a piece of prompt text. Equal ids mean equal texts after equal
// beginnings.
type segment struct {
	id     uint64
	tokens int64
	// owner is the run whose text it is; nil for prefixes that runs share.
	owner *run
}

// cacheNode is a segment in an engine's prefix tree.
type cacheNode struct {
	segment segment
	parent  *cacheNode
	// offset is the number of prompt tokens before the segment.
	offset   int64
	children int
	// holders counts the runs on whose behalf the node is kept; a node without
	// any is dropped when the last one is released.
	holders int
	// pins counts running streams whose prompt ends here.
	pins        int
	lastUse     time.Duration
	retainUntil time.Duration
	// leafIndex is the place among the leaves, or -1.
	leafIndex int
}

// prefixCache is an engine's KV memory: the prefix tree and what running
// streams have reserved. Only unpinned leaves are evicted, whole segments each.
type prefixCache struct {
	capacity int64
	// used counts the tree's tokens, reserved those of running streams.
	used     int64
	reserved int64
	nodes    map[uint64]*cacheNode
	leaves   []*cacheNode
	// held has the nodes kept for each run, in the order of its prompt.
	held map[*run][]*cacheNode
	// evicted is told of each run whose prefix was shortened, and to what.
	evicted func(owner *run, left int64)
}

func newPrefixCache(capacity int64, evicted func(*run, int64)) *prefixCache {
	return &prefixCache{
		capacity: capacity, evicted: evicted,
		nodes: map[uint64]*cacheNode{}, held: map[*run][]*cacheNode{},
	}
}

// match returns the last node of the prompt's cached prefix and the prefix's
// length in tokens.
func (c *prefixCache) match(prompt []segment) (*cacheNode, int64) {
	var last *cacheNode
	var length int64
	for _, piece := range prompt {
		node, found := c.nodes[piece.id]
		if !found {
			break
		}
		last = node
		length += piece.tokens
	}
	return last, length
}

// reserve takes tokens for a running stream, evicting where needed. It returns
// false, and takes nothing, where the rest is pinned.
func (c *prefixCache) reserve(now time.Duration, tokens int64) bool {
	if !c.makeRoom(now, tokens) {
		return false
	}
	c.reserved += tokens
	return true
}

// makeRoom evicts until tokens fit. It returns false where they cannot.
func (c *prefixCache) makeRoom(now time.Duration, tokens int64) bool {
	for c.used+c.reserved+tokens > c.capacity {
		victim := c.victim(now)
		if victim == nil {
			return false
		}
		c.evict(victim)
	}
	return true
}

// victim returns the least recently used leaf that is neither pinned nor
// retained; where all are retained, the least recently used of those.
func (c *prefixCache) victim(now time.Duration) *cacheNode {
	var best *cacheNode
	for _, leaf := range c.leaves {
		if leaf.pins > 0 {
			continue
		}
		if best == nil || evictsBefore(now, leaf, best) {
			best = leaf
		}
	}
	return best
}

func evictsBefore(now time.Duration, a, b *cacheNode) bool {
	aRetained, bRetained := a.retainUntil > now, b.retainUntil > now
	if aRetained != bRetained {
		return bRetained
	}
	if a.lastUse != b.lastUse {
		return a.lastUse < b.lastUse
	}
	return a.segment.id < b.segment.id
}

// evict removes a leaf and tells of it.
func (c *prefixCache) evict(leaf *cacheNode) {
	c.remove(leaf)
	if leaf.segment.owner != nil {
		c.evicted(leaf.segment.owner, leaf.offset)
	}
}

// remove takes a leaf out of the tree; its parent may become a leaf.
func (c *prefixCache) remove(leaf *cacheNode) {
	c.used -= leaf.segment.tokens
	delete(c.nodes, leaf.segment.id)
	c.dropLeaf(leaf)
	if leaf.parent != nil {
		leaf.parent.children--
		if leaf.parent.children == 0 {
			c.addLeaf(leaf.parent)
		}
	}
}

// insert adds the prompt's segments on behalf of a run and returns the last
// node. The caller has made room: the tokens come out of what it reserved.
func (c *prefixCache) insert(now time.Duration, holder *run, prompt []segment, retain time.Duration) *cacheNode {
	var parent *cacheNode
	var offset int64
	for position, piece := range prompt {
		node, found := c.nodes[piece.id]
		if !found {
			node = c.add(piece, parent, offset)
		}
		c.hold(holder, position, node)
		node.lastUse = now
		node.retainUntil = max(node.retainUntil, now+retain)
		if piece.owner != nil {
			node.retainUntil = now + retain
		}
		parent = node
		offset += piece.tokens
	}
	return parent
}

// hold notes that a run keeps the node at a position of its prompt. A prompt
// only grows, so the position is the same on every call.
func (c *prefixCache) hold(holder *run, position int, node *cacheNode) {
	kept := c.held[holder]
	switch {
	case position == len(kept):
		c.held[holder] = append(kept, node)
	case kept[position] == node:
		return
	default:
		// The node was evicted and computed again.
		kept[position] = node
	}
	node.holders++
}

func (c *prefixCache) add(piece segment, parent *cacheNode, offset int64) *cacheNode {
	node := &cacheNode{segment: piece, parent: parent, offset: offset, leafIndex: -1}
	c.nodes[piece.id] = node
	c.used += piece.tokens
	c.addLeaf(node)
	if parent != nil {
		parent.children++
		c.dropLeaf(parent)
	}
	return node
}

// release ends a run's hold and drops the nodes that nobody else holds.
func (c *prefixCache) release(holder *run) {
	kept := c.held[holder]
	delete(c.held, holder)
	for index := len(kept) - 1; index >= 0; index-- {
		node := kept[index]
		node.holders--
		present := c.nodes[node.segment.id] == node
		if present && node.holders == 0 && node.children == 0 && node.pins == 0 {
			c.remove(node)
		}
	}
}

func (c *prefixCache) addLeaf(node *cacheNode) {
	node.leafIndex = len(c.leaves)
	c.leaves = append(c.leaves, node)
}

func (c *prefixCache) dropLeaf(node *cacheNode) {
	if node.leafIndex < 0 {
		return
	}
	last := len(c.leaves) - 1
	moved := c.leaves[last]
	c.leaves[node.leafIndex] = moved
	moved.leafIndex = node.leafIndex
	c.leaves = c.leaves[:last]
	node.leafIndex = -1
}
