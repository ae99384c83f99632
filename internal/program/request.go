package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// CallKind says what a call is sent to.
type CallKind string

// The kinds of calls.
const (
	ModelCall CallKind = "model"
	ToolCall  CallKind = "tool"
)

// Causes of a program's end.
const (
	CauseEnded    = "ended"
	CauseIdle     = "idle"
	CauseDeadline = "deadline"
	CauseBudget   = "budget"
	CauseOperator = "operator"
	CauseParent   = "parent_ended"
)

// Decision is what a request leads to. Its records take effect when they are
// committed and applied, not before.
type Decision struct {
	// Records are proposed together, in this order, as one RecordBatch.
	Records []*programv1.Record
	// Repeat says that nothing needs to be proposed: the state already answers.
	Repeat bool
}

// Batch returns the decision's records as the data of one journal entry.
func (d Decision) Batch() *programv1.RecordBatch {
	return &programv1.RecordBatch{Records: d.Records}
}

// OpenRequest opens a program.
type OpenRequest struct {
	ID          structs.ProgramID
	Tenant      structs.TenantID
	ProgramName structs.ProgramName
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey string
	Budget         structs.Amount
	// Deadline ends the whole program; the zero time means none.
	Deadline time.Time
	// IdleTimeout ends a program without activity for so long; 0 means never.
	IdleTimeout  time.Duration
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
	// Parent is the program that opens this one as its sub-agent, or empty.
	Parent   structs.ProgramID
	Priority int
	// Hash covers the content of the opening, to tell a repeat from a conflict.
	Hash uint64
}

// CallRequest issues a call.
type CallRequest struct {
	Program structs.ProgramID
	Tenant  structs.TenantID
	Number  structs.CallNumber
	Kind    CallKind
	// Target is the model or tool name.
	Target     string
	Adapter    string
	Repeatable bool
	// Input is the prompt's new part or the tool's arguments.
	Input           []byte
	MaxAnswerTokens int64
	// ExpectedPause is the caller's hint of the pause after the answer.
	ExpectedPause time.Duration
	// Hash covers the content of the call, to tell a repeat from a conflict.
	Hash uint64
}

// StartRequest announces that a call is about to be sent.
type StartRequest struct {
	Program structs.ProgramID
	Number  structs.CallNumber
	// TargetID is the engine or tool.
	TargetID          string
	TargetIncarnation structs.Incarnation
	TargetAddress     string
	// DispatchKey is the engine stream id or the tool's idempotency key. It is
	// unique to the attempt; only the attempts of a repeatable tool call may
	// share one.
	DispatchKey string
	// Reserve is the upper bound of what the attempt can cost. The machine sets
	// its Turns to 1.
	Reserve structs.Amount
	// MayCache says that the target may cache for the program from here on.
	MayCache bool
}

// FinishRequest ends an attempt that ran.
type FinishRequest struct {
	Program      structs.ProgramID
	Number       structs.CallNumber
	Attempt      uint32
	Answer       []byte
	PromptTokens int64
	AnswerTokens int64
	ReusedTokens int64
	// Spent is the real cost; it is capped at the reservation. The machine sets
	// its Turns to 1.
	Spent structs.Amount
	// FailureType is set where the call ran and failed.
	FailureType   failure.Type
	FailureDetail string
}

// NotRunRequest takes back an attempt, or refuses a call that was never sent.
type NotRunRequest struct {
	Program structs.ProgramID
	Number  structs.CallNumber
	// Attempt is the attempt under way, or 0 for a call that was not started.
	Attempt uint32
	// Spent is what the attempt cost; its Turns are ignored. It must be zero,
	// save for Milliseconds, where GivenUp is false.
	Spent structs.Amount
	// GivenUp says that the attempt may have run, wholly or in part. It is
	// refused for a call that is not repeatable.
	GivenUp bool
	// Final ends the call; otherwise it may be started again.
	Final         bool
	FailureType   failure.Type
	FailureDetail string
}
