package program

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Failure types that the machine itself gives to calls; the types of
// *failure.ToolOutcomeUnknown, *failure.CallCancelled and *failure.ProgramOver.
const (
	failureOutcomeUnknown = "outcome_unknown"
	failureCallCancelled  = "call_cancelled"
	failureProgramEnded   = "program_ended"
)

// startable returns the call of that number when an attempt of it may start.
func (p *program) startable(number structs.CallNumber) *call {
	issued := p.current()
	if p.ended || issued == nil || issued.accepted.GetNumber() != uint32(number) || issued.state != Accepted {
		return nil
	}
	return issued
}

func (p *program) applyStarted(at int64, started *programv1.DispatchStarted) bool {
	issued := p.startable(structs.CallNumber(started.GetNumber()))
	reserved := amountFrom(started.GetReserved())
	if issued == nil || started.GetAttempt() != issued.attempt+1 || reserved.Negative() || !reserved.Within(p.left()) {
		return false
	}
	issued.state = Started
	issued.attempt = started.GetAttempt()
	issued.started = started
	issued.startedAt = at
	issued.dispatchKey = started.GetDispatchKey()
	p.reserved = reserved
	p.touch(at)
	return true
}

// underWay returns the call when exactly this attempt of it is started.
func (p *program) underWay(number, attempt uint32) *call {
	issued := p.inFlight()
	if issued == nil || issued.accepted.GetNumber() != number || issued.attempt != attempt {
		return nil
	}
	return issued
}

// settle replaces the reservation by what the attempt cost, which is capped at
// the reservation, and takes the call out of Started.
func (p *program) settle(issued *call, next CallState, spent structs.Amount) {
	spent = capped(spent, p.reserved)
	p.spent = p.spent.Plus(spent)
	issued.spent = issued.spent.Plus(spent)
	p.reserved = structs.Amount{}
	issued.started = nil
	issued.state = next
}

func (p *program) applyFinished(at int64, finished *programv1.DispatchFinished) bool {
	issued := p.underWay(finished.GetNumber(), finished.GetAttempt())
	if issued == nil {
		return false
	}
	state := Finished
	if finished.GetFailureType() != "" {
		state = Failed
	}
	p.settle(issued, state, amountFrom(finished.GetSpent()))
	issued.answer = finished.GetAnswer()
	issued.promptTokens = finished.GetPromptTokens()
	issued.answerTokens = finished.GetAnswerTokens()
	issued.reusedTokens = finished.GetReusedTokens()
	issued.failureType = finished.GetFailureType()
	issued.failureDetail = finished.GetFailureDetail()
	if state == Finished && issued.accepted.GetKind() == programv1.CallKind_CALL_KIND_MODEL {
		p.historyTokens = issued.promptTokens + issued.answerTokens
	}
	p.touch(at)
	p.advance()
	return true
}

func (p *program) applyUnknown(at int64, unknown *programv1.DispatchUnknown) bool {
	issued := p.underWay(unknown.GetNumber(), unknown.GetAttempt())
	if issued == nil {
		return false
	}
	p.settle(issued, OutcomeUnknown, p.reserved)
	issued.failureType = failureOutcomeUnknown
	issued.failureDetail = unknown.GetDetail()
	p.touch(at)
	p.advance()
	return true
}

func (p *program) applyNotRun(at int64, notRun *programv1.DispatchNotRun) bool {
	if notRun.GetAttempt() == 0 {
		return p.applyRefused(at, notRun)
	}
	issued := p.underWay(notRun.GetNumber(), notRun.GetAttempt())
	if issued == nil || (notRun.GetGivenUp() && !issued.repeatable()) {
		return false
	}
	issued.mayHaveRun = issued.mayHaveRun || notRun.GetGivenUp()
	p.settle(issued, p.stateAfterNotRun(issued, notRun.GetFinal()), amountFrom(notRun.GetSpent()))
	if issued.state.Final() {
		issued.failureType = notRun.GetFailureType()
		issued.failureDetail = notRun.GetFailureDetail()
	}
	p.touch(at)
	p.advance()
	return true
}

// stateAfterNotRun says what becomes of a call whose attempt was taken back.
func (p *program) stateAfterNotRun(issued *call, final bool) CallState {
	switch {
	case issued.abandon || p.ended:
		return Cancelled
	case final:
		return Refused
	default:
		return Accepted
	}
}

// applyRefused ends a call that no attempt of is under way.
func (p *program) applyRefused(at int64, notRun *programv1.DispatchNotRun) bool {
	issued := p.call(structs.CallNumber(notRun.GetNumber()))
	if issued == nil || issued.state != Accepted || !notRun.GetFinal() {
		return false
	}
	issued.state = Refused
	issued.failureType = notRun.GetFailureType()
	issued.failureDetail = notRun.GetFailureDetail()
	p.touch(at)
	p.advance()
	return true
}

func (p *program) applyCancelled(at int64, cancelled *programv1.CallCancelled) bool {
	issued := p.call(structs.CallNumber(cancelled.GetNumber()))
	if issued == nil || !p.cancel(issued, failureCallCancelled) {
		return false
	}
	p.touch(at)
	p.advance()
	return true
}

// cancel ends a call that is not started and marks one that is to be abandoned.
// A started call that is not repeatable runs to its end.
func (p *program) cancel(issued *call, failureType string) bool {
	switch {
	case issued.state == Accepted:
		issued.state = Cancelled
		issued.failureType = failureType
		return true
	case issued.state == Started && issued.repeatable() && !issued.abandon:
		issued.abandon = true
		return true
	default:
		return false
	}
}
