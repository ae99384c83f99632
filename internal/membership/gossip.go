package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// pendingFact is a fact that the neighbours are still to be told.
type pendingFact struct {
	fact *fact
	// source is the neighbour that it came from.
	source structs.NodeID
}

// Publish spreads an item. An item that is not newer than the one held is dropped.
func (s *State) Publish(now time.Time, item Item) {
	s.now = now
	s.learn(ItemFact(item), "")
}

// ItemFact is the fact that carries an item.
func ItemFact(item Item) *gossipv1.Fact {
	return &gossipv1.Fact{
		Key:   itemPrefix + item.Key,
		Major: item.Version,
		Minor: xxhash.Sum64(item.Value),
		Value: item.Value,
	}
}

// Item returns the newest item held under the key.
func (s *State) Item(key string) (Item, bool) {
	held := s.facts.get(itemPrefix + key)
	if held == nil {
		return Item{}, false
	}
	return Item{Key: key, Version: held.major, Value: held.value}, true
}

// Items returns all items whose key has the prefix, in no order.
func (s *State) Items(prefix string) []Item {
	var items []Item
	for _, bucket := range s.facts.buckets {
		for _, held := range bucket {
			if key, isItem := strings.CutPrefix(held.key, itemPrefix); isItem && strings.HasPrefix(key, prefix) {
				items = append(items, Item{Key: key, Version: held.major, Value: held.value})
			}
		}
	}
	return items
}

func (s *State) receiveFacts(m *gossipv1.Message) {
	for _, f := range m.Facts {
		s.learn(f, structs.NodeID(m.From))
	}
}

// learn stores a newer fact, reports it and queues it for the neighbours.
func (s *State) learn(message *gossipv1.Fact, source structs.NodeID) bool {
	f := &fact{
		key:     message.Key,
		hash:    keyHash(message.Key),
		value:   message.Value,
		version: version{message.Major, message.Minor},
	}
	if held := s.facts.byHash(f.hash); held != nil && !f.newerThan(held.version) {
		return false
	}
	if !s.accept(f) || !s.facts.put(f) {
		return false
	}
	s.lastChanged = s.now
	if !s.joined {
		// What a joining daemon is told, the others know.
		return true
	}
	if len(s.pending) == 0 {
		s.nextFlush = s.now.Add(s.timing.FlushDelay)
	}
	s.pending = append(s.pending, pendingFact{f, source})
	return true
}

// accept takes over what the fact says and reports whether it may be stored.
func (s *State) accept(f *fact) bool {
	switch {
	case strings.HasPrefix(f.key, nodePrefix):
		return s.acceptNode(f)
	case strings.HasPrefix(f.key, linkPrefix):
		return s.acceptLink(f)
	case strings.HasPrefix(f.key, itemPrefix):
		item := Item{Key: f.key[len(itemPrefix):], Version: f.major, Value: f.value}
		s.emit(Event{Kind: ItemChanged, Item: item})
		return true
	}
	return false
}

// messageFacts bounds the bytes of facts in one message.
const messageFacts = 64 << 10

// flush sends the pending facts to the neighbours, to each without those that
// came from it.
func (s *State) flush() {
	pending := s.pending
	s.pending = nil
	for _, neighbour := range s.topology().neighbours {
		var facts []*gossipv1.Fact
		for _, p := range pending {
			if p.source != neighbour.node.ID && !p.superseded(s) {
				facts = append(facts, p.fact.message())
			}
		}
		s.sendFacts(neighbour.node, facts)
	}
}

func (p pendingFact) superseded(s *State) bool { return s.facts.byHash(p.fact.hash) != p.fact }

// sendFacts sends facts in messages of a bounded size.
func (s *State) sendFacts(to structs.Node, facts []*gossipv1.Fact) {
	size, start := 0, 0
	for i, f := range facts {
		size += len(f.Key) + len(f.Value)
		if size > messageFacts || i == len(facts)-1 {
			s.send(to, &gossipv1.Message{Facts: facts[start : i+1]})
			size, start = 0, i+1
		}
	}
}
