package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Accept accepts a call. A call at most MaxEarlyCalls ahead of the next number
// is accepted, and starts after the calls before it have ended. For a repeat
// with the same hash, the state already answers. If the budget has no turn
// left, the call is accepted and refused in one step, so a copy of the request
// that arrives later finds the refusal even if turns have been returned by
// then. Errors:
// *failure.UnknownProgram, *failure.Malformed, *failure.CallConflict,
// *failure.ProgramOver, *failure.WrongOrder.
func (m *Machine) Accept(now time.Time, r CallRequest) (Decision, error) {
	p, err := m.find(r.Tenant, r.Program)
	if err != nil {
		return Decision{}, err
	}
	if earlier := p.call(r.Number); earlier != nil {
		if earlier.acceptedRecord.GetRequestHash() != r.Hash {
			return Decision{}, &failure.CallConflict{What: "call number"}
		}
		return repeatDecision, nil
	}
	if err := p.checkAccept(r); err != nil {
		return Decision{}, err
	}
	refusal := checkBudget(structs.Amount{Turns: 1}, p.remaining())
	if refusal != nil {
		r.Input = nil
	}
	record := newRecord(now, r.Program)
	record.Body = &programv1.Record_Accepted{Accepted: newCallAccepted(r)}
	decision := Decision{Records: []*programv1.Record{record}}
	if refusal != nil {
		decision.Records = append(decision.Records, newRefusalRecord(now, r, refusal))
	}
	return decision, nil
}

// newRefusalRecord returns the record that ends a call in the entry that
// accepts it.
func newRefusalRecord(now time.Time, r CallRequest, cause error) *programv1.Record {
	classified := failure.Classify(cause)
	return notRunDecision(now, NotRunRequest{
		Program:       r.Program,
		Number:        r.Number,
		Final:         true,
		FailureType:   classified.Type(),
		FailureDetail: classified.Error(),
	}, structs.Amount{}).Records[0]
}

func (p *program) checkAccept(r CallRequest) error {
	if p.ended {
		return &failure.ProgramOver{Cause: p.cause}
	}
	if err := checkCall(r); err != nil {
		return err
	}
	if !p.mayAccept(r.Number) {
		return &failure.WrongOrder{Got: uint32(r.Number), Next: uint32(p.nextNumber())}
	}
	return nil
}

func checkCall(r CallRequest) error {
	switch {
	case r.Number == 0:
		return &failure.Malformed{Field: "number", Reason: "1 or more"}
	case kindToProto(r.Kind) == programv1.CallKind_CALL_KIND_UNSPECIFIED:
		return &failure.Malformed{Field: "kind", Reason: "model or tool"}
	case r.Target == "":
		return &failure.Malformed{Field: "target", Reason: "the name of a model or tool"}
	case r.MaxAnswerTokens < 0:
		return &failure.Malformed{Field: "maxAnswerTokens", Reason: "0 or more"}
	default:
		return nil
	}
}

func newCallAccepted(r CallRequest) *programv1.CallAccepted {
	return &programv1.CallAccepted{
		Number:          uint32(r.Number),
		Kind:            kindToProto(r.Kind),
		Target:          r.Target,
		Adapter:         r.Adapter,
		Repeatable:      r.Repeatable,
		Input:           encodeText(r.Input),
		MaxAnswerTokens: r.MaxAnswerTokens,
		RequestHash:     r.Hash,
		ExpectedPauseMs: r.ExpectedPause.Milliseconds(),
	}
}

// Start starts the next attempt of the call that may run now. It reserves the
// attempt's budget and records the engine's hold if it is new. The caller may
// send the call only after the records are applied and StartedCall confirms
// the attempt. Errors: *failure.UnknownProgram, *failure.UnknownCall,
// *failure.ProgramOver, *failure.WrongOrder, *failure.CallConflict,
// *failure.Malformed, *failure.BudgetExceeded.
func (m *Machine) Start(now time.Time, r StartRequest) (Decision, error) {
	p, c, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	r.Reserve.Turns = 1
	if err := p.checkStart(c, r); err != nil {
		return Decision{}, err
	}
	return Decision{Records: p.startRecords(now, r, c.attempt+1)}, nil
}

