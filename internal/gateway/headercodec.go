// Package gateway implements the gateway: it matches client requests to declared routes,
// enforces token budgets and tenant quotas, stores turns, selects workers and forwards their
// responses.
package gateway

import (
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// RequestMetadata is the metadata in the headers of a client request.
type RequestMetadata struct {
	RequestID string
	// HasKey is set if the client sent a key; KeyHash is the hash of that key.
	HasKey  bool
	KeyHash route.KeyHash
	// ClientTimeout is how long the client waits; 0 if unknown.
	ClientTimeout time.Duration
	// Program is the id of the agent program and Session the id of its sequence of turns.
	Program, Session string
	// ProgramTimeRemaining is the time left until the program should finish; 0 if unknown.
	ProgramTimeRemaining time.Duration
	// TokenBudget is how many tokens all turns of the program together may generate; -1 if the
	// request is not a turn.
	TokenBudget int64
	// PromptTokens is the size of the prompt and MaxTokens the most that the turn may generate.
	PromptTokens, MaxTokens int64
	// PreviousTurnID is the turn that this turn continues from.
	PreviousTurnID string
	// LastEventID is the event after which a stream is resumed.
	LastEventID string
	// ResumedRequestID is the request that brought the first event of the stream that is resumed after
	// LastEventID.
	ResumedRequestID string
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// AttemptMetadata is the metadata that the gateway adds to the headers of one attempt.
type AttemptMetadata struct {
	// WorkerID is the id of the only worker that may run the request.
	WorkerID string
	// Tenant is the name of the request's tenant; empty if it has none.
	Tenant string
	// Timeout is how long the worker may work.
	Timeout time.Duration
	// Priority is the priority at the engine, 0 being the highest; -1 sets none.
	Priority int
	// LastEventID is the event after which the stream resumes; empty to start at the beginning.
	LastEventID string
}

// HeaderCodec reads and writes the header fields of the platform that the system runs on.
type HeaderCodec interface {
	// ReadinessPath returns the path of the readiness check.
	ReadinessPath() string
	// ReadRequest reads the headers of a client request.
	ReadRequest(header http.Header) RequestMetadata
	// WriteAttempt writes the headers of an attempt. It removes the headers that a client may
	// not set, and the client's key.
	WriteAttempt(header http.Header, metadata AttemptMetadata)
	// ReadResponse reads the headers of a worker's response.
	ReadResponse(status int, header http.Header) worker.ResponseMetadata
}
