package replication

import (
	"context"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// States of a waiter. A request is either accepted into the log or cancelled by
// its caller.
const (
	waiterQueued int32 = iota
	waiterAccepted
	waiterCancelled
)

// waiter passes the result of a request from a worker to the waiting caller.
type waiter struct {
	state  atomic.Int32
	result chan error
	// leader is set before the result of EnsureLeader is sent.
	leader structs.NodeID
	// waitedTicks is how long EnsureLeader has waited.
	waitedTicks int
}

func newWaiter() *waiter { return &waiter{result: make(chan error, 1)} }

// accept reports whether the caller still waits. The request can no longer be
// cancelled after that.
func (w *waiter) accept() bool { return w.state.CompareAndSwap(waiterQueued, waiterAccepted) }

// complete sets the result. Only the first call has an effect.
func (w *waiter) complete(err error) {
	select {
	case w.result <- err:
	default:
	}
}

// await returns the result. If the context or the host ends first, it returns an
// error that says whether the request had been accepted.
func (w *waiter) await(ctx context.Context, h *Host, id structs.ShardID) error {
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
	if w.state.CompareAndSwap(waiterQueued, waiterCancelled) {
		return &failure.ShardUnavailable{Shard: uint32(id)}
	}
	return &failure.ProposalUnknown{Shard: uint32(id)}
}
