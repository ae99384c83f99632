package worker

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// NotSent reports an attempt of which no byte reached the worker.
type NotSent struct {
	// Cause is what kept it back.
	Cause error
}

func (e *NotSent) Error() string { return fmt.Sprintf("not sent to the worker: %v", e.Cause) }

// Type returns "attempt_not_sent".
func (e *NotSent) Type() failure.Type { return "attempt_not_sent" }

// Outcome returns NotRun.
func (e *NotSent) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows another worker at once.
func (e *NotSent) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.Cause }

// ResponseLost reports an attempt that was sent and got no whole answer head: it may
// have run.
type ResponseLost struct {
	// Cause is how the connection ended.
	Cause error
	// BodyUnread is set where the worker had not read the whole body by then.
	BodyUnread bool
}

func (e *ResponseLost) Error() string { return fmt.Sprintf("no answer from the worker: %v", e.Cause) }

// Type returns "attempt_lost".
func (e *ResponseLost) Type() failure.Type { return "attempt_lost" }

// Outcome returns OutcomeUnknown.
func (e *ResponseLost) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat: the caller knows what may run twice.
func (e *ResponseLost) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *ResponseLost) Unwrap() error { return e.Cause }

// TooManyConnections reports that a worker has as many connections from this
// process as it may.
type TooManyConnections struct {
	// Worker is the address, Limit the bound.
	Worker string
	Limit  int
}

func (e *TooManyConnections) Error() string {
	return fmt.Sprintf("%d connections to %s are all in use", e.Limit, e.Worker)
}

// Type returns "too_many_connections".
func (e *TooManyConnections) Type() failure.Type { return "too_many_connections" }

// Outcome returns NotRun.
func (e *TooManyConnections) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows another worker at once.
func (e *TooManyConnections) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// MismatchedResponse reports an answer that does not name the request.
type MismatchedResponse struct {
	// Want and Have are request ids.
	Want, Have string
}

func (e *MismatchedResponse) Error() string {
	return fmt.Sprintf("the answer names request %q instead of %q", e.Have, e.Want)
}

// Type returns "foreign_answer".
func (e *MismatchedResponse) Type() failure.Type { return "foreign_answer" }

// Outcome returns OutcomeUnknown.
func (e *MismatchedResponse) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat.
func (e *MismatchedResponse) Retry() failure.Retry { return failure.Retry{} }
