package program

import (
	"maps"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// oracle is a plain model of programs: it keeps everything for ever and works
// out every figure anew from the calls.
type oracle map[structs.ProgramID]*oracleProgram

type oracleProgram struct {
	request           OpenRequest
	parent            *oracleProgram
	children          []*oracleProgram
	calls             map[structs.CallNumber]*oracleCall
	holds             map[structs.EngineID]bool
	ended, removed    bool
	endedAt, activity time.Time
	settledBefore     bool
}

type oracleCall struct {
	request        CallRequest
	state          CallState
	attempt        uint32
	abandon        bool
	mayHaveRun     bool
	engine         structs.EngineID
	key            string
	reserve, spent structs.Amount
	answer         []byte
}

// effect is what a command does to the oracle, and why it is refused: a
// failure's type or "repeat".
type effect struct {
	refused failure.Type
	apply   func()
}

func refusedAs(kind failure.Type) effect { return effect{refused: kind} }

var repeat = effect{refused: "repeat"}

func (p *oracleProgram) started() *oracleCall {
	for _, call := range p.calls {
		if call.state == Started {
			return call
		}
	}
	return nil
}

// settled says that nothing of the program can spend any more.
func (p *oracleProgram) settled() bool {
	return p.ended && p.started() == nil && !slices.ContainsFunc(p.children, func(c *oracleProgram) bool { return !c.settled() })
}

// spent is what the program and its settled children spent.
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

func (p *oracleProgram) left() structs.Amount {
	left := p.request.Budget.Minus(p.spent())
	if call := p.started(); call != nil {
		left = left.Minus(call.reserve)
	}
	for _, child := range p.children {
		if !child.settled() {
			left = left.Minus(child.request.Budget)
		}
	}
	return left
}

// next is the lowest number whose call is missing or has no outcome yet.
func (p *oracleProgram) next(done func(*oracleCall) bool) structs.CallNumber {
	number := structs.CallNumber(1)
	for p.calls[number] != nil && done(p.calls[number]) {
		number++
	}
	return number
}

func (p *oracleProgram) cursor() structs.CallNumber {
	return p.next(func(c *oracleCall) bool { return c.state.Final() })
}

func (p *oracleProgram) touch(now time.Time) {
	if now.After(p.activity) {
		p.activity = now
	}
}

func (o oracle) open(now time.Time, r OpenRequest) effect {
	if p := o[r.ID]; p != nil {
		switch {
		case p.removed:
			return refusedAs("program_ended")
		case p.request.Hash != r.Hash:
			return refusedAs("call_conflict")
		}
		return repeat
	}
	parent := o[r.Parent]
	if r.Parent != "" {
		switch {
		case parent == nil || parent.removed:
			return refusedAs("unknown_program")
		case parent.ended:
			return refusedAs("program_ended")
		case !r.Budget.Within(parent.left()):
			return refusedAs("budget_exceeded")
		}
	}
	return effect{apply: func() {
		o[r.ID] = &oracleProgram{request: r, parent: parent, activity: now,
			calls: map[structs.CallNumber]*oracleCall{}, holds: map[structs.EngineID]bool{}}
		if parent != nil {
			parent.children = append(parent.children, o[r.ID])
			parent.touch(now)
		}
	}}
}

func (o oracle) accept(now time.Time, r CallRequest, state CallState) effect {
	p := o[r.Program]
	earlier := p.calls[r.Number]
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case earlier != nil && earlier.request.Hash != r.Hash:
		return refusedAs("call_conflict")
	case earlier != nil:
		return repeat
	case p.ended:
		return refusedAs("program_ended")
	case r.Number > MaxEarlyCalls+p.next(func(*oracleCall) bool { return true }):
		return refusedAs("wrong_order")
	}
	return effect{apply: func() {
		p.calls[r.Number] = &oracleCall{request: r, state: state}
		p.touch(now)
	}}
}