// startRecords returns the records that start an attempt and add the engine's
// hold if it is new.
func (p *program) startRecords(now time.Time, r StartRequest, attempt uint32) []*programv1.Record {
	record := newRecord(now, r.Program)
	record.Body = &programv1.Record_Started{Started: newDispatchStarted(r, attempt)}
	return append([]*programv1.Record{record}, p.holdRecords(now, r)...)
}

func (p *program) checkStart(c *call, r StartRequest) error {
	if p.ended {
		return &failure.ProgramOver{Cause: p.cause}
	}
	if c.state != Accepted {
		return &failure.CallConflict{What: "the call is " + string(c.state)}
	}
	if p.startableCall(r.Number) == nil {
		return &failure.WrongOrder{Got: uint32(r.Number), Next: uint32(p.cursor + 1)}
	}
	if r.DispatchKey == c.dispatchKey && !c.mayReuseDispatchKey() {
		return &failure.Malformed{Field: "dispatchKey", Reason: "a key of its own for each attempt"}
	}
	return p.checkAttempt(r)
}

// checkAttempt returns an error for an attempt that is malformed or does not
// fit the budget.
func (p *program) checkAttempt(r StartRequest) error {
	if r.DispatchKey == "" {
		return &failure.Malformed{Field: "dispatchKey", Reason: "a key of its own for each attempt"}
	}
	if r.Reserve.Negative() {
		return &failure.Malformed{Field: "reserve", Reason: "no member below 0"}
	}
	return checkBudget(r.Reserve, p.remaining())
}

// mayReuseDispatchKey reports whether all attempts may carry the same
// idempotency key. A tool that supports such keys then runs the call once.
func (c *call) mayReuseDispatchKey() bool {
	return c.acceptedRecord.GetKind() == programv1.CallKind_CALL_KIND_TOOL && c.acceptedRecord.GetRepeatable()
}

// holdRecords returns the record that adds the engine's hold, or nothing if
// the hold exists.
func (p *program) holdRecords(now time.Time, r StartRequest) []*programv1.Record {
	engine := structs.EngineID(r.TargetID)
	if !r.MayCache || p.holdIndex(engine, r.TargetIncarnation) >= 0 {
		return nil
	}
	record := newRecord(now, r.Program)
	record.Body = &programv1.Record_Hold{Hold: &programv1.EngineHold{
		EngineId:          r.TargetID,
		EngineIncarnation: uint64(r.TargetIncarnation),
		EngineAddress:     r.TargetAddress,
	}}
	return []*programv1.Record{record}
}

func newDispatchStarted(r StartRequest, attempt uint32) *programv1.DispatchStarted {
	return &programv1.DispatchStarted{
		Number:            uint32(r.Number),
		Attempt:           attempt,
		TargetId:          r.TargetID,
		TargetIncarnation: uint64(r.TargetIncarnation),
		TargetAddress:     r.TargetAddress,
		DispatchKey:       r.DispatchKey,
		Reserved:          amountToProto(r.Reserve),
	}
}

// checkStartedAttempt returns an error unless the attempt is the call's last
// one. It reports a repeat if that attempt has already ended.
func (p *program) checkStartedAttempt(c *call, attempt uint32) (repeat bool, err error) {
	if attempt == 0 || attempt != c.attempt {
		return false, &failure.CallConflict{What: "attempt of the call"}
	}
	return c.state != Started, nil
}

