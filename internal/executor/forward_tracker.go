package executor

import (
	"context"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// forwardTracker tracks the requests that this daemon forwarded and that other daemons
// are executing.
type forwardTracker struct {
	mutex        sync.Mutex
	nextNumber   uint64
	cancelByNode map[structs.NodeID]map[uint64]context.CancelFunc
}

// track registers a request to node. The returned context is cancelled early if the
// node is suspected. The returned function cancels the context and removes the
// request.
func (f *forwardTracker) track(ctx context.Context, node structs.NodeID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancelByNode == nil {
		f.cancelByNode = map[structs.NodeID]map[uint64]context.CancelFunc{}
	}
	if f.cancelByNode[node] == nil {
		f.cancelByNode[node] = map[uint64]context.CancelFunc{}
	}
	f.nextNumber++
	number := f.nextNumber
	f.cancelByNode[node][number] = cancel
	return ctx, func() {
		cancel()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.cancelByNode[node], number)
		if len(f.cancelByNode[node]) == 0 {
			delete(f.cancelByNode, node)
		}
	}
}

// CancelForwardsTo cancels the requests that were forwarded to a suspected daemon.
// Each of them is retried at another member of its shard's group. If the daemon is
// alive after all, nothing runs twice that must not, because every operation is
// deduplicated by its key or number.
func (e *Executor) CancelForwardsTo(node structs.NodeID) {
	e.forwardTracker.mutex.Lock()
	defer e.forwardTracker.mutex.Unlock()
	for _, cancel := range e.forwardTracker.cancelByNode[node] {
		cancel()
	}
}
