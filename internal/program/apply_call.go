package program

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Failure types that the machine itself assigns to calls: those of
// *failure.ToolOutcomeUnknown, *failure.CallCancelled and
// *failure.ProgramOver.
const (
	failureOutcomeUnknown = "outcome_unknown"
	failureCallCancelled  = "call_cancelled"
	failureProgramEnded   = "program_ended"
)

// startableCall returns the call with this number if an attempt of it may
// start, or nil.
func (p *program) startableCall(number structs.CallNumber) *call {
	c := p.currentCall()
	if p.ended || c == nil || c.acceptedRecord.GetNumber() != uint32(number) || c.state != Accepted {
		return nil
	}
	return c
}

func (p *program) applyStarted(unixMs int64, started *programv1.DispatchStarted) bool {
	c := p.startableCall(structs.CallNumber(started.GetNumber()))
	reserved := amountFromProto(started.GetReserved())
	if c == nil || started.GetAttempt() != c.attempt+1 || reserved.Negative() || !reserved.Within(p.remaining()) {
		return false
	}
	c.state = Started
	c.attempt = started.GetAttempt()
	c.startedRecord = started
	c.startedAt = unixMs
	c.dispatchKey = started.GetDispatchKey()
	p.reserved = reserved
	p.recordActivity(unixMs)
	return true
}

// callWithStartedAttempt returns the call if exactly this attempt of it is
// started, or nil.
func (p *program) callWithStartedAttempt(number, attempt uint32) *call {
	c := p.startedCall()
	if c == nil || c.acceptedRecord.GetNumber() != number || c.attempt != attempt {
		return nil
	}
	return c
}

// settleAttempt replaces the reservation with the cost of the attempt, limited
// to the reservation, and moves the call from Started to the next state.
func (p *program) settleAttempt(c *call, next CallState, spent structs.Amount) {
	spent = clampAmount(spent, p.reserved)
	p.spent = p.spent.Plus(spent)
	c.spent = c.spent.Plus(spent)
	p.reserved = structs.Amount{}
	c.startedRecord = nil
	c.state = next
}

func (p *program) applyFinished(unixMs int64, finished *programv1.DispatchFinished) bool {
	c := p.callWithStartedAttempt(finished.GetNumber(), finished.GetAttempt())
	if c == nil {
		return false
	}
	state := Finished
	if finished.GetFailureType() != "" {
		state = Failed
	}
	p.settleAttempt(c, state, amountFromProto(finished.GetSpent()))
	c.answer = finished.GetAnswer()
	c.promptTokens = finished.GetPromptTokens()
	c.answerTokens = finished.GetAnswerTokens()
	c.reusedTokens = finished.GetReusedTokens()
	c.failureType = finished.GetFailureType()
	c.failureDetail = finished.GetFailureDetail()
	if state == Finished && c.acceptedRecord.GetKind() == programv1.CallKind_CALL_KIND_MODEL {
		p.historyTokens = c.promptTokens + c.answerTokens
	}
	p.recordActivity(unixMs)
	p.advancePositions()
	return true
}

func (p *program) applyOutcomeUnknown(unixMs int64, unknown *programv1.DispatchUnknown) bool {
	c := p.callWithStartedAttempt(unknown.GetNumber(), unknown.GetAttempt())
	if c == nil {
		return false
	}
	p.settleAttempt(c, OutcomeUnknown, p.reserved)
	c.failureType = failureOutcomeUnknown
	c.failureDetail = unknown.GetDetail()
	p.recordActivity(unixMs)
	p.advancePositions()
	return true
}

func (p *program) applyNotRun(unixMs int64, notRun *programv1.DispatchNotRun) bool {
	if notRun.GetAttempt() == 0 {
		return p.applyRefused(unixMs, notRun)
	}
	c := p.callWithStartedAttempt(notRun.GetNumber(), notRun.GetAttempt())
	if c == nil || (notRun.GetGivenUp() && !c.repeatable()) {
		return false
	}
	c.mayHaveRun = c.mayHaveRun || notRun.GetGivenUp()
	if notRun.GetEngineEnded() {
		c.endedEngines++
	}
	p.settleAttempt(c, p.stateAfterNotRun(c, notRun.GetFinal()), amountFromProto(notRun.GetSpent()))
	if c.state.Final() {
		c.failureType = notRun.GetFailureType()
		c.failureDetail = notRun.GetFailureDetail()
	}
	p.recordActivity(unixMs)
	p.advancePositions()
	return true
}

// stateAfterNotRun returns the state of a call whose attempt did not run or
// was given up.
func (p *program) stateAfterNotRun(c *call, final bool) CallState {
	switch {
	case c.abandonRequested || p.ended:
		return Cancelled
	case final:
		return Refused
	default:
		return Accepted
	}
}

// applyRefused ends a call that has no started attempt.
func (p *program) applyRefused(unixMs int64, notRun *programv1.DispatchNotRun) bool {
	c := p.call(structs.CallNumber(notRun.GetNumber()))
	if c == nil || c.state != Accepted || !notRun.GetFinal() {
		return false
	}
	c.state = Refused
	c.failureType = notRun.GetFailureType()
	c.failureDetail = notRun.GetFailureDetail()
	p.recordActivity(unixMs)
	p.advancePositions()
	return true
}

func (p *program) applyCancelled(unixMs int64, cancelled *programv1.CallCancelled) bool {
	c := p.call(structs.CallNumber(cancelled.GetNumber()))
	if c == nil || !p.cancel(c, failureCallCancelled) {
		return false
	}
	p.recordActivity(unixMs)
	p.advancePositions()
	return true
}

// cancel ends a call that is not started and requests abandonment of a started
// repeatable call. A started call that is not repeatable runs to its end. It
// reports whether the call changed.
func (p *program) cancel(c *call, failureType string) bool {
	switch {
	case c.state == Accepted:
		c.state = Cancelled
		c.failureType = failureType
		return true
	case c.state == Started && c.repeatable() && !c.abandonRequested:
		c.abandonRequested = true
		return true
	default:
		return false
	}
}
