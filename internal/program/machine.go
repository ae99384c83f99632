// Package program is the replicated state machine of agent programs: which
// call may run next, what was answered, what was spent, which engines hold
// memory. It does no I/O. Requests are validated against the committed state
// and answered with records to propose; the state changes only when committed
// records are applied, in the journal's order, the same on every replica.
//
// Two records that were decided against the same state can both be committed.
// Apply therefore checks each record again and ignores one that the state does
// not permit. A dispatcher must ask Dispatched after its proposal was applied
// and send only when it confirms the attempt.
package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Bounds of the state machine.
const (
	// MaxEarlyCalls is how far ahead of the lowest number that was not accepted
	// a call may be accepted.
	MaxEarlyCalls = 32
	// RetentionTime is how long an ended program answers repeats.
	RetentionTime = 10 * time.Minute
	// RemovedTime is how long the id of a removed program is remembered, so
	// that a late repeat of its opening starts nothing.
	RemovedTime = 24 * time.Hour
)

// Machine holds the programs of one shard. It is not safe for concurrent use.
type Machine struct {
	shard    structs.ShardID
	applied  uint64
	programs map[structs.ProgramID]*program
	removed  removedPrograms
	due      dueHeap
}

// NewMachine returns the empty machine of a shard.
func NewMachine(shard structs.ShardID) *Machine {
	return &Machine{
		shard:    shard,
		programs: map[structs.ProgramID]*program{},
		removed:  newRemovedPrograms(),
	}
}

// Applied returns the index of the last journal entry applied.
func (m *Machine) Applied() uint64 { return m.applied }

// ProgramCount returns the number of programs held, ended ones included.
func (m *Machine) ProgramCount() int { return len(m.programs) }

// find returns the tenant's program. Another tenant's program is unknown.
func (m *Machine) find(tenant structs.TenantID, id structs.ProgramID) (*program, error) {
	found, ok := m.programs[id]
	if !ok || found.tenant() != tenant {
		return nil, &failure.UnknownProgram{Program: string(id)}
	}
	return found, nil
}

// findAny returns the program whoever its tenant is.
func (m *Machine) findAny(id structs.ProgramID) (*program, error) {
	found, ok := m.programs[id]
	if !ok {
		return nil, &failure.UnknownProgram{Program: string(id)}
	}
	return found, nil
}

// findCall returns a call that was accepted, with its program.
func (m *Machine) findCall(id structs.ProgramID, number structs.CallNumber) (*program, *call, error) {
	found, err := m.findAny(id)
	if err != nil {
		return nil, nil, err
	}
	issued := found.call(number)
	if issued == nil {
		return nil, nil, &failure.UnknownCall{Number: uint32(number)}
	}
	return found, issued, nil
}
