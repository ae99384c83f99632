package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Status returns the status of the tenant's program. The error is a
// *failure.UnknownProgram.
func (m *Machine) Status(tenant structs.TenantID, id structs.ProgramID) (Status, error) {
	p, err := m.find(tenant, id)
	if err != nil {
		return Status{}, err
	}
	return p.status(), nil
}

// StatusForAnyTenant returns the status of a program regardless of its tenant.
// Leader tasks use it.
func (m *Machine) StatusForAnyTenant(id structs.ProgramID) (Status, bool) {
	p, ok := m.programs[id]
	if !ok {
		return Status{}, false
	}
	return p.status(), true
}

func (p *program) status() Status {
	return Status{
		ID:             p.id,
		Tenant:         p.tenant(),
		ProgramName:    structs.ProgramName(p.openedRecord.GetProgramName()),
		IdempotencyKey: p.openedRecord.GetIdempotencyKey(),
		State:          p.state(),
		Cause:          p.cause,
		NextCall:       p.nextNumber(),
		Budget:         p.budget(),
		Spent:          p.totalSpent(),
		Reserved:       p.reserved,
		Granted:        p.granted,
		Remaining:      p.remaining(),
		OpenedAt:       timeFromUnixMs(p.openedAt),
		LastActivityAt: timeFromUnixMs(p.lastActivity),
		Deadline:       timeFromUnixMs(p.openedRecord.GetDeadlineUnixMs()),
		IdleTimeout:    time.Duration(p.openedRecord.GetIdleMs()) * time.Millisecond,
		HistoryZones:   convertStrings[structs.ZoneName](p.openedRecord.GetHistoryZones()),
		CacheZones:     convertStrings[structs.ZoneName](p.openedRecord.GetCacheZones()),
		Parent:         p.parent(),
		Children:       sortedChildIDs(p),
		Priority:       int(p.openedRecord.GetPriority()),
		HistoryTokens:  p.historyTokens,
	}
}

// RunnableCall returns the one call of the program that may be started now.
func (m *Machine) RunnableCall(id structs.ProgramID) (*Call, bool) {
	p, ok := m.programs[id]
	if !ok || p.currentCall() == nil {
		return nil, false
	}
	c := p.startableCall(structs.CallNumber(p.cursor + 1))
	if c == nil {
		return nil, false
	}
	view := p.callView(c)
	return view, view.InputError == nil
}

// Call returns an accepted call.
func (m *Machine) Call(id structs.ProgramID, number structs.CallNumber) (*Call, bool) {
	p, c, err := m.findCall(id, number)
	if err != nil {
		return nil, false
	}
	return p.callView(c), true
}

// StartedCall returns the call if its started attempt has this dispatch key.
// An attempt may be sent only if this confirms it, and only by the daemon that
// proposed it.
func (m *Machine) StartedCall(id structs.ProgramID, number structs.CallNumber, dispatchKey string) (*Call, bool) {
	p, c, err := m.findCall(id, number)
	if err != nil || c.state != Started || c.dispatchKey != dispatchKey {
		return nil, false
	}
	view := p.callView(c)
	return view, view.InputError == nil
}

func (p *program) callView(c *call) *Call {
	view := &Call{
		Program:          p.id,
		Number:           structs.CallNumber(c.acceptedRecord.GetNumber()),
		Kind:             kindFromProto(c.acceptedRecord.GetKind()),
		Target:           c.acceptedRecord.GetTarget(),
		Adapter:          c.acceptedRecord.GetAdapter(),
		Repeatable:       c.acceptedRecord.GetRepeatable(),
		MaxAnswerTokens:  c.acceptedRecord.GetMaxAnswerTokens(),
		ExpectedPause:    time.Duration(c.acceptedRecord.GetExpectedPauseMs()) * time.Millisecond,
		State:            c.state,
		Attempt:          c.attempt,
		EndedEngines:     c.endedEngines,
		AbandonRequested: c.abandonRequested,
		DispatchKey:      c.dispatchKey,
	}
	view.Input, view.InputError = decodeText(c.acceptedRecord.GetInput())
	if c.state == Started {
		view.TargetID = c.startedRecord.GetTargetId()
		view.TargetIncarnation = structs.Incarnation(c.startedRecord.GetTargetIncarnation())
		view.TargetAddress = c.startedRecord.GetTargetAddress()
		view.Reserved = p.reserved
		view.StartedAt = timeFromUnixMs(c.startedAt)
	}
	return view
}

// CallResult returns what is known about the outcome of a call. Errors:
// *failure.UnknownProgram, *failure.UnknownCall, *BadEncoding.
func (m *Machine) CallResult(tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (CallResult, error) {
	p, err := m.find(tenant, id)
	if err != nil {
		return CallResult{}, err
	}
	c := p.call(number)
	if c == nil {
		return CallResult{}, &failure.UnknownCall{Number: uint32(number)}
	}
	text, err := decodeText(c.answer)
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{
		Number:        number,
		Kind:          kindFromProto(c.acceptedRecord.GetKind()),
		State:         c.state,
		Attempt:       c.attempt,
		Answer:        text,
		PromptTokens:  c.promptTokens,
		AnswerTokens:  c.answerTokens,
		ReusedTokens:  c.reusedTokens,
		Spent:         c.spent,
		FailureType:   failure.Type(c.failureType),
		FailureDetail: c.failureDetail,
		Outcome:       c.outcome(),
	}, nil
}

// History returns the finished calls of a program in order: the prompt of its
// next model call. It does not include calls that failed, were refused or were
// cancelled. Errors: *failure.UnknownProgram, *BadEncoding.
func (m *Machine) History(id structs.ProgramID) ([]Turn, error) {
	encoded, err := m.EncodedHistory(id)
	if err != nil {
		return nil, err
	}
	return encoded.Turns()
}

// EncodedHistory is a program's history as the machine stores it. The data
// that it refers to is immutable, so it may be decoded while the machine
// changes.
type EncodedHistory struct{ turns []encodedTurn }

// encodedTurn refers to the texts of a finished call.
type encodedTurn struct {
	accepted *programv1.CallAccepted
	answer   []byte
}

// EncodedHistory returns the history that History decodes, at a cost that does
// not depend on the size of the texts. The error is a *failure.UnknownProgram.
func (m *Machine) EncodedHistory(id structs.ProgramID) (EncodedHistory, error) {
	p, err := m.findForAnyTenant(id)
	if err != nil {
		return EncodedHistory{}, err
	}
	encoded := EncodedHistory{turns: make([]encodedTurn, 0, p.cursor)}
	for _, c := range p.calls[:p.cursor] {
		if c.state == Finished {
			encoded.turns = append(encoded.turns, encodedTurn{accepted: c.acceptedRecord, answer: c.answer})
		}
	}
	return encoded, nil
}

// Turns decodes the history. The error is a *BadEncoding.
func (h EncodedHistory) Turns() ([]Turn, error) {
	var turns []Turn
	for _, encoded := range h.turns {
		turn, err := encoded.decode()
		if err != nil {
			return nil, err
		}
		turns = append(turns, turn)
	}
	return turns, nil
}

func (t encodedTurn) decode() (Turn, error) {
	input, err := decodeText(t.accepted.GetInput())
	if err != nil {
		return Turn{}, err
	}
	answer, err := decodeText(t.answer)
	if err != nil {
		return Turn{}, err
	}
	return Turn{
		Number: structs.CallNumber(t.accepted.GetNumber()),
		Kind:   kindFromProto(t.accepted.GetKind()),
		Target: t.accepted.GetTarget(),
		Input:  input,
		Answer: answer,
	}, nil
}
