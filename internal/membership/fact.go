package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
)

// bucketCount is the number of buckets that anti-entropy compares. With
// 15,000 facts a bucket lists about 60.
const bucketCount = 256

// version orders the facts under one key.
type version struct{ major, minor uint64 }

// newerThan reports whether v replaces other.
func (v version) newerThan(other version) bool {
	if v.major != other.major {
		return v.major > other.major
	}
	return v.minor > other.minor
}

// fact is a versioned value under a key.
type fact struct {
	key   string
	hash  uint64
	value []byte
	version
	// retired facts are tombstones: they are listed to peers that disagree but
	// are left out of the digests, so that each daemon may forget them alone.
	retired bool
}

func (f *fact) bucket() int { return int(f.hash >> 56) }

// digest mixes key and version, so that the exclusive or over a set of facts
// tells two sets apart.
func (f *fact) digest() uint64 {
	if f.retired {
		return 0
	}
	mixed := f.hash ^ f.major*0x9e3779b97f4a7c15 ^ f.minor*0xc2b2ae3d27d4eb4f
	mixed ^= mixed >> 31
	mixed *= 0xbf58476d1ce4e5b9
	return mixed ^ mixed>>29
}

func (f *fact) message() *gossipv1.Fact {
	return &gossipv1.Fact{Key: f.key, Major: f.major, Minor: f.minor, Value: f.value}
}

// factStore holds the newest fact under each key and the digests over them.
type factStore struct {
	buckets [bucketCount]map[uint64]*fact
	digests [bucketCount]uint64
	count   int
}

func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

func (s *factStore) get(key string) *fact { return s.byHash(keyHash(key)) }

func (s *factStore) byHash(hash uint64) *fact { return s.buckets[hash>>56][hash] }

// put stores the fact if it is newer than the one held and reports whether it was.
func (s *factStore) put(f *fact) bool {
	bucket := f.bucket()
	held := s.buckets[bucket][f.hash]
	if held != nil && !f.newerThan(held.version) {
		return false
	}
	if held == nil {
		s.count++
	} else {
		s.digests[bucket] ^= held.digest()
	}
	if s.buckets[bucket] == nil {
		s.buckets[bucket] = map[uint64]*fact{}
	}
	s.buckets[bucket][f.hash] = f
	s.digests[bucket] ^= f.digest()
	return true
}

// forget drops a retired fact.
func (s *factStore) forget(f *fact) {
	if f.retired && s.buckets[f.bucket()][f.hash] == f {
		delete(s.buckets[f.bucket()], f.hash)
		s.count--
	}
}

// root is the digest over all facts. It is never 0 unless there are none.
func (s *factStore) root() uint64 {
	var root uint64
	for _, digest := range s.digests {
		root ^= digest
	}
	return root
}

// folded returns the digest of each bucket, folded to 32 bits for the wire.
func (s *factStore) folded() []uint32 {
	folded := make([]uint32, bucketCount)
	for i, digest := range s.digests {
		folded[i] = uint32(digest ^ digest>>32)
	}
	return folded
}
