package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// pendingFact is a fact that has not been sent to the neighbours yet.
type pendingFact struct {
	fact *fact
	// source is the neighbour that sent the fact.
	source structs.NodeID
}

// Publish distributes an item. An item that is not newer than the stored one is
// ignored.
func (s *State) Publish(now time.Time, item Item) {
	s.now = now
	s.learnFact(ItemFact(item), "")
}

// ItemFact returns the fact that carries an item.
func ItemFact(item Item) *gossipv1.Fact {
	return &gossipv1.Fact{
		Key:   itemPrefix + item.Key,
		Major: item.Version,
		Minor: xxhash.Sum64(item.Value),
		Value: item.Value,
	}
}

// Item returns the newest known item with the key.
func (s *State) Item(key string) (Item, bool) {
	stored := s.facts.get(itemPrefix + key)
	if stored == nil {
		return Item{}, false
	}
	return Item{Key: key, Version: stored.major, Value: stored.value}, true
}

// Items returns all items whose key has the prefix, in no particular order.
func (s *State) Items(prefix string) []Item {
	var items []Item
	for _, bucket := range s.facts.buckets {
		for _, stored := range bucket {
			if key, isItem := strings.CutPrefix(stored.key, itemPrefix); isItem && strings.HasPrefix(key, prefix) {
				items = append(items, Item{Key: key, Version: stored.major, Value: stored.value})
			}
		}
	}
	return items
}

func (s *State) receiveFacts(m *gossipv1.Message) {
	for _, f := range m.Facts {
		s.learnFact(f, structs.NodeID(m.From))
	}
}

// learnFact stores a fact if it is newer than the stored one, applies it and queues it
// for the neighbours.
func (s *State) learnFact(message *gossipv1.Fact, source structs.NodeID) bool {
	f := &fact{
		key:     message.Key,
		hash:    keyHash(message.Key),
		value:   message.Value,
		version: version{message.Major, message.Minor},
	}
	if stored := s.facts.byHash(f.hash); stored != nil && !f.newerThan(stored.version) {
		return false
	}
	if !s.acceptFact(f) || !s.facts.put(f) {
		return false
	}
	s.lastChanged = s.now
	if !s.joined {
		// The facts that a joining daemon receives are already known to the others.
		return true
	}
	if len(s.pending) == 0 {
		s.nextFlush = s.now.Add(s.timing.FlushDelay)
	}
	s.pending = append(s.pending, pendingFact{f, source})
	return true
}

// acceptFact applies a fact and reports whether it may be stored.
func (s *State) acceptFact(f *fact) bool {
	switch {
	case strings.HasPrefix(f.key, nodePrefix):
		return s.acceptNodeFact(f)
	case strings.HasPrefix(f.key, linkPrefix):
		return s.acceptLinkFact(f)
	case strings.HasPrefix(f.key, itemPrefix):
		item := Item{Key: f.key[len(itemPrefix):], Version: f.major, Value: f.value}
		s.emit(Event{Kind: ItemChanged, Item: item})
		return true
	}
	return false
}

// maxFactBytesPerMessage limits the size of the facts in one message.
const maxFactBytesPerMessage = 64 << 10

// flush sends the pending facts to each neighbour, except those that the neighbour
// sent.
func (s *State) flush() {
	pending := s.pending
	s.pending = nil
	for _, neighbour := range s.topology().neighbours {
		var facts []*gossipv1.Fact
		for _, p := range pending {
			if p.source != neighbour.node.ID && !p.isSuperseded(s) {
				facts = append(facts, p.fact.proto())
			}
		}
		s.sendFacts(neighbour.node, facts)
	}
}

func (p pendingFact) isSuperseded(s *State) bool { return s.facts.byHash(p.fact.hash) != p.fact }

// sendFacts sends facts in messages of limited size.
func (s *State) sendFacts(to structs.Node, facts []*gossipv1.Fact) {
	size, start := 0, 0
	for i, f := range facts {
		size += len(f.Key) + len(f.Value)
		if size > maxFactBytesPerMessage || i == len(facts)-1 {
			s.send(to, &gossipv1.Message{Facts: facts[start : i+1]})
			size, start = 0, i+1
		}
	}
}
