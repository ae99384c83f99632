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
	// Open programs accept calls.
	Open State = "open"
	// Ending programs accept no calls. A started call or a sub-agent is not
	// settled yet.
	Ending State = "ending"
	// Ended programs have no started call and no unsettled sub-agent.
	Ended State = "ended"
)

// CallState is the state of a call.
type CallState string

// The states of a call. Accepted and Started are intermediate; the others are
// final.
const (
	Accepted       CallState = "accepted"
	Started        CallState = "started"
	Finished       CallState = "finished"
	Failed         CallState = "failed"
	OutcomeUnknown CallState = "outcome_unknown"
	Refused        CallState = "refused_not_run"
	Cancelled      CallState = "cancelled"
)

// Final reports whether the state cannot change any more.
func (s CallState) Final() bool { return s != Accepted && s != Started }

// Status is the status of a program as its caller may see it.
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
	// Spent includes what settled sub-agents spent.
	Spent structs.Amount
	// Reserved is the budget reserved for the started attempt.
	Reserved structs.Amount
	// Granted is the budget of sub-agents that are not settled yet.
	Granted structs.Amount
	// Remaining is the budget that is neither spent, reserved nor granted.
	Remaining      structs.Amount
	OpenedAt       time.Time
	LastActivityAt time.Time
	// Deadline is the zero time if there is none.
	Deadline     time.Time
	IdleTimeout  time.Duration
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
	Parent       structs.ProgramID
	// Children are the sub-agents that are not settled yet.
	Children []structs.ProgramID
	Priority int
	// HistoryTokens is the size of the prompt and the answer of the last
	// finished model call, as its engine counted them.
	HistoryTokens int64
}

// Call describes a call with what a dispatcher needs to send, resume or
// abandon it.
type Call struct {
	Program    structs.ProgramID
	Number     structs.CallNumber
	Kind       CallKind
	Target     string
	Adapter    string
	Repeatable bool
	Input      []byte
	// InputError is set if Input cannot be decoded. RunnableCall and
	// StartedCall do not return such a call.
	InputError      error
	MaxAnswerTokens int64
	ExpectedPause   time.Duration
	State           CallState
	// Attempt is the last started attempt, counted from 1. 0 means none.
	Attempt uint32
	// EndedEngines is how many attempts ended their engines.
	EndedEngines uint32
	// AbandonRequested is set if the caller cancelled the call or the program
	// has ended. A started attempt must then be stopped and settled. It is
	// never set for a tool call that is not repeatable.
	AbandonRequested bool
	// The target, key, reservation and start time of the last attempt.
	TargetID          string
	TargetIncarnation structs.Incarnation
	TargetAddress     string
	DispatchKey       string
	Reserved          structs.Amount
	StartedAt         time.Time
}

// CallResult is what the journal holds about the outcome of a call.
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
	// FailureType is empty if the call finished or is not final yet.
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

// CacheHold records that an engine may cache data for a program.
type CacheHold struct {
	Program     structs.ProgramID
	Engine      structs.EngineID
	Incarnation structs.Incarnation
	Address     string
	// ProgramEnded is set if the program has ended, so the hold must be
	// released.
	ProgramEnded bool
}

// LeaderTaskKind is the kind of a leader task.
type LeaderTaskKind string

// The kinds of leader tasks.
const (
	// TaskResumeCall: a call was started and has not ended. The leader resumes
	// its stream, queries its outcome, or abandons it (Call.AbandonRequested).
	TaskResumeCall LeaderTaskKind = "resume"
	// TaskReleaseHold: an engine may still cache data for an ended program.
	TaskReleaseHold LeaderTaskKind = "release"
	// TaskEndProgram: the program was idle for too long or is past its
	// deadline.
	TaskEndProgram LeaderTaskKind = "end"
	// TaskRemoveProgram: the program's retention time is over.
	TaskRemoveProgram LeaderTaskKind = "remove"
)

// LeaderTask is work that a leader must do without a request from a caller.
type LeaderTask struct {
	Kind    LeaderTaskKind
	Program structs.ProgramID
	Tenant  structs.TenantID
	// Call is set for TaskResumeCall.
	Call *Call
	// Hold is set for TaskReleaseHold.
	Hold CacheHold
	// Cause is set for TaskEndProgram and is the cause to end the program
	// with.
	Cause string
}
