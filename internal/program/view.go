package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// State is the state of a program.
type State string

// The states of a program.
const (
	// Open programs take calls.
	Open State = "open"
	// Ending programs take no calls; one call that was sent is not settled yet.
	Ending State = "ending"
	// ProgramEnded programs have nothing under way.
	Ended State = "ended"
)

// CallState is the state of a call.
type CallState string

// The states of a call. Accepted and Started are passed through; the others
// are final.
const (
	Accepted       CallState = "accepted"
	Started        CallState = "started"
	Finished       CallState = "finished"
	Failed         CallState = "failed"
	OutcomeUnknown CallState = "outcome_unknown"
	Refused        CallState = "refused_not_run"
	Cancelled      CallState = "cancelled"
)

// Final reports whether the call's outcome stands.
func (s CallState) Final() bool { return s != Accepted && s != Started }

// Status is a program as its caller may see it.
type Status struct {
	ID             structs.ProgramID
	Tenant         structs.TenantID
	ProgramName    structs.ProgramName
	IdempotencyKey string
	State          State
	// Cause is why the program ended, or empty.
	Cause string
	// NextCall is the lowest number that was not accepted yet.
	NextCall structs.CallNumber
	Budget   structs.Amount
	// Spent includes what ended sub-agents spent.
	Spent structs.Amount
	// Reserved is held for the attempt under way.
	Reserved structs.Amount
	// Granted is the budget of sub-agents that are not settled yet.
	Granted structs.Amount
	// Remaining is neither spent, reserved nor granted.
	Remaining      structs.Amount
	OpenedAt       time.Time
	LastActivityAt time.Time
	// Deadline is the zero time where there is none.
	Deadline     time.Time
	IdleTimeout  time.Duration
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
	Parent       structs.ProgramID
	// Children are the sub-agents that are not settled yet.
	Children []structs.ProgramID
	Priority int
	// HistoryTokens is the size of the prompt and answer of the last model
	// call that finished, as its engine counted them.
	HistoryTokens int64
}

// Call is a call with what a dispatcher needs to send, resume or abandon it.
type Call struct {
	Program    structs.ProgramID
	Number     structs.CallNumber
	Kind       CallKind
	Target     string
	Adapter    string
	Repeatable bool
	Input      []byte
	// InputError is set where Input could not be read. Neither Runnable nor
	// StartedCall returns such a call.
	InputError      error
	MaxAnswerTokens int64
	ExpectedPause   time.Duration
	State           CallState
	// Attempt is the last attempt started, counted from 1; 0 means none.
	Attempt uint32
	// AbandonRequested says that the caller cancelled the call or that the program has
	// ended: a started attempt is to be stopped and settled. It is never set on
	// a tool call that is not repeatable.
	AbandonRequested bool
	// The last attempt's target, key, reservation and start.
	TargetID          string
	TargetIncarnation structs.Incarnation
	TargetAddress     string
	DispatchKey       string
	Reserved          structs.Amount
	StartedAt         time.Time
}

// CallResult is what the journal holds of a call's outcome.
type CallResult struct {
	Number  structs.CallNumber
	Kind    CallKind
	State   CallState
	Attempt uint32
	// Answer is the whole answer of a finished call.
	Answer       []byte
	PromptTokens int64
	AnswerTokens int64
	ReusedTokens int64
	Spent        structs.Amount
	// FailureType is empty where the call finished or is under way.
	FailureType   failure.Type
	FailureDetail string
	// Outcome is empty until the state is final.
	Outcome failure.Outcome
}

// Turn is one finished call in a program's history.
type Turn struct {
	Number structs.CallNumber
	Kind   CallKind
	Target string
	Input  []byte
	Answer []byte
}

// MayCache is an engine's memory that a program may occupy.
type CacheHold struct {
	Program     structs.ProgramID
	Engine      structs.EngineID
	Incarnation structs.Incarnation
	Address     string
	// ProgramEnded says that the program has ended: the hold is to be released.
	ProgramEnded bool
}

// LeaderTaskKind says what a leader owes a program.
type LeaderTaskKind string

// The kinds of duties.
const (
	// TaskResumeCall: a call was started and has no end. The leader takes its
	// stream up again, asks for its outcome, or abandons it (Call.Abandon).
	TaskResumeCall LeaderTaskKind = "resume"
	// TaskReleaseHold: an ended program holds engine memory.
	TaskReleaseHold LeaderTaskKind = "release"
	// TaskEndProgram: the program was idle too long or is past its deadline.
	TaskEndProgram LeaderTaskKind = "end"
	// TaskRemoveProgram: the program's retention is over.
	TaskRemoveProgram LeaderTaskKind = "remove"
)

// LeaderTask is something that a leader must do without being asked by a caller.
type LeaderTask struct {
	Kind    LeaderTaskKind
	Program structs.ProgramID
	Tenant  structs.TenantID
	// Call is set for TaskResumeCall.
	Call *Call
	// MayCache is set for TaskReleaseHold.
	Hold CacheHold
	// Cause is set for TaskEndProgram: the cause to end the program with.
	Cause string
}
