// Package program is the replicated state machine of agent programs: which
// call may run next, what was answered, what was spent, which engines hold
// memory. It does no I/O. Requests are validated against the committed state
// and answered with records to propose; the state changes only when committed
// records are applied, in the journal's order, the same on every replica.
package program

import (
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Machine holds the programs of one shard. It is not safe for concurrent use.
type Machine struct {
	shard structs.ShardID
}

// NewMachine returns the empty machine of a shard.
func NewMachine(shard structs.ShardID) *Machine { return &Machine{shard: shard} }
