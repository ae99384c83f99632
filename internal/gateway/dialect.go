// Package gateway takes requests of clients by declared routes, keeps budgets
// and turns, chooses workers, and passes answers on whole.
package gateway

import (
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// Envelope is what the head of a request says besides method, host and path.
type Envelope struct {
	RequestID string
	// Keyed is set where the client sent a key, Key its hash.
	Keyed bool
	Key   route.KeyHash
	// Wait is how long the client waits; 0 is unknown.
	Wait time.Duration
	// Program is the agent program, Line its line of turns.
	Program, Line string
	// FinishWithin is the time left until the program should be over; 0 is
	// unknown.
	FinishWithin time.Duration
	// Budget is the tokens that all turns of the program may generate; -1 means
	// that the request is no turn.
	Budget int64
	// PromptTokens is the size of the prompt, MostTokens the most that is
	// generated.
	PromptTokens, MostTokens int64
	// PreviousTurn is the turn that this one goes on from.
	PreviousTurn string
	// LastEvent is the event after which a stream is taken up.
	LastEvent string
	// Prompt are the parts of the prompt, in order.
	Prompt []PromptPart
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Addressing is what the gateway adds to the head of one attempt.
type Addressing struct {
	// Worker is the id of the only worker that may run the request.
	Worker string
	// Tenant is the name of the tenant that the request belongs to; "" is none.
	Tenant string
	// Wait is how long the worker may work.
	Wait time.Duration
	// Priority ranks the request at an engine, 0 first; -1 says nothing.
	Priority int
	// LastEvent is the event after which the stream goes on; "" is the start.
	LastEvent string
}

// Dialect reads and writes heads in the words of the platform that the system
// runs on.
type Dialect interface {
	// ReadinessPath is where readiness is asked for.
	ReadinessPath() string
	// Envelope reads the head of a client's request.
	Envelope(header http.Header) Envelope
	// Address writes the head of an attempt. What a client may not set is dropped from it,
	// the client's key too.
	Address(header http.Header, addressing Addressing)
	// Head reads the head of a worker's answer.
	Head(status int, header http.Header) worker.Head
}
