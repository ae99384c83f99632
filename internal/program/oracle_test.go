package program

import (
	"maps"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// oracle is a simple model of programs. It deletes nothing and computes every
// amount from the calls.
type oracle map[structs.ProgramID]*oracleProgram

type oracleProgram struct {
	request               OpenRequest
	parent                *oracleProgram
	children              []*oracleProgram
	calls                 map[structs.CallNumber]*oracleCall
	holds                 map[structs.EngineID]bool
	ended, removed        bool
	endedAt, lastActivity time.Time
	settlementPropagated  bool
}

type oracleCall struct {
	request          CallRequest
	state            CallState
	attempt          uint32
	abandonRequested bool
	mayHaveRun       bool
	engine           structs.EngineID
	key              string
	reserve, spent   structs.Amount
	answer           []byte
}

// effect is what a command does to the oracle, or why it is refused: the type
// of a failure, or "repeat".
type effect struct {
	refusal failure.Type
	apply   func()
}

func refusedWith(kind failure.Type) effect { return effect{refusal: kind} }

var repeatEffect = effect{refusal: "repeat"}

func (p *oracleProgram) startedCall() *oracleCall {
	for _, call := range p.calls {
		if call.state == Started {
			return call
		}
	}
	return nil
}

// settled reports whether neither the program nor its sub-agents can spend
// anything more.
func (p *oracleProgram) settled() bool {
	return p.ended && p.startedCall() == nil && !slices.ContainsFunc(p.children, func(c *oracleProgram) bool { return !c.settled() })
}

// spent returns what the program and its settled children spent.
func (p *oracleProgram) spent() structs.Amount {
	sum := structs.Amount{}
	for _, call := range p.calls {
		sum = sum.Plus(call.spent)
	}
	for _, child := range p.children {
		if child.settled() {
			sum = sum.Plus(child.spent())
		}
	}
	return sum
}

func (p *oracleProgram) remaining() structs.Amount {
	remaining := p.request.Budget.Minus(p.spent())
	if call := p.startedCall(); call != nil {
		remaining = remaining.Minus(call.reserve)
	}
	for _, child := range p.children {
		if !child.settled() {
			remaining = remaining.Minus(child.request.Budget)
		}
	}
	return remaining
}

// firstNumberNot returns the lowest number whose call is missing or not done.
func (p *oracleProgram) firstNumberNot(done func(*oracleCall) bool) structs.CallNumber {
	number := structs.CallNumber(1)
	for p.calls[number] != nil && done(p.calls[number]) {
		number++
	}
	return number
}

func (p *oracleProgram) cursor() structs.CallNumber {
	return p.firstNumberNot(func(c *oracleCall) bool { return c.state.Final() })
}

func (p *oracleProgram) recordActivity(now time.Time) {
	if now.After(p.lastActivity) {
		p.lastActivity = now
	}
}

func (o oracle) open(now time.Time, r OpenRequest) effect {
	if p := o[r.ID]; p != nil {
		switch {
		case p.removed:
			return refusedWith("program_ended")
		case p.request.Hash != r.Hash:
			return refusedWith("call_conflict")
		}
		return repeatEffect
	}
	parent := o[r.Parent]
	if r.Parent != "" {
		switch {
		case parent == nil || parent.removed:
			return refusedWith("unknown_program")
		case parent.ended:
			return refusedWith("program_ended")
		case !r.Budget.Within(parent.remaining()):
			return refusedWith("budget_exceeded")
		}
	}
	return effect{apply: func() {
		o[r.ID] = &oracleProgram{request: r, parent: parent, lastActivity: now,
			calls: map[structs.CallNumber]*oracleCall{}, holds: map[structs.EngineID]bool{}}
		if parent != nil {
			parent.children = append(parent.children, o[r.ID])
			parent.recordActivity(now)
		}
	}}
}

func (o oracle) accept(now time.Time, r CallRequest, state CallState) effect {
	p := o[r.Program]
	earlier := p.calls[r.Number]
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case earlier != nil && earlier.request.Hash != r.Hash:
		return refusedWith("call_conflict")
	case earlier != nil:
		return repeatEffect
	case p.ended:
		return refusedWith("program_ended")
	case r.Number > MaxEarlyCalls+p.firstNumberNot(func(*oracleCall) bool { return true }):
		return refusedWith("wrong_order")
	}
	return effect{apply: func() {
		p.calls[r.Number] = &oracleCall{request: r, state: state}
		p.recordActivity(now)
	}}
}

