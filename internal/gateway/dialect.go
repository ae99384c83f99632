// Package gateway takes requests of clients by declared routes, keeps budgets
// and turns, chooses workers, and passes answers on whole.
package gateway

import (
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// ReadRequest is what the head of a request says besides method, host and path.
type RequestMetadata struct {
	RequestID string
	// HasKey is set where the client sent a key, Key its hash.
	HasKey  bool
	KeyHash route.KeyHash
	// ClientTimeout is how long the client waits; 0 is unknown.
	ClientTimeout time.Duration
	// Program is the agent program, Line its line of turns.
	Program, Session string
	// ProgramTimeRemaining is the time left until the program should be over; 0 is
	// unknown.
	ProgramTimeRemaining time.Duration
	// TokenBudget is the tokens that all turns of the program may generate; -1 means
	// that the request is no turn.
	TokenBudget int64
	// PromptTokens is the size of the prompt, MaxTokens the most that is
	// generated.
	PromptTokens, MaxTokens int64
	// PreviousTurnID is the turn that this one goes on from.
	PreviousTurnID string
	// LastEventID is the event after which a stream is taken up.
	LastEventID string
	// Prompt are the parts of the prompt, in order.
	Prompt []PromptPart
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// AttemptMetadata is what the gateway adds to the head of one attempt.
type AttemptMetadata struct {
	// WorkerID is the id of the only worker that may run the request.
	WorkerID string
	// Tenant is the name of the tenant that the request belongs to; "" is none.
	Tenant string
	// ClientTimeout is how long the worker may work.
	Timeout time.Duration
	// Priority ranks the request at an engine, 0 first; -1 says nothing.
	Priority int
	// LastEventID is the event after which the stream goes on; "" is the start.
	LastEventID string
}

// HeaderCodec reads and writes heads in the words of the platform that the system
// runs on.
type HeaderCodec interface {
	// ReadinessPath is where readiness is asked for.
	ReadinessPath() string
	// ReadRequest reads the head of a client's request.
	ReadRequest(header http.Header) RequestMetadata
	// WriteAttempt writes the head of an attempt. What a client may not set is dropped from it,
	// the client's key too.
	WriteAttempt(header http.Header, addressing AttemptMetadata)
	// ReadResponse reads the head of a worker's answer.
	ReadResponse(status int, header http.Header) worker.ResponseMetadata
}
