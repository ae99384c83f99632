package worker

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// NotSent reports an attempt that sent no byte to the worker.
type NotSent struct {
	// Cause is why nothing was sent.
	Cause error
}

func (e *NotSent) Error() string { return fmt.Sprintf("not sent to the worker: %v", e.Cause) }

// Type returns "attempt_not_sent".
func (e *NotSent) Type() failure.Type { return "attempt_not_sent" }

// Outcome returns NotRun.
func (e *NotSent) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows an immediate retry at another worker.
func (e *NotSent) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.Cause }

// ResponseLost reports an attempt that was sent but got no complete response header. The worker may
// have run it.
type ResponseLost struct {
	// Cause is why the connection ended.
	Cause error
	// BodyUnread is set if the worker had not read the whole body by then.
	BodyUnread bool
}

func (e *ResponseLost) Error() string { return fmt.Sprintf("no answer from the worker: %v", e.Cause) }

// Type returns "attempt_lost".
func (e *ResponseLost) Type() failure.Type { return "attempt_lost" }

// Outcome returns OutcomeUnknown.
func (e *ResponseLost) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry, because only the caller knows which requests may run twice.
func (e *ResponseLost) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *ResponseLost) Unwrap() error { return e.Cause }

// TooManyConnections reports that this process already has the maximum number of connections to a
// worker.
type TooManyConnections struct {
	// Worker is the address of the worker, Limit the maximum number of connections.
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

// Retry allows an immediate retry at another worker.
func (e *TooManyConnections) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// MismatchedResponse reports a response that does not contain the ID of the request.
type MismatchedResponse struct {
	// Want and Have are the expected and the received request ID.
	Want, Have string
}

func (e *MismatchedResponse) Error() string {
	return fmt.Sprintf("the answer names request %q instead of %q", e.Have, e.Want)
}

// Type returns "foreign_answer".
func (e *MismatchedResponse) Type() failure.Type { return "foreign_answer" }

// Outcome returns OutcomeUnknown.
func (e *MismatchedResponse) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a retry.
func (e *MismatchedResponse) Retry() failure.Retry { return failure.Retry{} }

// ResponsePart is a part of a response that has a bound.
type ResponsePart string

// The parts. PartHeadLines, PartInterimHeads and PartEvents are bounded in number, the others in bytes.
const (
	PartHead         ResponsePart = "head"
	PartHeadLines    ResponsePart = "head_lines"
	PartInterimHeads ResponsePart = "interim_heads"
	PartBody         ResponsePart = "body"
	PartEvent        ResponsePart = "event"
	PartEvents       ResponsePart = "events"
	PartTurnOutput   ResponsePart = "turn_output"
)

// ResponseTooLarge reports a response of which a part exceeds its bound. The rest is not read, and the
// connection is closed.
type ResponseTooLarge struct {
	Part ResponsePart
	// Limit is the bound.
	Limit int64
}

func (e *ResponseTooLarge) Error() string {
	return fmt.Sprintf("the answer exceeds the bound of its %s, %d", e.Part, e.Limit)
}

// Type returns "answer_too_large".
func (e *ResponseTooLarge) Type() failure.Type { return "answer_too_large" }

// Outcome returns OutcomeUnknown.
func (e *ResponseTooLarge) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *ResponseTooLarge) Retry() failure.Retry { return failure.Retry{} }

// MalformedResponse reports bytes that are no response.
type MalformedResponse struct {
	Cause error
}

func (e *MalformedResponse) Error() string {
	return fmt.Sprintf("the bytes are no answer: %v", e.Cause)
}

// Type returns "answer_malformed".
func (e *MalformedResponse) Type() failure.Type { return "answer_malformed" }

// Outcome returns OutcomeUnknown.
func (e *MalformedResponse) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *MalformedResponse) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *MalformedResponse) Unwrap() error { return e.Cause }

// NoStatusLine reports bytes that do not begin with a status line.
type NoStatusLine struct{}

func (e *NoStatusLine) Error() string { return "they do not begin with a status line" }

// Type returns "no_status_line".
func (e *NoStatusLine) Type() failure.Type { return "no_status_line" }

// Outcome returns OutcomeUnknown.
func (e *NoStatusLine) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *NoStatusLine) Retry() failure.Retry { return failure.Retry{} }

// UnrequestedUpgrade reports a response that switches the protocol. No request asks for that.
type UnrequestedUpgrade struct{}

func (e *UnrequestedUpgrade) Error() string {
	return "they switch the protocol, which was not asked for"
}

// Type returns "unrequested_upgrade".
func (e *UnrequestedUpgrade) Type() failure.Type { return "unrequested_upgrade" }

// Outcome returns OutcomeUnknown.
func (e *UnrequestedUpgrade) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *UnrequestedUpgrade) Retry() failure.Retry { return failure.Retry{} }
