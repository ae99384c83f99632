package flowcontrol

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// retryAfter is the delay after which a rejected request may be retried. By then, a peer that has
// stopped reading can be evicted.
const retryAfter = evictAfter

// BudgetExhausted reports that a process has used all the bytes that it may buffer for slow peers.
type BudgetExhausted struct {
	// Wanted is the number of requested bytes, Limit the size of the budget.
	Wanted int
	Limit  int64
}

func (e *BudgetExhausted) Error() string {
	return fmt.Sprintf("no room for %d bytes beside what is held for slow peers, of %d", e.Wanted, e.Limit)
}

// Type returns "no_room_for_bytes".
func (e *BudgetExhausted) Type() failure.Type { return "no_room_for_bytes" }

// Outcome returns NotRun.
func (e *BudgetExhausted) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after retryAfter.
func (e *BudgetExhausted) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}

// ReadAheadStopped reports a read from a ReadAhead that was stopped.
type ReadAheadStopped struct{}

func (e *ReadAheadStopped) Error() string { return "the read-ahead was stopped" }

// Type returns "read_ahead_stopped".
func (e *ReadAheadStopped) Type() failure.Type { return "read_ahead_stopped" }

// Outcome returns OutcomeUnknown.
func (e *ReadAheadStopped) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a retry.
func (e *ReadAheadStopped) Retry() failure.Retry { return failure.Retry{} }

// PeerStalled reports a peer that did not read its data for too long, or that was evicted.
type PeerStalled struct {
	// Cause is why the peer was disconnected.
	Cause StallCause
	// Timeout is how long the peer had to read the next bytes.
	Timeout time.Duration
}

// StallCause is why a slow peer was disconnected.
type StallCause string

// The causes.
const (
	// NoProgress means that the peer read nothing until the timeout.
	NoProgress StallCause = "took_nothing"
	// Evicted means that its bytes were needed for other peers.
	Evicted StallCause = "evicted"
)

func (e *PeerStalled) Error() string {
	return fmt.Sprintf("the peer does not read (%s, bound %v)", e.Cause, e.Timeout)
}

// Type returns "peer_stalled".
func (e *PeerStalled) Type() failure.Type { return "peer_stalled" }

// Outcome returns OutcomeUnknown.
func (e *PeerStalled) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a retry.
func (e *PeerStalled) Retry() failure.Retry { return failure.Retry{} }

// MessageTooLarge reports a response, a line of one, or a call that exceeds its bound. The rest is not read.
type MessageTooLarge struct {
	// Limit is in bytes.
	Limit int64
}

func (e *MessageTooLarge) Error() string {
	return fmt.Sprintf("the message is longer than %d bytes", e.Limit)
}

// Type returns "message_too_large".
func (e *MessageTooLarge) Type() failure.Type { return "message_too_large" }

// Outcome returns OutcomeUnknown.
func (e *MessageTooLarge) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids an automatic retry.
func (e *MessageTooLarge) Retry() failure.Retry { return failure.Retry{} }
