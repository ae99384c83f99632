package executor

import (
	"context"
	"sync"
)

// quiescence prevents new dispatches before a planned stop and reports when the tool
// calls in progress have ended. Another daemon cannot take over the answer of a tool,
// but it can resume the stream of a model.
type quiescence struct {
	mutex     sync.Mutex
	stopping  bool
	toolCalls int
	drained   chan struct{}
}

func (q *quiescence) isStopping() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stopping
}

// beginToolCall counts a tool call in progress and returns the function that ends it.
func (q *quiescence) beginToolCall() func() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.toolCalls++
	return q.endToolCall
}

func (q *quiescence) endToolCall() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.toolCalls--
	if q.toolCalls == 0 && q.drained != nil {
		close(q.drained)
		q.drained = nil
	}
}

// stop prevents new dispatches and returns a channel that is closed once no tool call
// is in progress.
func (q *quiescence) stop() <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stopping = true
	done := make(chan struct{})
	if q.toolCalls == 0 {
		close(done)
		return done
	}
	q.drained = done
	return done
}

// Quiesce stops dispatching calls on this daemon. It returns when no tool call is in
// progress, or when ctx ends. Calls accepted from now on wait for the next leader.
func (e *Executor) Quiesce(ctx context.Context) error {
	select {
	case <-e.quiescence.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