// Finish settles an attempt that ran, with its answer or its failure. Errors:
// *failure.UnknownProgram, *failure.UnknownCall, *failure.CallConflict.
func (m *Machine) Finish(now time.Time, r FinishRequest) (Decision, error) {
	p, c, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	if repeat, err := p.checkStartedAttempt(c, r.Attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	r.Spent.Turns = 1
	record := newRecord(now, r.Program)
	record.Body = &programv1.Record_Finished{Finished: newDispatchFinished(r, clampAmount(r.Spent, p.reserved))}
	return Decision{Records: []*programv1.Record{record}}, nil
}

func newDispatchFinished(r FinishRequest, spent structs.Amount) *programv1.DispatchFinished {
	return &programv1.DispatchFinished{
		Number:        uint32(r.Number),
		Attempt:       r.Attempt,
		Answer:        encodeText(r.Answer),
		PromptTokens:  r.PromptTokens,
		AnswerTokens:  r.AnswerTokens,
		ReusedTokens:  r.ReusedTokens,
		Spent:         amountToProto(spent),
		FailureType:   string(r.FailureType),
		FailureDetail: r.FailureDetail,
	}
}

// RecordOutcomeUnknown ends an attempt whose effect cannot be determined. Its
// whole reservation counts as spent. Errors: as for Finish.
func (m *Machine) RecordOutcomeUnknown(now time.Time, id structs.ProgramID, number structs.CallNumber, attempt uint32, detail string) (Decision, error) {
	p, c, err := m.findCall(id, number)
	if err != nil {
		return Decision{}, err
	}
	if repeat, err := p.checkStartedAttempt(c, attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	body := &programv1.DispatchUnknown{Number: uint32(number), Attempt: attempt, Detail: detail}
	record := newRecord(now, id)
	record.Body = &programv1.Record_Unknown{Unknown: body}
	return Decision{Records: []*programv1.Record{record}}, nil
}

// RecordNotRun ends the started attempt as not run or given up. With Attempt 0
// and Final it refuses a call that was not sent. For a call that is not
// repeatable it states that the attempt is known not to have run, so GivenUp
// and any cost but time are rejected. Errors: *failure.UnknownProgram,
// *failure.UnknownCall, *failure.CallConflict, *failure.Malformed.
func (m *Machine) RecordNotRun(now time.Time, r NotRunRequest) (Decision, error) {
	p, c, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	if err := checkNotRun(c, r); err != nil {
		return Decision{}, err
	}
	if r.Attempt == 0 {
		return decideRefusal(now, c, r)
	}
	if repeat, err := p.checkStartedAttempt(c, r.Attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	r.Spent.Turns = 0
	return notRunDecision(now, r, clampAmount(r.Spent, p.reserved)), nil
}

func checkNotRun(c *call, r NotRunRequest) error {
	if r.GivenUp && !c.repeatable() {
		return &failure.Malformed{Field: "givenUp", Reason: "false for a call that is not repeatable"}
	}
	if !r.GivenUp && (r.Spent.Tokens != 0 || r.Spent.CostMicros != 0) {
		return &failure.Malformed{Field: "spent", Reason: "time only, for an attempt that did not run"}
	}
	return nil
}

// decideRefusal ends a call that has no started attempt. While an attempt is
// started, only the end of that attempt can end the call.
func decideRefusal(now time.Time, c *call, r NotRunRequest) (Decision, error) {
	if !r.Final {
		return Decision{}, &failure.Malformed{Field: "final", Reason: "true for a call that was not sent"}
	}
	if c.state == Started {
		return Decision{}, &failure.CallConflict{What: "the call is started"}
	}
	if c.state != Accepted {
		return repeatDecision, nil
	}
	return notRunDecision(now, r, structs.Amount{}), nil
}

func notRunDecision(now time.Time, r NotRunRequest, spent structs.Amount) Decision {
	record := newRecord(now, r.Program)
	record.Body = &programv1.Record_NotRun{NotRun: &programv1.DispatchNotRun{
		Number:        uint32(r.Number),
		Attempt:       r.Attempt,
		Spent:         amountToProto(spent),
		Final:         r.Final,
		FailureType:   string(r.FailureType),
		FailureDetail: r.FailureDetail,
		GivenUp:       r.GivenUp,
		EngineEnded:   r.EngineEnded,
	}}
	return Decision{Records: []*programv1.Record{record}}
}