func (o oracle) start(now time.Time, r StartRequest) effect {
	p := o[r.Program]
	call := p.calls[r.Number]
	reserve := r.Reserve
	reserve.Turns = 1
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case call == nil:
		return refusedAs("unknown_call")
	case p.ended:
		return refusedAs("program_ended")
	case call.state != Accepted:
		return refusedAs("call_conflict")
	case p.cursor() != r.Number:
		return refusedAs("wrong_order")
	case !reserve.Within(p.left()):
		return refusedAs("budget_exceeded")
	}
	return effect{apply: func() {
		call.state, call.key, call.reserve, call.engine = Started, r.DispatchKey, reserve, ""
		call.attempt++
		if r.MayCache {
			call.engine = structs.EngineID(r.TargetID)
			p.holds[call.engine] = true
		}
		p.touch(now)
	}}
}

// settle ends the attempt under way; then says what becomes of the call.
func (o oracle) settle(now time.Time, id structs.ProgramID, number structs.CallNumber, attempt uint32, spent structs.Amount, then func(*oracleCall)) effect {
	p := o[id]
	call := p.calls[number]
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case call == nil:
		return refusedAs("unknown_call")
	case attempt == 0 || call.attempt != attempt:
		return refusedAs("call_conflict")
	case call.state != Started:
		return repeat
	}
	return effect{apply: func() {
		call.spent = call.spent.Plus(capped(spent, call.reserve))
		then(call)
		p.touch(now)
	}}
}

func (o oracle) notRun(now time.Time, r NotRunRequest) effect {
	p := o[r.Program]
	call := p.calls[r.Number]
	r.Spent.Turns = 0
	if p.removed || call == nil || (r.Attempt != 0 && (!r.GivenUp || call.repeatable())) {
		return o.settle(now, r.Program, r.Number, r.Attempt, r.Spent, func(call *oracleCall) {
			call.mayHaveRun = call.mayHaveRun || r.GivenUp
			switch {
			case call.abandon || p.ended:
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
		return refusedAs("malformed_request")
	case call.state == Started:
		return refusedAs("call_conflict")
	case call.state.Final():
		return repeat
	}
	return effect{apply: func() {
		call.state = Refused
		p.touch(now)
	}}
}

func (c *oracleCall) repeatable() bool { return c.request.Kind == ModelCall || c.request.Repeatable }

func (o oracle) cancel(now time.Time, id structs.ProgramID, number structs.CallNumber) effect {
	p := o[id]
	call := p.calls[number]
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case call == nil:
		return refusedAs("unknown_call")
	case call.state != Accepted && (call.state != Started || !call.repeatable() || call.abandon):
		return repeat
	}
	return effect{apply: func() {
		call.stop()
		p.touch(now)
	}}
}

func (c *oracleCall) stop() {
	c.abandon = c.abandon || (c.state == Started && c.repeatable())
	if c.state == Accepted {
		c.state = Cancelled
	}
}

func (o oracle) end(now time.Time, id structs.ProgramID) effect {
	p := o[id]
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case p.ended:
		return repeat
	}
	return effect{apply: func() { p.end(now) }}
}

func (p *oracleProgram) end(now time.Time) {
	if p.ended {
		return
	}
	p.ended, p.endedAt = true, now
	p.touch(now)
	for call := range maps.Values(p.calls) {
		call.stop()
	}
	for _, child := range p.children {
		child.end(now)
	}
}

func (o oracle) released(id structs.ProgramID, engine structs.EngineID) effect {
	p := o[id]
	switch call := p.started(); {
	case p.removed:
		return refusedAs("unknown_program")
	case !p.holds[engine]:
		return repeat
	case call != nil && call.engine == engine:
		return refusedAs("call_conflict")
	}
	return effect{apply: func() { delete(p.holds, engine) }}
}

func (o oracle) remove(now time.Time, id structs.ProgramID) effect {
	p := o[id]
	switch {
	case p.removed:
		return refusedAs("unknown_program")
	case !p.settled() || len(p.holds) > 0 || now.Before(p.endedAt.Add(RetentionTime)):
		return refusedAs("call_conflict")
	}
	return effect{apply: func() { p.removed = true }}
}
