package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Accept takes a call. A number that is early by at most MaxEarlyCalls is
// accepted and held back; a repeat with the same hash is answered by the state.
// When no turn is left, the call is accepted and refused in one step: a copy of
// the request that arrives later finds the refusal, also if turns have come
// back by then. Errors: *failure.UnknownProgram, *failure.Malformed,
// *failure.CallConflict, *failure.ProgramOver, *failure.WrongOrder.
func (m *Machine) Accept(now time.Time, r CallRequest) (Decision, error) {
	found, err := m.find(r.Tenant, r.Program)
	if err != nil {
		return Decision{}, err
	}
	if earlier := found.call(r.Number); earlier != nil {
		if earlier.accepted.GetRequestHash() != r.Hash {
			return Decision{}, &failure.CallConflict{What: "call number"}
		}
		return repeated, nil
	}
	if err := found.checkAccept(r); err != nil {
		return Decision{}, err
	}
	refusal := checkBudget(structs.Amount{Turns: 1}, found.left())
	if refusal != nil {
		r.Input = nil
	}
	accepted := record(now, r.Program)
	accepted.Body = &programv1.Record_Accepted{Accepted: acceptedMessage(r)}
	decision := Decision{Records: []*programv1.Record{accepted}}
	if refusal != nil {
		decision.Records = append(decision.Records, refuseAtOnce(now, r, refusal))
	}
	return decision, nil
}

