package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
)

// bucketCount is the number of buckets that anti-entropy compares. With 15,000 facts,
// the listing of a bucket has about 60 entries.
const bucketCount = 256

// version orders the facts of one key.
type version struct{ major, minor uint64 }

// newerThan reports whether v replaces other.
func (v version) newerThan(other version) bool {
	if v.major != other.major {
		return v.major > other.major
	}
	return v.minor > other.minor
}

// fact is a versioned value of a key.
type fact struct {
	key   string
	hash  uint64
	value []byte
	version
	// tombstone marks the fact of a removed daemon. Tombstones are included in listings
	// but not in digests, so that each daemon can delete them independently.
	tombstone bool
}

func (f *fact) bucket() int { return int(f.hash >> 56) }

// digest returns a hash of key and version. The exclusive or of the digests identifies
// a set of facts.
func (f *fact) digest() uint64 {
	if f.tombstone {
		return 0
	}
	mixed := f.hash ^ f.major*0x9e3779b97f4a7c15 ^ f.minor*0xc2b2ae3d27d4eb4f
	mixed ^= mixed >> 31
	mixed *= 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>29
}

func (f *fact) proto() *gossipv1.Fact {
	return &gossipv1.Fact{Key: f.key, Major: f.major, Minor: f.minor, Value: f.value}
}

// factStore holds the newest fact of each key, and digests of the facts in each bucket.
type factStore struct {
	buckets [bucketCount]map[uint64]*fact
	digests [bucketCount]uint64
	count   int
}

func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

func (s *factStore) get(key string) *fact { return s.byHash(keyHash(key)) }

func (s *factStore) byHash(hash uint64) *fact { return s.buckets[hash>>56][hash] }

// put stores the fact if it is newer than the stored one and reports whether it was.
func (s *factStore) put(f *fact) bool {
	bucket := f.bucket()
	stored := s.buckets[bucket][f.hash]
	if stored != nil && !f.newerThan(stored.version) {
		return false
	}
	if stored == nil {
		s.count++
	} else {
		s.digests[bucket] ^= stored.digest()
	}
	if s.buckets[bucket] == nil {
		s.buckets[bucket] = map[uint64]*fact{}
	}
	s.buckets[bucket][f.hash] = f
	s.digests[bucket] ^= f.digest()
	return true
}

// removeTombstone removes a tombstone.
func (s *factStore) removeTombstone(f *fact) {
	if f.tombstone && s.buckets[f.bucket()][f.hash] == f {
		delete(s.buckets[f.bucket()], f.hash)
		s.count--
	}
}

// rootDigest returns the digest of all facts. It is 0 only if there are none.
func (s *factStore) rootDigest() uint64 {
	var combined uint64
	for _, digest := range s.digests {
		combined ^= digest
	}
	return combined
}

// bucketDigests returns the digest of each bucket, folded to 32 bits for the wire
// format.
func (s *factStore) bucketDigests() []uint32 {
	folded := make([]uint32, bucketCount)
	for i, digest := range s.digests {
		folded[i] = uint32(digest ^ digest>>32)
	}
	return folded
}
