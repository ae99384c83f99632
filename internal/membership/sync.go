package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
)

const (
	// maxListedBuckets is the maximum number of buckets that one message lists.
	maxListedBuckets = 32
	// minSyncInterval is the minimum interval between two comparisons that a daemon
	// starts.
	minSyncInterval = time.Second
)

// receiveSync processes the anti-entropy fields of a message.
func (s *State) receiveSync(from *member, m *gossipv1.Message) {
	if s.joined && m.Heartbeat > 0 && m.Digest != s.facts.rootDigest() {
		s.startComparison(from)
	}
	if m.Sync == nil || !s.joined {
		return
	}
	if len(m.Sync.Buckets) == bucketCount {
		s.sendListing(from, m.Sync.Buckets, m.Address != "")
	}
	if len(m.Sync.Listed) > 0 {
		s.handleListing(from, m.Sync)
	}
	if len(m.Sync.Wanted) > 0 {
		s.sendRequestedFacts(from, m.Sync.Wanted)
	}
}

// startComparison starts a comparison by bucket once the facts have been unchanged long
// enough that the difference cannot be a change that is still being disseminated.
func (s *State) startComparison(peer *member) {
	if s.now.Before(s.nextSync) || s.now.Sub(s.lastChanged) < s.timing.SettleTime {
		return
	}
	s.nextSync = s.now.Add(minSyncInterval)
	s.send(peer.node, &gossipv1.Message{Sync: &gossipv1.Sync{Buckets: s.facts.bucketDigests()}})
}

// sendListing replies with listings of the buckets that differ, beginning at a random
// one. If introduce is set, the peer may not know this daemon, so the reply contains
// the fact about it.
func (s *State) sendListing(to *member, theirs []uint32, introduce bool) {
	ours := s.facts.bucketDigests()
	listing := &gossipv1.Sync{Reply: true}
	start := s.options.Random.IntN(bucketCount)
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if ours[bucket] == theirs[bucket] {
			continue
		}
		listing.Listed = append(listing.Listed, uint32(bucket))
		listing.Entries = append(listing.Entries, s.entries(bucket)...)
		if len(listing.Listed) == maxListedBuckets {
			break
		}
	}
	if len(listing.Listed) == 0 {
		return
	}
	reply := &gossipv1.Message{Sync: listing}
	if introduce {
		reply.Facts = []*gossipv1.Fact{s.facts.get(nodeKey(s.options.Self.ID)).proto()}
	}
	s.send(to.node, reply)
}

func (s *State) entries(bucket int) []*gossipv1.Entry {
	entries := make([]*gossipv1.Entry, 0, len(s.facts.buckets[bucket]))
	for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
		f := s.facts.buckets[bucket][hash]
		entries = append(entries, &gossipv1.Entry{Key: f.hash, Major: f.major, Minor: f.minor})
	}
	return entries
}

// handleListing sends the peer the facts that it lacks and requests those that are
// newer there.
func (s *State) handleListing(peer *member, listing *gossipv1.Sync) {
	peerVersions := map[uint64]version{}
	var wanted []uint64
	for _, entry := range listing.Entries {
		peerVersions[entry.Key] = version{entry.Major, entry.Minor}
		stored := s.facts.byHash(entry.Key)
		if stored == nil || peerVersions[entry.Key].newerThan(stored.version) {
			wanted = append(wanted, entry.Key)
		}
	}
	var newer []*gossipv1.Fact
	for _, bucket := range listing.Listed {
		if bucket >= bucketCount {
			continue
		}
		for _, hash := range sortedKeys(s.facts.buckets[bucket]) {
			stored := s.facts.buckets[bucket][hash]
			listed, known := peerVersions[hash]
			if !known && !stored.tombstone || known && stored.newerThan(listed) {
				newer = append(newer, stored.proto())
			}
		}
	}
	s.sendFacts(peer.node, newer)
	if len(wanted) > 0 {
		s.send(peer.node, &gossipv1.Message{Sync: &gossipv1.Sync{Wanted: wanted}})
	}
	if len(listing.Listed) == maxListedBuckets && len(wanted) > 0 {
		// More buckets may differ: continue immediately, at the peer that has newer
		// facts.
		s.nextSync = s.now
		s.lastChanged = time.Time{}
	}
}

func (s *State) sendRequestedFacts(to *member, requested []uint64) {
	var facts []*gossipv1.Fact
	for _, hash := range requested {
		if stored := s.facts.byHash(hash); stored != nil {
			facts = append(facts, stored.proto())
		}
	}
	s.sendFacts(to.node, facts)
}
