package flowcontrol

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// comeBackAfter is when a request that found no room may come back: by then a peer that has
// stopped reading has been given up.
const comeBackAfter = evictAfter

// BudgetExhausted reports that a process holds all the bytes for slow peers that it may.
type BudgetExhausted struct {
	// Wanted are the bytes that were asked for, Limit those that may be held.
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

// Retry says when to come back.
func (e *BudgetExhausted) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: comeBackAfter}
}

// ReadAheadStopped reports a read from a ReadAhead that was stopped.
type ReadAheadStopped struct{}

func (e *ReadAheadStopped) Error() string { return "the read-ahead was stopped" }

// Type returns "read_ahead_stopped".
func (e *ReadAheadStopped) Type() failure.Type { return "read_ahead_stopped" }

// Outcome returns OutcomeUnknown.
func (e *ReadAheadStopped) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat.
func (e *ReadAheadStopped) Retry() failure.Retry { return failure.Retry{} }

// PeerStalled reports a peer that took nothing of what it was sent for too long, or that was
// given up for others.
type PeerStalled struct {
	// Cause is why it was cut off.
	Cause StallCause
	// Timeout bounds how long it had to take the next bytes.
	Timeout time.Duration
}

// StallCause names why a peer that reads slowly was cut off.
type StallCause string

// The causes.
const (
	// NoProgress is that it took nothing for the longest time allowed.
	NoProgress StallCause = "took_nothing"
	// Evicted is that others needed the room.
	Evicted StallCause = "evicted"
)

func (e *PeerStalled) Error() string {
	return fmt.Sprintf("the peer does not read (%s, bound %v)", e.Cause, e.Timeout)
}

// Type returns "peer_stalled".
func (e *PeerStalled) Type() failure.Type { return "peer_stalled" }

// Outcome returns OutcomeUnknown.
func (e *PeerStalled) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat.
func (e *PeerStalled) Retry() failure.Retry { return failure.Retry{} }
