package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// CallKind is the kind of target that a call is sent to.
type CallKind string

// The kinds of calls.
const (
	ModelCall CallKind = "model"
	ToolCall  CallKind = "tool"
)

// Causes for which a program ended.
const (
	CauseEnded    = "ended"
	CauseIdle     = "idle"
	CauseDeadline = "deadline"
	CauseBudget   = "budget"
	CauseOperator = "operator"
	CauseParent   = "parent_ended"
)

// Decision is the result of a request. Its records take effect only when they
// are committed and applied.
type Decision struct {
	// Records are proposed together, in this order, as one RecordBatch.
	Records []*programv1.Record
	// Repeat is set if nothing needs to be proposed because the state already
	// answers the request.
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
	// IdempotencyKey is chosen by the caller.
	IdempotencyKey string
	Budget         structs.Amount
	// Deadline is when the whole program is ended. The zero time means no
	// deadline.
	Deadline time.Time
	// IdleTimeout is the time without activity after which the program is
	// ended. 0 means no timeout.
	IdleTimeout  time.Duration
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
	// Parent is the program that opens this one as its sub-agent, or empty.
	Parent   structs.ProgramID
	Priority int
	// Hash covers the content of the opening. It distinguishes a repeat from a
	// conflict.
	Hash uint64
}

// CallRequest issues a call.
type CallRequest struct {
	Program structs.ProgramID
	Tenant  structs.TenantID
	Number  structs.CallNumber
	Kind    CallKind
	// Target is the name of the model or tool.
	Target     string
	Adapter    string
	Repeatable bool
	// Input is the new part of the prompt, or the tool's arguments.
	Input           []byte
	MaxAnswerTokens int64
	// ExpectedPause is the caller's estimate of the pause after the answer.
	ExpectedPause time.Duration
	// Hash covers the content of the call. It distinguishes a repeat from a
	// conflict.
	Hash uint64
}

// StartRequest announces that a call is about to be sent.
type StartRequest struct {
	Program structs.ProgramID
	Number  structs.CallNumber
	// TargetID identifies the engine or tool.
	TargetID          string
	TargetIncarnation structs.Incarnation
	TargetAddress     string
	// DispatchKey is the engine's stream ID or the tool's idempotency key. It
	// is unique to the attempt, except that the attempts of a repeatable tool
	// call may share one key.
	DispatchKey string
	// Reserve is the upper bound of the attempt's cost. The machine sets its
	// Turns to 1.
	Reserve structs.Amount
	// MayCache is set if the target may cache data for the program from now
	// on. A hold is then recorded.
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
	// Spent is the actual cost, limited to the reservation. The machine sets
	// its Turns to 1.
	Spent structs.Amount
	// FailureType is set if the call ran and failed.
	FailureType   failure.Type
	FailureDetail string
}

// NotRunRequest ends an attempt that did not run or was given up, or refuses a
// call that was never sent.
type NotRunRequest struct {
	Program structs.ProgramID
	Number  structs.CallNumber
	// Attempt is the started attempt, or 0 for a call that was not started.
	Attempt uint32
	// Spent is the cost of the attempt. Its Turns are ignored. If GivenUp is
	// false, all members but Milliseconds must be 0.
	Spent structs.Amount
	// GivenUp is set if the attempt may have run, wholly or in part. It is
	// rejected for a call that is not repeatable.
	GivenUp bool
	// EngineEnded is set if the engine ended after it had accepted the attempt.
	EngineEnded bool
	// Final ends the call. Otherwise the call may be started again.
	Final         bool
	FailureType   failure.Type
	FailureDetail string
}
