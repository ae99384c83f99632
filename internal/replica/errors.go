package replica

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// StaleGroup reports a copy request under a group that is no longer current.
type StaleGroup struct {
	// Epoch is the epoch of the caller's group, and Known the newest epoch known here.
	Epoch, Known uint64
}

func (e *StaleGroup) Error() string {
	return fmt.Sprintf("epoch %d is older than epoch %d", e.Epoch, e.Known)
}

// Type returns "stale_group".
func (e *StaleGroup) Type() failure.Type { return "stale_group" }

// Outcome returns NotRun.
func (e *StaleGroup) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry under the newer group, which announcements deliver.
func (e *StaleGroup) Retry() failure.Retry { return failure.Retry{Allowed: true} }
