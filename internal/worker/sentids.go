package worker

import (
	"hash/maphash"
	"slices"
)

// maxSendsPerConnection bounds how many requests a connection carries, and thereby the memory for their IDs.
// It is large enough that few connections are replaced because of it.
const maxSendsPerConnection = 512

var sentIDSeed = maphash.MakeSeed()

// sentIDs are the IDs of all requests that were sent on a connection, as hashes. Two IDs with the same hash
// count as one.
type sentIDs struct{ hashes []uint64 }

func (s *sentIDs) add(id string) { s.hashes = append(s.hashes, maphash.String(sentIDSeed, id)) }

// contains reports whether a request with the ID was sent.
func (s *sentIDs) contains(id string) bool {
	return slices.Contains(s.hashes, maphash.String(sentIDSeed, id))
}

// isFull reports whether the connection must not carry another request.
func (s *sentIDs) isFull() bool { return len(s.hashes) >= maxSendsPerConnection }