func (o oracle) start(now time.Time, r StartRequest) effect {
	p := o[r.Program]
	call := p.calls[r.Number]
	reserve := r.Reserve
	reserve.Turns = 1
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case call == nil:
		return refusedWith("unknown_call")
	case p.ended:
		return refusedWith("program_ended")
	case call.state != Accepted:
		return refusedWith("call_conflict")
	case p.cursor() != r.Number:
		return refusedWith("wrong_order")
	case !reserve.Within(p.remaining()):
		return refusedWith("budget_exceeded")
	}
	return effect{apply: func() {
		call.state, call.key, call.reserve, call.engine = Started, r.DispatchKey, reserve, ""
		call.attempt++
		if r.MayCache {
			call.engine = structs.EngineID(r.TargetID)
			p.holds[call.engine] = true
		}
		p.recordActivity(now)
	}}
}

// settleAttempt ends the started attempt and calls updateCall to update the call.
func (o oracle) settleAttempt(now time.Time, id structs.ProgramID, number structs.CallNumber, attempt uint32, spent structs.Amount, updateCall func(*oracleCall)) effect {
	p := o[id]
	call := p.calls[number]
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case call == nil:
		return refusedWith("unknown_call")
	case attempt == 0 || call.attempt != attempt:
		return refusedWith("call_conflict")
	case call.state != Started:
		return repeatEffect
	}
	return effect{apply: func() {
		call.spent = call.spent.Plus(clampAmount(spent, call.reserve))
		updateCall(call)
		p.recordActivity(now)
	}}
}

func (o oracle) notRun(now time.Time, r NotRunRequest) effect {
	p := o[r.Program]
	call := p.calls[r.Number]
	r.Spent.Turns = 0
	if p.removed || call == nil || (r.Attempt != 0 && (!r.GivenUp || call.repeatable())) {
		return o.settleAttempt(now, r.Program, r.Number, r.Attempt, r.Spent, func(call *oracleCall) {
			call.mayHaveRun = call.mayHaveRun || r.GivenUp
			switch {
			case call.abandonRequested || p.ended:
				call.state = Cancelled
			case r.Final:
				call.state = Refused
			default:
				call.state = Accepted
			}
		})
	}
	switch {
	case r.GivenUp && !call.repeatable(), !r.Final:
		return refusedWith("malformed_request")
	case call.state == Started:
		return refusedWith("call_conflict")
	case call.state.Final():
		return repeatEffect
	}
	return effect{apply: func() {
		call.state = Refused
		p.recordActivity(now)
	}}
}

func (c *oracleCall) repeatable() bool { return c.request.Kind == ModelCall || c.request.Repeatable }

func (o oracle) cancel(now time.Time, id structs.ProgramID, number structs.CallNumber) effect {
	p := o[id]
	call := p.calls[number]
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case call == nil:
		return refusedWith("unknown_call")
	case call.state != Accepted && (call.state != Started || !call.repeatable() || call.abandonRequested):
		return repeatEffect
	}
	return effect{apply: func() {
		call.cancel()
		p.recordActivity(now)
	}}
}

func (c *oracleCall) cancel() {
	c.abandonRequested = c.abandonRequested || (c.state == Started && c.repeatable())
	if c.state == Accepted {
		c.state = Cancelled
	}
}

func (o oracle) end(now time.Time, id structs.ProgramID) effect {
	p := o[id]
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case p.ended:
		return repeatEffect
	}
	return effect{apply: func() { p.end(now) }}
}

func (p *oracleProgram) end(now time.Time) {
	if p.ended {
		return
	}
	p.ended, p.endedAt = true, now
	p.recordActivity(now)
	for call := range maps.Values(p.calls) {
		call.cancel()
	}
	for _, child := range p.children {
		child.end(now)
	}
}

func (o oracle) releaseHold(id structs.ProgramID, engine structs.EngineID) effect {
	p := o[id]
	switch call := p.startedCall(); {
	case p.removed:
		return refusedWith("unknown_program")
	case !p.holds[engine]:
		return repeatEffect
	case call != nil && call.engine == engine:
		return refusedWith("call_conflict")
	}
	return effect{apply: func() { delete(p.holds, engine) }}
}

func (o oracle) remove(now time.Time, id structs.ProgramID) effect {
	p := o[id]
	switch {
	case p.removed:
		return refusedWith("unknown_program")
	case !p.settled() || len(p.holds) > 0 || now.Before(p.endedAt.Add(RetentionTime)):
		return refusedWith("call_conflict")
	}
	return effect{apply: func() { p.removed = true }}
}
