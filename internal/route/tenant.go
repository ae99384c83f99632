package route

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// KeyHash is the SHA-256 of a key. Keys themselves are never kept, passed on or written.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText writes the hash in hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads what MarshalText writes. Its error is a *InvalidKeyHash.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return &InvalidKeyHash{Length: len(text)}
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return &InvalidKeyHash{Length: len(text)}
	}
	return nil
}

// InvalidKeyHash reports a text that is no hash of a key. It does not repeat the text.
type InvalidKeyHash struct {
	Length int
}

func (e *InvalidKeyHash) Error() string {
	return fmt.Sprintf("%d characters are no hash of a key, which has %d", e.Length, hex.EncodedLen(sha256.Size))
}

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority ranks the tenant's requests before their routes do, 0 first; nil leaves that
	// to the routes.
	Priority *int
	Quota    Quota
	// Regions are the only ones in which the tenant's requests may be served, and what they
	// say may rest; none is any.
	Regions []string `json:",omitempty"`
}

// Quota bounds a tenant's requests over all gateways together.
type Quota struct {
	// Rate is in requests a second; 0 is no bound.
	Rate float64
	// Burst is how many requests may come on top.
	Burst float64
}

// Bounded reports whether there is a bound at all.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// PriorityRank ranks a tenant's request on a route, the most urgent first at 0: by the tenant's
// priority where it has one, then by the route's.
func PriorityRank(route *Route, tenant *Tenant) int {
	if tenant == nil || tenant.Priority == nil {
		return urgencyStep * route.Priority
	}
	return urgencyStep**tenant.Priority + min(route.Priority, urgencyStep-1)
}

// urgencyStep is the ranks of one step of priority: room for a route's own rank among those
// of one tenant.
const urgencyStep = 2

// tenantIndex finds tenants by the beginning of their keys' hashes.
type tenantIndex map[uint64][]keyOwner

type keyOwner struct {
	key    KeyHash
	tenant *Tenant
}

func indexTenants(tenants []Tenant) tenantIndex {
	index := make(tenantIndex, len(tenants))
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			beginning := hashBeginning(key)
			index[beginning] = append(index[beginning], keyOwner{key: key, tenant: &tenants[i]})
		}
	}
	return index
}

// find returns the tenant that holds a key, or nil. Hashes are compared in a time that
// does not tell how much of them is alike.
func (index tenantIndex) find(key KeyHash) *Tenant {
	for _, owner := range index[hashBeginning(key)] {
		if subtle.ConstantTimeCompare(owner.key[:], key[:]) == 1 {
			return owner.tenant
		}
	}
	return nil
}

func hashBeginning(key KeyHash) uint64 { return binary.BigEndian.Uint64(key[:]) }
