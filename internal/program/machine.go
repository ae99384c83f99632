// Package program implements the replicated state machine of agent programs.
// It decides which call may run next and holds the answers, the spending and
// the engines that may cache data for a program. It does no I/O. Requests are
// validated against the committed state and answered with records to propose.
// The state changes only when committed records are applied, in the journal's
// order, which is the same on every replica.
//
// Two records that were decided against the same state can both be committed.
// Apply therefore checks each record again and ignores it if the state does
// not permit it. After its proposal is applied, a dispatcher must call
// StartedCall and send the call only if StartedCall confirms the attempt.
package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Limits of the state machine.
const (
	// MaxEarlyCalls is how far a call's number may be ahead of the lowest
	// number that was not accepted.
	MaxEarlyCalls = 32
	// RetentionTime is how long an ended program answers repeated requests.
	RetentionTime = 10 * time.Minute
	// RemovedTime is how long the ID of a removed program is kept, so that a
	// late repeat of its opening does not open a new program.
	RemovedTime = 24 * time.Hour
)

// Machine holds the programs of one shard. It is not safe for concurrent use.
type Machine struct {
	shard    structs.ShardID
	applied  uint64
	programs map[structs.ProgramID]*program
	removed  removedPrograms
	dueHeap  dueHeap
}

// NewMachine returns the empty machine of a shard.
func NewMachine(shard structs.ShardID) *Machine {
	return &Machine{
		shard:    shard,
		programs: map[structs.ProgramID]*program{},
		removed:  newRemovedPrograms(),
	}
}

// Applied returns the index of the last applied journal entry.
func (m *Machine) Applied() uint64 { return m.applied }

// ProgramCount returns the number of programs in memory, including ended ones.
func (m *Machine) ProgramCount() int { return len(m.programs) }

// find returns the tenant's program. The program of another tenant is reported
// as unknown.
func (m *Machine) find(tenant structs.TenantID, id structs.ProgramID) (*program, error) {
	p, ok := m.programs[id]
	if !ok || p.tenant() != tenant {
		return nil, &failure.UnknownProgram{Program: string(id)}
	}
	return p, nil
}

// findForAnyTenant returns the program regardless of its tenant.
func (m *Machine) findForAnyTenant(id structs.ProgramID) (*program, error) {
	p, ok := m.programs[id]
	if !ok {
		return nil, &failure.UnknownProgram{Program: string(id)}
	}
	return p, nil
}

// findCall returns an accepted call and its program.
func (m *Machine) findCall(id structs.ProgramID, number structs.CallNumber) (*program, *call, error) {
	p, err := m.findForAnyTenant(id)
	if err != nil {
		return nil, nil, err
	}
	c := p.call(number)
	if c == nil {
		return nil, nil, &failure.UnknownCall{Number: uint32(number)}
	}
	return p, c, nil
}
