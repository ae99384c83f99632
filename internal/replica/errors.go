package replica

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// StaleGroup reports a copy that was asked for under a group that is no longer in force.
type StaleGroup struct {
	// Epoch is the caller's, Known the newest that is known here.
	Epoch, Known uint64
}

func (e *StaleGroup) Error() string {
	return fmt.Sprintf("epoch %d is older than epoch %d", e.Epoch, e.Known)
}

// Type returns "stale_group".
func (e *StaleGroup) Type() failure.Type { return "stale_group" }

// Outcome returns NotRun.
func (e *StaleGroup) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a repeat under the newer group, which announcements tell.
func (e *StaleGroup) Retry() failure.Retry { return failure.Retry{Allowed: true} }
