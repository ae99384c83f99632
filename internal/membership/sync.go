package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
)

const (
	// bucketsPerRound bounds the buckets that are listed in one message.
	bucketsPerRound = 32
	// syncPause is the least time between two comparisons that a daemon starts.
	syncPause = time.Second
)

// receiveSync handles the anti-entropy parts of a message.
func (s *State) receiveSync(from *member, m *gossipv1.Message) {
	if s.joined && m.Heartbeat > 0 && m.Digest != s.facts.root() {
		s.compareWith(from)
	}
	if m.Sync == nil || !s.joined {
		return
	}
	if len(m.Sync.Buckets) == bucketCount {
		s.listDifferences(from, m.Sync.Buckets, m.Address != "")
	}
	if len(m.Sync.Listed) > 0 {
		s.compareListing(from, m.Sync)
	}
	if len(m.Sync.Wanted) > 0 {
		s.sendWanted(from, m.Sync.Wanted)
	}
}

// compareWith starts a comparison by bucket once the facts have been quiet
// long enough that the difference is no change still on its way.
func (s *State) compareWith(peer *member) {
	if s.now.Before(s.nextSync) || s.now.Sub(s.lastChanged) < s.timing.SettleTime {
		return
	}
	s.nextSync = s.now.Add(syncPause)
	s.send(peer.node, &gossipv1.Message{Sync: &gossipv1.Sync{Buckets: s.facts.folded()}})
}

// listDifferences answers with the index of buckets that differ, beginning at
// a random one. A peer that greets may not know this daemon, which then
// introduces itself along with it.
func (s *State) listDifferences(to *member, theirs []uint32, introduce bool) {
	ours := s.facts.folded()
	sync := &gossipv1.Sync{Reply: true}
	start := s.options.Random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if ours[bucket] == theirs[bucket] {
			continue
		}
		sync.Listed = append(sync.Listed, uint32(bucket))
		sync.Entries = append(sync.Entries, s.entries(bucket)...)
		if len(sync.Listed) == bucketsPerRound {
			break
		}
	}
	if len(sync.Listed) == 0 {
		return
	}
	answer := &gossipv1.Message{Sync: sync}
	if introduce {
		answer.Facts = []*gossipv1.Fact{s.facts.get(nodeKey(s.options.Self.ID)).message()}
	}
	s.send(to.node, answer)
}

func (s *State) entries(bucket int) []*gossipv1.Entry {
	entries := make([]*gossipv1.Entry, 0, len(s.facts.buckets[bucket]))
	for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
		f := s.facts.buckets[bucket][hash]
		entries = append(entries, &gossipv1.Entry{Key: f.hash, Major: f.major, Minor: f.minor})
	}
	return entries
}

// compareListing sends the peer what it lacks and asks for what is newer there.
func (s *State) compareListing(peer *member, sync *gossipv1.Sync) {
	theirs := map[uint64]version{}
	var wanted []uint64
	for _, entry := range sync.Entries {
		theirs[entry.Key] = version{entry.Major, entry.Minor}
		held := s.facts.byHash(entry.Key)
		if held == nil || theirs[entry.Key].newerThan(held.version) {
			wanted = append(wanted, entry.Key)
		}
	}
	var newer []*gossipv1.Fact
	for _, bucket := range sync.Listed {
		if bucket >= bucketCount {
			continue
		}
		for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
			held := s.facts.buckets[bucket][hash]
			listed, known := theirs[hash]
			if !known && !held.retired || known && held.newerThan(listed) {
				newer = append(newer, held.message())
			}
		}
	}
	s.sendFacts(peer.node, newer)
	if len(wanted) > 0 {
		s.send(peer.node, &gossipv1.Message{Sync: &gossipv1.Sync{Wanted: wanted}})
	}
	if len(sync.Listed) == bucketsPerRound && len(wanted) > 0 {
		// More buckets may differ: go on at once, at the peer that has them.
		s.nextSync = s.now
		s.lastChanged = time.Time{}
	}
}

func (s *State) sendWanted(to *member, wanted []uint64) {
	var facts []*gossipv1.Fact
	for _, hash := range wanted {
		if held := s.facts.byHash(hash); held != nil {
			facts = append(facts, held.message())
		}
	}
	s.sendFacts(to.node, facts)
}
