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
// Invariant: no call except the one at the cursor is started.
type program struct {
	id           structs.ProgramID
	openedRecord *programv1.ProgramOpened
	// openedAt, lastActivity and endedAt are times of the leaders' clocks in
	// Unix milliseconds.
	openedAt     int64
	lastActivity int64
	endedAt      int64

	spent         structs.Amount
	reserved      structs.Amount
	granted       structs.Amount
	childrenSpent structs.Amount
	// children maps the sub-agents that are not settled yet to their granted
	// budgets. It includes grants whose child is not opened yet.
	children map[structs.ProgramID]structs.Amount

	// calls holds call n at index n-1. An element is nil if only later calls
	// were accepted so far.
	calls []*call
	// cursor is the index of the first call whose state is not final.
	cursor int
	// acceptedPrefix is the number of calls accepted without a gap, which is
	// also the index of the first call that was not accepted.
	acceptedPrefix int

	holds []cacheHold
	ended bool
	cause string
	// settled is set once the rest of the budget was returned to the parent.
	settled       bool
	historyTokens int64

	dueEntry dueEntry
}

// call is the state of one call.
type call struct {
	acceptedRecord *programv1.CallAccepted
	state          CallState
	attempt        uint32
	// startedRecord is the started attempt, or nil in every state but Started.
	startedRecord *programv1.DispatchStarted
	startedAt     int64
	// dispatchKey is the key of the last attempt.
	dispatchKey string
	// abandonRequested is set if the started attempt must be abandoned.
	abandonRequested bool
	// mayHaveRun is set if an attempt was given up that may have run.
	mayHaveRun bool
	// endedEngines counts the attempts whose engines ended under them.
	endedEngines uint32

	answer        []byte
	promptTokens  int64
	answerTokens  int64
	reusedTokens  int64
	spent         structs.Amount
	failureType   string
	failureDetail string
}

// cacheHold records that one incarnation of an engine may cache data for the
// program.
type cacheHold struct {
	engine      structs.EngineID
	incarnation structs.Incarnation
	address     string
}

func (p *program) tenant() structs.TenantID { return structs.TenantID(p.openedRecord.GetTenant()) }

func (p *program) parent() structs.ProgramID { return structs.ProgramID(p.openedRecord.GetParentId()) }

func (p *program) budget() structs.Amount { return amountFromProto(p.openedRecord.GetBudget()) }

// totalSpent returns what the program and its settled sub-agents spent.
func (p *program) totalSpent() structs.Amount { return p.spent.Plus(p.childrenSpent) }

// remaining returns the budget that may still be reserved or granted.
func (p *program) remaining() structs.Amount {
	return p.budget().Minus(p.totalSpent()).Minus(p.reserved).Minus(p.granted)
}

// call returns the call with this number, or nil.
func (p *program) call(number structs.CallNumber) *call {
	if number == 0 || int64(number) > int64(len(p.calls)) {
		return nil
	}
	return p.calls[number-1]
}

// currentCall returns the call at the cursor, or nil if it is not accepted
// yet.
func (p *program) currentCall() *call {
	if p.cursor >= len(p.calls) {
		return nil
	}
	return p.calls[p.cursor]
}

// startedCall returns the started call, or nil.
func (p *program) startedCall() *call {
	if c := p.currentCall(); c != nil && c.state == Started {
		return c
	}
	return nil
}

// nextNumber returns the lowest call number that was not accepted.
func (p *program) nextNumber() structs.CallNumber { return structs.CallNumber(p.acceptedPrefix + 1) }

// advancePositions advances acceptedPrefix and cursor past accepted calls and
// calls with a final state.
func (p *program) advancePositions() {
	for p.acceptedPrefix < len(p.calls) && p.calls[p.acceptedPrefix] != nil {
		p.acceptedPrefix++
	}
	for p.cursor < len(p.calls) && p.calls[p.cursor] != nil && p.calls[p.cursor].state.Final() {
		p.cursor++
	}
}

// holdIndex returns the index of the hold, or -1.
func (p *program) holdIndex(engine structs.EngineID, incarnation structs.Incarnation) int {
	for i, h := range p.holds {
		if h.engine == engine && h.incarnation == incarnation {
			return i
		}
	}
	return -1
}

// state returns the program's state as its caller sees it.
func (p *program) state() State {
	switch {
	case !p.ended:
		return Open
	case p.startedCall() != nil || len(p.children) > 0:
		return Ending
	default:
		return Ended
	}
}

// recordActivity updates the time of the last activity. Clocks of successive
// leaders may run backwards, but lastActivity never decreases.
func (p *program) recordActivity(unixMs int64) {
	p.lastActivity = max(p.lastActivity, unixMs)
}

// repeatable reports whether another attempt may follow one that may have run.
// Model calls have no effect outside the program.
func (c *call) repeatable() bool {
	return c.acceptedRecord.GetKind() == programv1.CallKind_CALL_KIND_MODEL || c.acceptedRecord.GetRepeatable()
}

// outcome reports whether the call ran. It is empty until the state is final.
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

func unixMsFromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromUnixMs(unixMs int64) time.Time {
	if unixMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unixMs).UTC()
}
