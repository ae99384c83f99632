package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// retryAfter is the time after which a request that found no quorum may be retried.
const retryAfter = 200 * time.Millisecond

// Unavailable reports that not enough replicas answered in time.
type Unavailable struct {
	// Needed and Answered are numbers of replicas.
	Needed, Answered int
	// Shortfall is why the answers are not enough. It has no members if the reason is unknown.
	Shortfall Shortfall
	// ShortestSilence is set if a single further answer could have been enough. It is the
	// shortest time for which one of the replicas without an answer has been silent; 0 is
	// unknown.
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

// Outcome returns OutcomeUnknown, because some replicas may have the record.
func (e *Unavailable) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows a retry after retryAfter.
func (e *Unavailable) Retry() failure.Retry { return failure.Retry{Allowed: true, After: retryAfter} }

// UnknownTurn reports that it is proven that no replica has a turn.
type UnknownTurn struct {
	// Turn is the missing turn's id.
	Turn string
}

func (e *UnknownTurn) Error() string { return fmt.Sprintf("no turn %s is kept", e.Turn) }

// Type returns "unknown_turn".
func (e *UnknownTurn) Type() failure.Type { return "unknown_turn" }

// Outcome returns NotRun.
func (e *UnknownTurn) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a retry.
func (e *UnknownTurn) Retry() failure.Retry { return failure.Retry{} }

// TurnRegionMismatch reports that a turn may not continue from another one because their
// permitted regions differ: the new turn may not be stored where the earlier one is, or the
// earlier one may not leave its regions. Routes or tenants have different permitted regions, or
// these have changed in the meantime. Stored turns are not moved.
type TurnRegionMismatch struct {
	Turn string
	// TurnRegions are the regions that the earlier turn is restricted to, Permitted are those of
	// the turn that continues from it. An empty list means any region.
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

// Retry forbids a retry, because stored turns do not move.
func (e *TurnRegionMismatch) Retry() failure.Retry { return failure.Retry{} }

// TooManyForwardedCalls reports that this process has reached its limit of calls made on behalf of
// other gateways.
type TooManyForwardedCalls struct {
	// Limit is the maximum number of concurrent calls.
	Limit int
}

func (e *TooManyForwardedCalls) Error() string {
	return fmt.Sprintf("%d calls for others are under way", e.Limit)
}

// Type returns "too_many_forwarded".
func (e *TooManyForwardedCalls) Type() failure.Type { return "too_many_forwarded" }

// Outcome returns NotRun.
func (e *TooManyForwardedCalls) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after retryAfter.
func (e *TooManyForwardedCalls) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}

// UnknownMember reports a call to an address that no member of the current group has.
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

// Retry forbids a retry.
func (e *UnknownMember) Retry() failure.Retry { return failure.Retry{} }

// notSpread reports a replica whose other callers have not confirmed records in time.
type notSpread struct {
	Replica string
}

func (e *notSpread) Error() string {
	return fmt.Sprintf("some callers of %s have not confirmed the records", e.Replica)
}

// Type returns "quarantine_not_spread".
func (e *notSpread) Type() failure.Type { return "quarantine_not_spread" }

// Outcome returns OutcomeUnknown.
func (e *notSpread) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows a retry.
func (e *notSpread) Retry() failure.Retry { return failure.Retry{Allowed: true} }
