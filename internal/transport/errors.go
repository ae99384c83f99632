package transport

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// InvalidVersion reports a response in a version of HTTP that its call was not made in.
type InvalidVersion struct {
	// Version is the version as it was sent.
	Version string
}

func (e *InvalidVersion) Error() string {
	return fmt.Sprintf("%q is no version of HTTP that was asked for", e.Version)
}

// Type returns "invalid_version".
func (e *InvalidVersion) Type() failure.Type { return "invalid_version" }

// Outcome returns OutcomeUnknown.
func (e *InvalidVersion) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *InvalidVersion) Retry() failure.Retry { return failure.Retry{} }

// MisplacedEncoding reports a response with a transfer encoding in a version of HTTP that has none.
type MisplacedEncoding struct{}

func (e *MisplacedEncoding) Error() string {
	return "their version of HTTP has no transfer encodings"
}

// Type returns "misplaced_encoding".
func (e *MisplacedEncoding) Type() failure.Type { return "misplaced_encoding" }

// Outcome returns OutcomeUnknown.
func (e *MisplacedEncoding) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *MisplacedEncoding) Retry() failure.Retry { return failure.Retry{} }

// InvalidStatus reports a response whose status is outside those that are valid.
type InvalidStatus struct {
	// Status is the status with its reason, as it was sent.
	Status string
}

func (e *InvalidStatus) Error() string {
	return fmt.Sprintf("the status %q is outside %d to %d", e.Status, minStatus, maxStatus)
}

// Type returns "invalid_status".
func (e *InvalidStatus) Type() failure.Type { return "invalid_status" }

// Outcome returns OutcomeUnknown.
func (e *InvalidStatus) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *InvalidStatus) Retry() failure.Retry { return failure.Retry{} }

// InvalidFieldName reports a response with a field whose name is no token.
type InvalidFieldName struct {
	Name string
}

func (e *InvalidFieldName) Error() string { return fmt.Sprintf("%q is no name of a field", e.Name) }

// Type returns "invalid_field_name".
func (e *InvalidFieldName) Type() failure.Type { return "invalid_field_name" }

// Outcome returns OutcomeUnknown.
func (e *InvalidFieldName) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *InvalidFieldName) Retry() failure.Retry { return failure.Retry{} }

// UnconfirmedEnd reports a response whose body may be incomplete: only the end of its connection ends it, and that may
// be a failure.
type UnconfirmedEnd struct {
	// Cause is why the end is not known to be proper.
	Cause error
}

func (e *UnconfirmedEnd) Error() string {
	return fmt.Sprintf("the answer has no length, and the end of its connection may be a failure: %v", e.Cause)
}

// Type returns "answer_end_unconfirmed".
func (e *UnconfirmedEnd) Type() failure.Type { return "answer_end_unconfirmed" }

// Outcome returns OutcomeUnknown.
func (e *UnconfirmedEnd) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *UnconfirmedEnd) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *UnconfirmedEnd) Unwrap() error { return e.Cause }

// CallUnread reports a peer that has ended its response and does not accept the rest of the call.
type CallUnread struct {
	// Timeout is how long it had to.
	Timeout time.Duration
}

func (e *CallUnread) Error() string {
	return fmt.Sprintf("the peer accepted no more of the call within %v", e.Timeout)
}

// Type returns "call_unread".
func (e *CallUnread) Type() failure.Type { return "call_unread" }

// Outcome returns OutcomeUnknown.
func (e *CallUnread) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *CallUnread) Retry() failure.Retry { return failure.Retry{} }

// ConnectionFailed reports a connection that has ended by a failure, such as a reset.
type ConnectionFailed struct{}

func (e *ConnectionFailed) Error() string { return "the connection has failed" }

// Type returns "connection_failed".
func (e *ConnectionFailed) Type() failure.Type { return "connection_failed" }

// Outcome returns OutcomeUnknown.
func (e *ConnectionFailed) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *ConnectionFailed) Retry() failure.Retry { return failure.Retry{} }
