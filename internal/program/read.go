package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ProgramName returns the state of the tenant's program.
// The error is a *failure.UnknownProgram.
func (m *Machine) Status(tenant structs.TenantID, id structs.ProgramID) (Status, error) {
	found, err := m.find(tenant, id)
	if err != nil {
		return Status{}, err
	}
	return found.status(), nil
}

// StatusForAnyTenant returns the state of a program whoever its tenant is, for duties.
func (m *Machine) StatusForAnyTenant(id structs.ProgramID) (Status, bool) {
	found, ok := m.programs[id]
	if !ok {
		return Status{}, false
	}
	return found.status(), true
}

func (p *program) status() Status {
	return Status{
		ID:             p.id,
		Tenant:         p.tenant(),
		ProgramName:    structs.ProgramName(p.opened.GetProgramName()),
		IdempotencyKey: p.opened.GetIdempotencyKey(),
		State:          p.state(),
		Cause:          p.cause,
		NextCall:       p.nextNumber(),
		Budget:         p.budget(),
		Spent:          p.totalSpent(),
		Reserved:       p.reserved,
		Granted:        p.granted,
		Remaining:      p.left(),
		OpenedAt:       timeFrom(p.openedAt),
		LastActivityAt: timeFrom(p.activity),
		Deadline:       timeFrom(p.opened.GetDeadlineUnixMs()),
		IdleTimeout:    time.Duration(p.opened.GetIdleMs()) * time.Millisecond,
		HistoryZones:   texts[structs.ZoneName](p.opened.GetHistoryZones()),
		CacheZones:     texts[structs.ZoneName](p.opened.GetCacheZones()),
		Parent:         p.parent(),
		Children:       sortedChildren(p),
		Priority:       int(p.opened.GetPriority()),
		HistoryTokens:  p.historyTokens,
	}
}

// RunnableCall returns the one call of the program that may be started now.
func (m *Machine) RunnableCall(id structs.ProgramID) (*Call, bool) {
	found, ok := m.programs[id]
	if !ok || found.current() == nil {
		return nil, false
	}
	issued := found.startable(structs.CallNumber(found.cursor + 1))
	if issued == nil {
		return nil, false
	}
	view := found.viewCall(issued)
	return view, view.InputError == nil
}

// Call returns a call that was accepted.
func (m *Machine) Call(id structs.ProgramID, number structs.CallNumber) (*Call, bool) {
	found, issued, err := m.findCall(id, number)
	if err != nil {
		return nil, false
	}
	return found.viewCall(issued), true
}

// StartedCall returns the call when the attempt with that key is the one under
// way. Only then may the attempt be sent, and only by who proposed it.
func (m *Machine) StartedCall(id structs.ProgramID, number structs.CallNumber, dispatchKey string) (*Call, bool) {
	found, issued, err := m.findCall(id, number)
	if err != nil || issued.state != Started || issued.dispatchKey != dispatchKey {
		return nil, false
	}
	view := found.viewCall(issued)
	return view, view.InputError == nil
}

func (p *program) viewCall(issued *call) *Call {
	view := &Call{
		Program:          p.id,
		Number:           structs.CallNumber(issued.accepted.GetNumber()),
		Kind:             kindFrom(issued.accepted.GetKind()),
		Target:           issued.accepted.GetTarget(),
		Adapter:          issued.accepted.GetAdapter(),
		Repeatable:       issued.accepted.GetRepeatable(),
		MaxAnswerTokens:  issued.accepted.GetMaxAnswerTokens(),
		ExpectedPause:    time.Duration(issued.accepted.GetExpectedPauseMs()) * time.Millisecond,
		State:            issued.state,
		Attempt:          issued.attempt,
		AbandonRequested: issued.abandon,
		DispatchKey:      issued.dispatchKey,
	}
	view.Input, view.InputError = unpack(issued.accepted.GetInput())
	if issued.state == Started {
		view.TargetID = issued.started.GetTargetId()
		view.TargetIncarnation = structs.Incarnation(issued.started.GetTargetIncarnation())
		view.TargetAddress = issued.started.GetTargetAddress()
		view.Reserved = p.reserved
		view.StartedAt = timeFrom(issued.startedAt)
	}
	return view
}

// CallResult returns what is known of a call's outcome. Errors:
// *failure.UnknownProgram, *failure.UnknownCall, *BadEncoding.
func (m *Machine) CallResult(tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (CallResult, error) {
	found, err := m.find(tenant, id)
	if err != nil {
		return CallResult{}, err
	}
	issued := found.call(number)
	if issued == nil {
		return CallResult{}, &failure.UnknownCall{Number: uint32(number)}
	}
	text, err := unpack(issued.answer)
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{
		Number:        number,
		Kind:          kindFrom(issued.accepted.GetKind()),
		State:         issued.state,
		Attempt:       issued.attempt,
		Answer:        text,
		PromptTokens:  issued.promptTokens,
		AnswerTokens:  issued.answerTokens,
		ReusedTokens:  issued.reusedTokens,
		Spent:         issued.spent,
		FailureType:   failure.Type(issued.failureType),
		FailureDetail: issued.failureDetail,
		Outcome:       issued.outcome(),
	}, nil
}

// History returns the finished calls of a program in their order: the prompt
// of its next model call. Calls that failed, were refused or cancelled are no
// part of it. Errors: *failure.UnknownProgram, *BadEncoding.
func (m *Machine) History(id structs.ProgramID) ([]Turn, error) {
	packed, err := m.EncodedHistory(id)
	if err != nil {
		return nil, err
	}
	return packed.Turns()
}

// EncodedHistory is a program's history as the machine keeps it. Nothing that it
// refers to is ever changed, so that it may be unpacked while the machine goes
// on.
type EncodedHistory struct{ turns []packedTurn }

// packedTurn refers to a finished call's texts.
type packedTurn struct {
	accepted *programv1.CallAccepted
	answer   []byte
}

// EncodedHistory returns what History unpacks, at a cost that does not depend on
// the size of the texts. The error is a *failure.UnknownProgram.
func (m *Machine) EncodedHistory(id structs.ProgramID) (EncodedHistory, error) {
	found, err := m.findAny(id)
	if err != nil {
		return EncodedHistory{}, err
	}
	packed := EncodedHistory{turns: make([]packedTurn, 0, found.cursor)}
	for _, issued := range found.calls[:found.cursor] {
		if issued.state == Finished {
			packed.turns = append(packed.turns, packedTurn{accepted: issued.accepted, answer: issued.answer})
		}
	}
	return packed, nil
}

// Turns unpacks the history. The error is a *BadEncoding.
func (h EncodedHistory) Turns() ([]Turn, error) {
	var turns []Turn
	for _, packed := range h.turns {
		turn, err := packed.unpack()
		if err != nil {
			return nil, err
		}
		turns = append(turns, turn)
	}
	return turns, nil
}

func (t packedTurn) unpack() (Turn, error) {
	input, err := unpack(t.accepted.GetInput())
	if err != nil {
		return Turn{}, err
	}
	answer, err := unpack(t.answer)
	if err != nil {
		return Turn{}, err
	}
	return Turn{
		Number: structs.CallNumber(t.accepted.GetNumber()),
		Kind:   kindFrom(t.accepted.GetKind()),
		Target: t.accepted.GetTarget(),
		Input:  input,
		Answer: answer,
	}, nil
}
