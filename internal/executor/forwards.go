package executor

import (
	"context"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// forwards are the requests that other daemons are working on for this one.
type forwards struct {
	mutex sync.Mutex
	next  uint64
	open  map[structs.NodeID]map[uint64]context.CancelFunc
}

// begin notes a request to node. The context that it returns ends early when
// the node is suspected; the function that it returns forgets the request.
func (f *forwards) begin(ctx context.Context, node structs.NodeID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.open == nil {
		f.open = map[structs.NodeID]map[uint64]context.CancelFunc{}
	}
	if f.open[node] == nil {
		f.open[node] = map[uint64]context.CancelFunc{}
	}
	f.next++
	number := f.next
	f.open[node][number] = cancel
	return ctx, func() {
		cancel()
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.open[node], number)
		if len(f.open[node]) == 0 {
			delete(f.open, node)
		}
	}
}

// CancelForwardsTo gives up on the requests that a suspected daemon is working on:
// each searches on, at another member of its shard's group. A daemon that is
// alive after all repeats nothing that must not be repeated, because every
// operation is told apart by its key or number.
func (e *Executor) CancelForwardsTo(node structs.NodeID) {
	e.forwards.mutex.Lock()
	defer e.forwards.mutex.Unlock()
	for _, cancel := range e.forwards.open[node] {
		cancel()
	}
}
