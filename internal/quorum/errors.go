package quorum

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// retryAfter is when a request that found no quorum may come back.
const retryAfter = 200 * time.Millisecond

// Unavailable reports that not enough replicas answered in time.
type Unavailable struct {
	// Needed and Answered count replicas.
	Needed, Answered int
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("%d of %d needed replicas answered", e.Answered, e.Needed)
}

// Type returns "quorum_unavailable".
func (e *Unavailable) Type() failure.Type { return "quorum_unavailable" }

// Outcome returns OutcomeUnknown: some replicas may have the record.
func (e *Unavailable) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry says when to come back.
func (e *Unavailable) Retry() failure.Retry { return failure.Retry{Allowed: true, After: retryAfter} }

// UnknownTurn reports that no replica has a turn, on proof.
type UnknownTurn struct {
	// Turn is the turn that is missing.
	Turn string
}

func (e *UnknownTurn) Error() string { return fmt.Sprintf("no turn %s is kept", e.Turn) }

// Type returns "unknown_turn".
func (e *UnknownTurn) Type() failure.Type { return "unknown_turn" }

// Outcome returns NotRun.
func (e *UnknownTurn) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownTurn) Retry() failure.Retry { return failure.Retry{} }

// TooManyForwarded reports that this process makes enough calls for others.
type TooManyForwarded struct {
	// Limit is in calls.
	Limit int
}

func (e *TooManyForwarded) Error() string {
	return fmt.Sprintf("%d calls for others are under way", e.Limit)
}

// Type returns "too_many_forwarded".
func (e *TooManyForwarded) Type() failure.Type { return "too_many_forwarded" }

// Outcome returns NotRun.
func (e *TooManyForwarded) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *TooManyForwarded) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}

// NoMember reports a call for an address that no member of the group in force has.
type NoMember struct {
	Address string
}

func (e *NoMember) Error() string {
	return fmt.Sprintf("no member of the group has address %s", e.Address)
}

// Type returns "no_member".
func (e *NoMember) Type() failure.Type { return "no_member" }

// Outcome returns NotRun.
func (e *NoMember) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *NoMember) Retry() failure.Retry { return failure.Retry{} }
