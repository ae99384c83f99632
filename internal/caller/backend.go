// Package caller serves the callers' HTTP API: it authenticates a tenant,
// admits the request, hands it to a Backend and turns every failure into
// problem details. It holds no state of a program.
package caller

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Backend carries out callers' requests. Each method's error is a
// failure.Failure (see docs/API.md for the types); any other error reaches the
// caller as an internal failure whose outcome is unknown. The tenant is always
// the authenticated one, never taken from the request.
type Backend interface {
	// Open starts a program, or finds the one already opened under the key.
	Open(ctx context.Context, tenant structs.TenantID, request OpenRequest) (ProgramStatus, error)
	// Call issues a call and blocks until its answer is complete; sink gets the
	// parts as they come. A repeat of the same call reads the same answer.
	// An error of the sink ends Call, not the call itself.
	Call(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, request CallRequest, sink AnswerSink) error
	// Read sends the answer of a call issued before, from offset on. It blocks
	// until the answer is complete.
	Read(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, number structs.CallNumber, offset uint64, sink AnswerSink) error
	// Cancel gives a call up. Cancelling a call that has ended changes nothing.
	Cancel(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, number structs.CallNumber) error
	// End ends the program. Ending it again gives the same status.
	End(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (ProgramStatus, error)
	// Status tells what the program has spent and where it stands.
	Status(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (ProgramStatus, error)
}

// OpenRequest asks for a program.
type OpenRequest struct {
	// Program is the declared agent program.
	Program structs.ProgramName `json:"program"`
	// Key is the idempotency key: the same key finds the same program.
	Key string `json:"key"`
	// Budget narrows the declared budget; nil means the declared one.
	Budget *structs.Amount `json:"budget,omitempty"`
	// Parent is the program that opens this one as a sub-agent, or empty.
	Parent structs.ProgramID `json:"parent,omitempty"`
	// DeadlineMilliseconds is the wanted latency of the program; 0 means as declared.
	DeadlineMilliseconds int64 `json:"deadlineMilliseconds,omitempty"`
	// HistoryZones narrows where history may rest; empty means as declared.
	HistoryZones []structs.ZoneName `json:"historyZones,omitempty"`
	// CacheZones narrows where cache may rest; empty means as declared.
	CacheZones []structs.ZoneName `json:"cacheZones,omitempty"`
}

// CallKind says what a call is made to.
type CallKind string

// The kinds of call.
const (
	CallModel CallKind = "model"
	CallTool  CallKind = "tool"
)

// CallRequest asks for one call of a program.
type CallRequest struct {
	// Number is the call's position in its program, from 1.
	Number structs.CallNumber `json:"number"`
	Kind   CallKind           `json:"kind"`
	// Target is the model or the tool.
	Target string `json:"target"`
	// Adapter names an adapter of the model, or is empty.
	Adapter string `json:"adapter,omitempty"`
	// Repeatable calls may be sent again after an unknown outcome.
	Repeatable bool `json:"repeatable,omitempty"`
	// Input is the prompt's new segment or the tool's arguments.
	Input []byte `json:"input,omitempty"`
	// MaxAnswerTokens bounds a model's answer; 0 means as declared.
	MaxAnswerTokens int64 `json:"maxAnswerTokens,omitempty"`
	// ExpectedPauseMilliseconds is the caller's estimate of the pause before
	// its next call; 0 means not known.
	ExpectedPauseMilliseconds int64 `json:"expectedPauseMilliseconds,omitempty"`
}

// AnswerPart is a piece of a call's answer.
type AnswerPart struct {
	// Attempt counts the dispatches of the call, from 1.
	Attempt uint32 `json:"attempt"`
	// Offset is the position of Text in the answer, in bytes.
	Offset uint64 `json:"offset"`
	Text   []byte `json:"text,omitempty"`
	// Restart says that all parts sent before are void: the answer starts
	// again at offset 0 under this part's attempt.
	Restart bool `json:"restart,omitempty"`
	// Complete says that the answer is whole; the usage below is then set.
	Complete     bool  `json:"complete,omitempty"`
	PromptTokens int64 `json:"promptTokens,omitempty"`
	AnswerTokens int64 `json:"answerTokens,omitempty"`
	// ReusedTokens are prompt tokens that the engine found in its cache.
	ReusedTokens int64 `json:"reusedTokens,omitempty"`
}

// AnswerSink takes the parts of an answer in order. It may keep a part's text,
// which must not change any more. Part blocks while the reader is slow. An
// error means that the reader has gone, or that the parts did not follow each
// other; the sender stops and returns it.
type AnswerSink interface {
	Part(part AnswerPart) error
}

// AnswerSinkFunc is a function that serves as an AnswerSink.
type AnswerSinkFunc func(AnswerPart) error

// Part calls the function.
func (f AnswerSinkFunc) Part(part AnswerPart) error { return f(part) }

// ProgramState is where a program stands in its life.
type ProgramState string

// The states of a program.
const (
	ProgramOpen  ProgramState = "open"
	ProgramEnded ProgramState = "ended"
)

// ProgramStatus is what a caller may know of a program.
type ProgramStatus struct {
	ID      structs.ProgramID   `json:"id"`
	Tenant  structs.TenantID    `json:"tenant"`
	Program structs.ProgramName `json:"program"`
	State   ProgramState        `json:"state"`
	// EndCause is why the program ended; empty while it is open.
	EndCause string `json:"endCause,omitempty"`
	// Parent is the program that opened this one, or empty.
	Parent structs.ProgramID `json:"parent,omitempty"`
	// NextCall is the lowest number that no accepted call has.
	NextCall structs.CallNumber `json:"nextCall"`
	// Budget is the most the program may spend. Spent is settled; Reserved is
	// set aside for calls under way. Spent plus Reserved never exceeds Budget.
	Budget   structs.Amount `json:"budget"`
	Spent    structs.Amount `json:"spent"`
	Reserved structs.Amount `json:"reserved"`
	// Deadline is when the program is wanted done; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
}
