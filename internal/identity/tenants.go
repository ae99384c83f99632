// Package identity knows callers by their bearer tokens, and secures listeners
// and connections with certificates from files that are read again when they
// change.
package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var eventTokenHash = event.Define(1501, event.Warning, "a declared token hash is no SHA-256 in hex",
	"correct the tenant's tokenSHA256; the token is refused until then")

// tokenHash is the SHA-256 of a bearer token.
type tokenHash [sha256.Size]byte

// tokenEntry is a token that is now accepted.
type tokenEntry struct {
	hash   tokenHash
	tenant structs.TenantID
}

// tokenIndex finds entries by the first eight bytes of their hash. It is
// immutable.
type tokenIndex map[uint64][]tokenEntry

// Tenants finds the tenant of a bearer token by the declarations in force. It
// never holds a token, only hashes. It is safe for concurrent use, and reading
// takes no lock.
type Tenants struct {
	index atomic.Pointer[tokenIndex]
}

// NewTenants returns an index that knows no token yet.
func NewTenants() *Tenants {
	tenants := &Tenants{}
	tenants.index.Store(&tokenIndex{})
	return tenants
}

// Update replaces the index by the tokens of the configuration. Tokens that it
// no longer lists are refused from then on. A nil configuration lists none.
func (t *Tenants) Update(configuration *structs.Configuration) {
	index := tokenIndex{}
	if configuration != nil {
		for _, tenant := range configuration.Declarations.Tenants {
			index.add(tenant)
		}
	}
	t.index.Store(&index)
}

// Tenant returns the tenant whose token it is. The time it takes depends on no
// byte of an accepted token beyond the index's key, which is a hash.
func (t *Tenants) Tenant(token string) (structs.TenantID, bool) {
	if token == "" {
		return "", false
	}
	hash := tokenHash(sha256.Sum256([]byte(token)))
	var found structs.TenantID
	known := false
	for _, entry := range (*t.index.Load())[hash.key()] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			found, known = entry.tenant, true
		}
	}
	return found, known
}

func (x tokenIndex) add(tenant structs.Tenant) {
	for _, text := range tenant.TokenSHA256 {
		hash, valid := parseHash(text)
		if !valid {
			eventTokenHash.Log("tenant", tenant.Name)
			continue
		}
		x[hash.key()] = append(x[hash.key()], tokenEntry{hash: hash, tenant: tenant.Name})
	}
}

func (h tokenHash) key() uint64 { return binary.BigEndian.Uint64(h[:]) }

func parseHash(text string) (tokenHash, bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != sha256.Size {
		return tokenHash{}, false
	}
	return tokenHash(decoded), true
}

// HashToken returns the hash to declare for a token, in hex.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}