// refuseAtOnce ends a call in the entry that accepts it.
func refuseAtOnce(now time.Time, r CallRequest, cause error) *programv1.Record {
	known := failure.Classify(cause)
	return notRunDecision(now, NotRunRequest{
		Program:       r.Program,
		Number:        r.Number,
		Final:         true,
		FailureType:   known.Type(),
		FailureDetail: known.Error(),
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
	case kindMessage(r.Kind) == programv1.CallKind_CALL_KIND_UNSPECIFIED:
		return &failure.Malformed{Field: "kind", Reason: "model or tool"}
	case r.Target == "":
		return &failure.Malformed{Field: "target", Reason: "the name of a model or tool"}
	case r.MaxAnswerTokens < 0:
		return &failure.Malformed{Field: "maxAnswerTokens", Reason: "0 or more"}
	default:
		return nil
	}
}

func acceptedMessage(r CallRequest) *programv1.CallAccepted {
	return &programv1.CallAccepted{
		Number:          uint32(r.Number),
		Kind:            kindMessage(r.Kind),
		Target:          r.Target,
		Adapter:         r.Adapter,
		Repeatable:      r.Repeatable,
		Input:           pack(r.Input),
		MaxAnswerTokens: r.MaxAnswerTokens,
		RequestHash:     r.Hash,
		ExpectedPauseMs: r.ExpectedPause.Milliseconds(),
	}
}

// Start decides on the next attempt of the call that may run now: its budget
// is reserved, and the engine's hold is recorded where it is new. The caller
// sends the call only after the records were applied and Dispatched confirms
// the attempt. Errors: *failure.UnknownProgram, *failure.UnknownCall,
// *failure.ProgramOver, *failure.WrongOrder, *failure.CallConflict,
// *failure.Malformed, *failure.BudgetExceeded.
func (m *Machine) Start(now time.Time, r StartRequest) (Decision, error) {
	found, issued, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	r.Reserve.Turns = 1
	if err := found.checkStart(issued, r); err != nil {
		return Decision{}, err
	}
	return Decision{Records: found.startRecords(now, r, issued.attempt+1)}, nil
}

// startRecords starts an attempt, and records the engine's hold where it is new.
func (p *program) startRecords(now time.Time, r StartRequest, attempt uint32) []*programv1.Record {
	started := record(now, r.Program)
	started.Body = &programv1.Record_Started{Started: startedMessage(r, attempt)}
	return append([]*programv1.Record{started}, p.holdRecords(now, r)...)
}

func (p *program) checkStart(issued *call, r StartRequest) error {
	if p.ended {
		return &failure.ProgramOver{Cause: p.cause}
	}
	if issued.state != Accepted {
		return &failure.CallConflict{What: "the call is " + string(issued.state)}
	}
	if p.startable(r.Number) == nil {
		return &failure.WrongOrder{Got: uint32(r.Number), Next: uint32(p.cursor + 1)}
	}
	if r.DispatchKey == issued.dispatchKey && !issued.mayShareKey() {
		return &failure.Malformed{Field: "dispatchKey", Reason: "a key of its own for each attempt"}
	}
	return p.checkAttempt(r)
}

// checkAttempt refuses an attempt that is malformed or does not fit the budget.
func (p *program) checkAttempt(r StartRequest) error {
	if r.DispatchKey == "" {
		return &failure.Malformed{Field: "dispatchKey", Reason: "a key of its own for each attempt"}
	}
	if r.Reserve.Negative() {
		return &failure.Malformed{Field: "reserve", Reason: "no member below 0"}
	}
	return checkBudget(r.Reserve, p.left())
}

// mayShareKey reports whether all attempts may carry one idempotency key, so
// that a tool that knows keys runs the call once.
func (c *call) mayShareKey() bool {
	return c.accepted.GetKind() == programv1.CallKind_CALL_KIND_TOOL && c.accepted.GetRepeatable()
}

// holdRecords returns the record of the engine's hold where it is new.
func (p *program) holdRecords(now time.Time, r StartRequest) []*programv1.Record {
	engine := structs.EngineID(r.TargetID)
	if !r.MayCache || p.holdIndex(engine, r.TargetIncarnation) >= 0 {
		return nil
	}
	held := record(now, r.Program)
	held.Body = &programv1.Record_Hold{Hold: &programv1.EngineHold{
		EngineId:          r.TargetID,
		EngineIncarnation: uint64(r.TargetIncarnation),
		EngineAddress:     r.TargetAddress,
	}}
	return []*programv1.Record{held}
}

func startedMessage(r StartRequest, attempt uint32) *programv1.DispatchStarted {
	return &programv1.DispatchStarted{
		Number:            uint32(r.Number),
		Attempt:           attempt,
		TargetId:          r.TargetID,
		TargetIncarnation: uint64(r.TargetIncarnation),
		TargetAddress:     r.TargetAddress,
		DispatchKey:       r.DispatchKey,
		Reserved:          amountMessage(r.Reserve),
	}
}

// checkUnderWay refuses what does not concern the attempt under way. It
// reports a repeat when the same attempt has ended already.
func (p *program) checkUnderWay(issued *call, attempt uint32) (repeat bool, err error) {
	if attempt == 0 || attempt != issued.attempt {
		return false, &failure.CallConflict{What: "attempt of the call"}
	}
	return issued.state != Started, nil
}

// Finish settles an attempt that ran, with its answer or its failure. Errors:
// *failure.UnknownProgram, *failure.UnknownCall, *failure.CallConflict.
func (m *Machine) Finish(now time.Time, r FinishRequest) (Decision, error) {
	found, issued, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	if repeat, err := found.checkUnderWay(issued, r.Attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	r.Spent.Turns = 1
	finished := record(now, r.Program)
	finished.Body = &programv1.Record_Finished{Finished: finishedMessage(r, capped(r.Spent, found.reserved))}
	return Decision{Records: []*programv1.Record{finished}}, nil
}

func finishedMessage(r FinishRequest, spent structs.Amount) *programv1.DispatchFinished {
	return &programv1.DispatchFinished{
		Number:        uint32(r.Number),
		Attempt:       r.Attempt,
		Answer:        pack(r.Answer),
		PromptTokens:  r.PromptTokens,
		AnswerTokens:  r.AnswerTokens,
		ReusedTokens:  r.ReusedTokens,
		Spent:         amountMessage(spent),
		FailureType:   string(r.FailureType),
		FailureDetail: r.FailureDetail,
	}
}

// OutcomeUnknown ends an attempt whose effect cannot be learned; its whole
// reservation counts as spent. Errors as of Finish.
func (m *Machine) RecordOutcomeUnknown(now time.Time, id structs.ProgramID, number structs.CallNumber, attempt uint32, detail string) (Decision, error) {
	found, issued, err := m.findCall(id, number)
	if err != nil {
		return Decision{}, err
	}
	if repeat, err := found.checkUnderWay(issued, attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	body := &programv1.DispatchUnknown{Number: uint32(number), Attempt: attempt, Detail: detail}
	unknown := record(now, id)
	unknown.Body = &programv1.Record_Unknown{Unknown: body}
	return Decision{Records: []*programv1.Record{unknown}}, nil
}

// RecordNotRun takes back the attempt under way, or with Attempt 0 and Final refuses
// a call that was not sent. For a call that is not repeatable it states that
// the attempt is known not to have run: GivenUp and any spending but time are
// refused. Errors: *failure.UnknownProgram, *failure.UnknownCall,
// *failure.CallConflict, *failure.Malformed.
func (m *Machine) RecordNotRun(now time.Time, r NotRunRequest) (Decision, error) {
	found, issued, err := m.findCall(r.Program, r.Number)
	if err != nil {
		return Decision{}, err
	}
	if err := checkNotRun(issued, r); err != nil {
		return Decision{}, err
	}
	if r.Attempt == 0 {
		return refuse(now, issued, r)
	}
	if repeat, err := found.checkUnderWay(issued, r.Attempt); repeat || err != nil {
		return Decision{Repeat: repeat}, err
	}
	r.Spent.Turns = 0
	return notRunDecision(now, r, capped(r.Spent, found.reserved)), nil
}

func checkNotRun(issued *call, r NotRunRequest) error {
	if r.GivenUp && !issued.repeatable() {
		return &failure.Malformed{Field: "givenUp", Reason: "false for a call that is not repeatable"}
	}
	if !r.GivenUp && (r.Spent.Tokens != 0 || r.Spent.CostMicros != 0) {
		return &failure.Malformed{Field: "spent", Reason: "time only, for an attempt that did not run"}
	}
	return nil
}

// refuse ends a call that no attempt of is under way. While one is, only that
// attempt's end can end the call.
func refuse(now time.Time, issued *call, r NotRunRequest) (Decision, error) {
	if !r.Final {
		return Decision{}, &failure.Malformed{Field: "final", Reason: "true for a call that was not sent"}
	}
	if issued.state == Started {
		return Decision{}, &failure.CallConflict{What: "the call is started"}
	}
	if issued.state != Accepted {
		return repeated, nil
	}
	return notRunDecision(now, r, structs.Amount{}), nil
}

func notRunDecision(now time.Time, r NotRunRequest, spent structs.Amount) Decision {
	notRun := record(now, r.Program)
	notRun.Body = &programv1.Record_NotRun{NotRun: &programv1.DispatchNotRun{
		Number:        uint32(r.Number),
		Attempt:       r.Attempt,
		Spent:         amountMessage(spent),
		Final:         r.Final,
		FailureType:   string(r.FailureType),
		FailureDetail: r.FailureDetail,
		GivenUp:       r.GivenUp,
	}}
	return Decision{Records: []*programv1.Record{notRun}}
}
