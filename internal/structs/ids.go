// Package structs holds the typed values that several packages share:
// identifiers, budgets, engine states and the operators' declarations.
// It does no I/O and depends on no other package of the project.
package structs

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TenantID names a tenant, as declared by an operator.
type TenantID string

// ProgramName names a declared agent program ("swap-door-session").
type ProgramName string

// NodeID names a daemon. It stays the same when the daemon restarts.
type NodeID string

// Incarnation numbers the lives of one daemon or engine: a process that
// restarted without its memory has a higher incarnation than before.
type Incarnation uint64

// ZoneName names a zone: a set of machines that fail and are cut off together.
type ZoneName string

// EngineID names a model engine.
type EngineID string

// ModelName names a declared model.
type ModelName string

// ToolName names a declared tool service.
type ToolName string

// CallNumber is the position of a call in its program, counted from 1.
type CallNumber uint32

// ShardID numbers a replica group over the whole deployment.
type ShardID uint32

// Domain is a placement domain: a named set of zones in which data may rest.
// Programs with the same permitted zones share a domain.
type Domain struct {
	Name  string     `json:"name"`
	Zones []ZoneName `json:"zones"`
	// FirstShard and ShardCount give the range of shards of the domain.
	FirstShard ShardID `json:"firstShard"`
	ShardCount uint32  `json:"shardCount"`
}

// Permits reports whether the zone belongs to the domain.
func (d Domain) Permits(zone ZoneName) bool {
	for _, permitted := range d.Zones {
		if permitted == zone {
			return true
		}
	}
	return false
}

// ProgramID identifies one run of an agent program. It carries its shard, so
// that any daemon can route it, and is derived from the tenant and the opening
// request's idempotency key, so that a repeated opening finds the same program.
// Form: "<shard in 8 hex digits>-<hash in 32 hex digits>".
type ProgramID string

const (
	shardDigits = 8
	hashDigits  = 32
)

// NewProgramID derives the identifier of the program that tenant opens under
// key in domain. The same arguments always give the same identifier.
func NewProgramID(domain Domain, tenant TenantID, key string) ProgramID {
	low, high := hashPair(string(tenant) + "\x00" + key)
	shard := domain.FirstShard + ShardID(low%uint64(max(domain.ShardCount, 1)))
	return formatProgramID(shard, low, high)
}

// NewChildID derives the identifier of a sub-agent's program. It lies in the
// parent's shard, so that moving budget between the two is one record.
func NewChildID(parent ProgramID, key string) (ProgramID, error) {
	shard, err := parent.Shard()
	if err != nil {
		return "", err
	}
	low, high := hashPair(string(parent) + "\x00" + key)
	return formatProgramID(shard, low, high), nil
}

// Shard returns the shard that the identifier carries.
// The error is a *MalformedProgramID.
func (id ProgramID) Shard() (ShardID, error) {
	prefix, hash, found := strings.Cut(string(id), "-")
	if !found || len(prefix) != shardDigits || len(hash) != hashDigits {
		return 0, &MalformedProgramID{ID: string(id)}
	}
	if _, err := hex.DecodeString(hash); err != nil {
		return 0, &MalformedProgramID{ID: string(id)}
	}
	shard, err := strconv.ParseUint(prefix, 16, 32)
	if err != nil {
		return 0, &MalformedProgramID{ID: string(id)}
	}
	return ShardID(shard), nil
}

// MalformedProgramID reports a program identifier that no daemon ever issued.
type MalformedProgramID struct{ ID string }

func (e *MalformedProgramID) Error() string {
	return fmt.Sprintf("malformed program id %q", e.ID)
}

func formatProgramID(shard ShardID, low, high uint64) ProgramID {
	return ProgramID(fmt.Sprintf("%08x-%016x%016x", uint32(shard), high, low))
}

func hashPair(text string) (low, high uint64) {
	low = xxhash.Sum64String(text)
	high = xxhash.Sum64String(text + "\x01")
	return low, high
}
