package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// retryAfter is when a request that found no quorum may come back.
const retryAfter = 200 * time.Millisecond

// Unavailable reports that not enough replicas answered in time.
type Unavailable struct {
	// Needed and Answered count replicas.
	Needed, Answered int
	// Shortfall is why the answers are not enough; without members it is not known.
	Shortfall Shortfall
	// ShortestSilence is the shortest time for which one of the replicas that did not answer has been
	// silent, where its word alone would have been enough; 0 is not known.
	ShortestSilence time.Duration
}

func (e *Unavailable) Error() string {
	text := fmt.Sprintf("%d replicas answered, and the answers of %d must count", e.Answered, e.Needed)
	if len(e.Shortfall.Members) > 0 {
		text += "; " + e.Shortfall.String()
	}
	return text
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

// TurnRegionMismatch reports a turn that is kept where the one that goes on from it may not
// rest, or from where it may not leave: what routes and tenants permit has changed
// meanwhile, or differs between the two. Nothing is moved.
type TurnRegionMismatch struct {
	Turn string
	// TurnRegions are the regions that the turn is confined to, Permitted those of the one that
	// goes on from it; none is any.
	TurnRegions, Permitted []string
}

func (e *TurnRegionMismatch) Error() string {
	return fmt.Sprintf("turn %s is kept in regions %s, and the one that goes on from it may rest in %s", e.Turn, regionsText(e.TurnRegions), regionsText(e.Permitted))
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return "(any)"
	}
	return strings.Join(regions, ",")
}

// Type returns "kept_elsewhere".
func (e *TurnRegionMismatch) Type() failure.Type { return "kept_elsewhere" }

// Outcome returns NotRun.
func (e *TurnRegionMismatch) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat: what was kept does not move.
func (e *TurnRegionMismatch) Retry() failure.Retry { return failure.Retry{} }

// TooManyForwardedCalls reports that this process makes enough calls for others.
type TooManyForwardedCalls struct {
	// Limit is in calls.
	Limit int
}

func (e *TooManyForwardedCalls) Error() string {
	return fmt.Sprintf("%d calls for others are under way", e.Limit)
}

// Type returns "too_many_forwarded".
func (e *TooManyForwardedCalls) Type() failure.Type { return "too_many_forwarded" }

// Outcome returns NotRun.
func (e *TooManyForwardedCalls) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *TooManyForwardedCalls) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}

// UnknownMember reports a call for an address that no member of the group in force has.
type UnknownMember struct {
	Address string
}

func (e *UnknownMember) Error() string {
	return fmt.Sprintf("no member of the group has address %s", e.Address)
}

// Type returns "no_member".
func (e *UnknownMember) Type() failure.Type { return "no_member" }

// Outcome returns NotRun.
func (e *UnknownMember) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownMember) Retry() failure.Retry { return failure.Retry{} }
