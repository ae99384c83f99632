package client

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// NoAnswer reports a request to which no whole answer came: the daemon may or
// may not have received it.
type NoAnswer struct {
	// Cause is the transport's own error.
	Cause error
}

func (e *NoAnswer) Error() string { return fmt.Sprintf("no answer: %v", e.Cause) }

// Type returns "no_answer".
func (e *NoAnswer) Type() failure.Type { return "no_answer" }

// Outcome returns OutcomeUnknown.
func (e *NoAnswer) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows a repeat at once: every request of the API may be repeated.
func (e *NoAnswer) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Unwrap returns the cause.
func (e *NoAnswer) Unwrap() error { return e.Cause }

// SinkFailed wraps the error of the sink that an answer was streamed to.
type SinkFailed struct {
	// Cause is the sink's error.
	Cause error
}

func (e *SinkFailed) Error() string { return fmt.Sprintf("the answer's reader failed: %v", e.Cause) }

// Type returns "sink_failed".
func (e *SinkFailed) Type() failure.Type { return "sink_failed" }

// Outcome returns OutcomeUnknown: the call goes on.
func (e *SinkFailed) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat: the reader is the client's own.
func (e *SinkFailed) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *SinkFailed) Unwrap() error { return e.Cause }
