package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// CanStartOnAccept reports whether a call of that number, were it accepted now, could
// be started at once: all before it have ended.
func (m *Machine) CanStartOnAccept(id structs.ProgramID, number structs.CallNumber) bool {
	found, exists := m.programs[id]
	return exists && found.nextIs(number)
}

// nextIs reports whether the number is the one at the cursor and not accepted.
func (p *program) nextIs(number structs.CallNumber) bool {
	return !p.ended && int64(number) == int64(p.cursor)+1 && p.current() == nil
}

// AcceptAndStart is Accept, and in the same entry Start, where the call can be
// started at once: one entry then takes the place of two. Where it cannot, the
// decision is that of Accept alone. Errors as of Accept.
func (m *Machine) AcceptAndStart(now time.Time, r CallRequest, start StartRequest) (Decision, error) {
	decision, err := m.Accept(now, r)
	if err != nil || len(decision.Records) != 1 {
		return decision, err
	}
	found := m.programs[r.Program]
	start.Program, start.Number, start.Reserve.Turns = r.Program, r.Number, 1
	if !found.nextIs(r.Number) || found.checkAttempt(start) != nil {
		return decision, nil
	}
	decision.Records = append(decision.Records, found.startRecords(now, start, 1)...)
	return decision, nil
}
