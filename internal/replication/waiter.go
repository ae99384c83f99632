package replication

import (
	"context"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// States of a waiter: a request is either taken into the log or withdrawn.
const (
	waiterQueued int32 = iota
	waiterTaken
	waiterWithdrawn
)

// waiter connects a caller with its request at a worker.
type waiter struct {
	state  atomic.Int32
	result chan error
	// leader is set before the result of EnsureLeader.
	leader structs.NodeID
	// ticks counts how long EnsureLeader has waited.
	ticks int
}

func newWaiter() *waiter { return &waiter{result: make(chan error, 1)} }

// take reports whether the caller still waits; it can no longer withdraw.
func (w *waiter) take() bool { return w.state.CompareAndSwap(waiterQueued, waiterTaken) }

// finish gives the result; only the first one counts.
func (w *waiter) finish(err error) {
	select {
	case w.result <- err:
	default:
	}
}

// wait returns the result, or a failure that says whether the request was
// taken when the context or the host ended.
func (w *waiter) wait(ctx context.Context, h *Host, id structs.ShardID) error {
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	case <-h.closing:
	}
	select {
	case err := <-w.result:
		return err
	default:
	}
	if w.state.CompareAndSwap(waiterQueued, waiterWithdrawn) {
		return &failure.ShardUnavailable{Shard: uint32(id)}
	}
	return &failure.ProposalUnknown{Shard: uint32(id)}
}
