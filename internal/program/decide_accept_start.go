package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// CanStartOnAccept reports whether a call with this number could start as soon
// as it is accepted: all calls before it have ended.
func (m *Machine) CanStartOnAccept(id structs.ProgramID, number structs.CallNumber) bool {
	p, exists := m.programs[id]
	return exists && p.canStartOnAccept(number)
}

// canStartOnAccept reports whether the number is the one at the cursor and has
// not been accepted.
func (p *program) canStartOnAccept(number structs.CallNumber) bool {
	return !p.ended && int64(number) == int64(p.cursor)+1 && p.currentCall() == nil
}

// AcceptAndStart accepts a call and, if it can start immediately, also starts
// it. A single entry then replaces two. Otherwise it decides the same as
// Accept. Errors: as for Accept.
func (m *Machine) AcceptAndStart(now time.Time, r CallRequest, start StartRequest) (Decision, error) {
	decision, err := m.Accept(now, r)
	if err != nil || len(decision.Records) != 1 {
		return decision, err
	}
	p := m.programs[r.Program]
	start.Program, start.Number, start.Reserve.Turns = r.Program, r.Number, 1
	if !p.canStartOnAccept(r.Number) || p.checkAttempt(start) != nil {
		return decision, nil
	}
	decision.Records = append(decision.Records, p.startRecords(now, start, 1)...)
	return decision, nil
}
