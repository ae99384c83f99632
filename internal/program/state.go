package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// program is the state of one program.
//
// Invariant: spent + childrenSpent + reserved + granted is within the budget.
// Invariant: at most the call at the cursor is started.
type program struct {
	id     structs.ProgramID
	opened *programv1.ProgramOpened
	// openedAt, activity and endedAt are leaders' clocks, Unix milliseconds.
	openedAt int64
	activity int64
	endedAt  int64

	spent         structs.Amount
	reserved      structs.Amount
	granted       structs.Amount
	childrenSpent structs.Amount
	// children are the sub-agents not settled yet, with what each was granted.
	// A grant whose child was not opened yet has its entry too.
	children map[structs.ProgramID]structs.Amount

	// calls holds call n at n-1; nil where an early call left a gap.
	calls []*call
	// cursor is the index of the first call whose outcome does not stand.
	cursor int
	// accepted is the index of the first call that was not accepted.
	accepted int

	holds         []hold
	ended         bool
	cause         string
	settled       bool
	historyTokens int64

	due dueEntry
}

// call is the state of one call.
type call struct {
	accepted *programv1.CallAccepted
	state    CallState
	attempt  uint32
	// started is the attempt under way; nil in every state but Started.
	started   *programv1.DispatchStarted
	startedAt int64
	// dispatchKey is the key of the last attempt.
	dispatchKey string
	abandon     bool
	// mayHaveRun says that an attempt was given up that may have run.
	mayHaveRun bool

	answer        []byte
	promptTokens  int64
	answerTokens  int64
	reusedTokens  int64
	spent         structs.Amount
	failureType   string
	failureDetail string
}

// hold is memory of one engine's incarnation that the program may occupy.
type hold struct {
	engine      structs.EngineID
	incarnation structs.Incarnation
	address     string
}

func (p *program) tenant() structs.TenantID { return structs.TenantID(p.opened.GetTenant()) }

func (p *program) parent() structs.ProgramID { return structs.ProgramID(p.opened.GetParentId()) }

func (p *program) budget() structs.Amount { return amountFrom(p.opened.GetBudget()) }

// totalSpent is what the program and its settled sub-agents spent.
func (p *program) totalSpent() structs.Amount { return p.spent.Plus(p.childrenSpent) }

// left is what may still be reserved or granted.
func (p *program) left() structs.Amount {
	return p.budget().Minus(p.totalSpent()).Minus(p.reserved).Minus(p.granted)
}

// call returns the call of that number, or nil.
func (p *program) call(number structs.CallNumber) *call {
	if number == 0 || int64(number) > int64(len(p.calls)) {
		return nil
	}
	return p.calls[number-1]
}

// current returns the call at the cursor, or nil when it was not accepted yet.
func (p *program) current() *call {
	if p.cursor >= len(p.calls) {
		return nil
	}
	return p.calls[p.cursor]
}

// inFlight returns the call that is started, or nil.
func (p *program) inFlight() *call {
	if issued := p.current(); issued != nil && issued.state == Started {
		return issued
	}
	return nil
}

// nextNumber is the lowest call number that was not accepted.
func (p *program) nextNumber() structs.CallNumber { return structs.CallNumber(p.accepted + 1) }

// advance moves both positions over what they need not look at again.
func (p *program) advance() {
	for p.accepted < len(p.calls) && p.calls[p.accepted] != nil {
		p.accepted++
	}
	for p.cursor < len(p.calls) && p.calls[p.cursor] != nil && p.calls[p.cursor].state.Final() {
		p.cursor++
	}
}

// holdIndex returns the position of the hold, or -1.
func (p *program) holdIndex(engine structs.EngineID, incarnation structs.Incarnation) int {
	for i, held := range p.holds {
		if held.engine == engine && held.incarnation == incarnation {
			return i
		}
	}
	return -1
}

// state is the program's state as its caller sees it.
func (p *program) state() State {
	switch {
	case !p.ended:
		return Open
	case p.inFlight() != nil || len(p.children) > 0:
		return Ending
	default:
		return Ended
	}
}

// touch records activity. Clocks of successive leaders may run backwards;
// activity does not.
func (p *program) touch(unixMilliseconds int64) { p.activity = max(p.activity, unixMilliseconds) }

// repeatable reports whether an attempt may be made again after one that may
// have run. Model calls have no effect outside the program.
func (c *call) repeatable() bool {
	return c.accepted.GetKind() == programv1.CallKind_CALL_KIND_MODEL || c.accepted.GetRepeatable()
}

// outcome says whether the call ran, or nothing while that is open.
func (c *call) outcome() failure.Outcome {
	switch c.state {
	case Finished, Failed:
		return failure.Ran
	case OutcomeUnknown:
		return failure.OutcomeUnknown
	case Refused, Cancelled:
		if c.mayHaveRun {
			return failure.Ran
		}
		return failure.NotRun
	default:
		return ""
	}
}

func unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFrom(unixMilliseconds int64) time.Time {
	if unixMilliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMilliseconds).UTC()
}
