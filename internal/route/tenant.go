package route

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// KeyHash is the SHA-256 hash of a key. Keys themselves are never stored, relayed or logged.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText decodes the output of MarshalText. It fails with *InvalidKeyHash.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return &InvalidKeyHash{Length: len(text)}
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return &InvalidKeyHash{Length: len(text)}
	}
	return nil
}

// InvalidKeyHash reports text that is not a key hash. It does not contain the text, which may be a
// key.
type InvalidKeyHash struct {
	Length int
}

func (e *InvalidKeyHash) Error() string {
	return fmt.Sprintf("invalid key hash: got %d characters, want %d hexadecimal digits", e.Length, hex.EncodedLen(sha256.Size))
}

// Tenant is a customer whose requests contain one of its keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority is the priority of the tenant's requests and precedes the priorities of routes; 0 is
	// the most urgent. If nil, only the priority of the route counts.
	Priority *int
	Quota    Quota
	// Regions are the only regions in which the tenant's requests may be served and their data
	// stored. If empty, all regions are permitted.
	Regions []string `json:",omitempty"`
}

// Quota limits a tenant's requests at all gateways together.
type Quota struct {
	// Rate is the limit in requests per second; 0 is no limit.
	Rate float64
	// Burst is the number of additional requests that may arrive at once.
	Burst float64
}

// Bounded reports whether the quota has a limit.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// PriorityRank returns the rank of a tenant's request on a route; 0 is the most urgent. Requests
// are ranked by the priority of the tenant, if it has one, and then by the priority of the route.
func PriorityRank(route *Route, tenant *Tenant) int {
	if tenant == nil || tenant.Priority == nil {
		return ranksPerPriority * route.Priority
	}
	return ranksPerPriority**tenant.Priority + min(route.Priority, ranksPerPriority-1)
}

// ranksPerPriority is the number of ranks for each priority, so the routes of a tenant with one
// priority can have different ranks.
const ranksPerPriority = 2

// tenantIndex maps the prefix of a key hash to the owners of keys with that prefix.
type tenantIndex map[uint64][]keyOwner

type keyOwner struct {
	key    KeyHash
	tenant *Tenant
}

func indexTenants(tenants []Tenant) tenantIndex {
	index := make(tenantIndex, len(tenants))
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			prefix := hashPrefix(key)
			index[prefix] = append(index[prefix], keyOwner{key: key, tenant: &tenants[i]})
		}
	}
	return index
}

// find returns the tenant that owns a key, or nil. Hashes are compared in constant time, which does
// not reveal how much of them matches.
func (index tenantIndex) find(key KeyHash) *Tenant {
	for _, owner := range index[hashPrefix(key)] {
		if subtle.ConstantTimeCompare(owner.key[:], key[:]) == 1 {
			return owner.tenant
		}
	}
	return nil
}

func hashPrefix(key KeyHash) uint64 { return binary.BigEndian.Uint64(key[:]) }
