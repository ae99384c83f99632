package executor

import (
	"context"
	"sync"
)

// quiescence stops new dispatches before a planned stop and tells when the
// tool calls under way have ended: a tool's answer cannot be taken up by
// another daemon, while a model's stream can.
type quiescence struct {
	mutex   sync.Mutex
	stopped bool
	inside  int
	empty   chan struct{}
}

func (q *quiescence) active() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stopped
}

// enter counts a tool call in and returns the function that counts it out.
func (q *quiescence) enter() func() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.inside++
	return q.leave
}

func (q *quiescence) leave() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.inside--
	if q.inside == 0 && q.empty != nil {
		close(q.empty)
		q.empty = nil
	}
}

func (q *quiescence) stop() <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stopped = true
	done := make(chan struct{})
	if q.inside == 0 {
		close(done)
		return done
	}
	q.empty = done
	return done
}

// Quiesce begins no further dispatch here and returns once no tool call is
// under way, or with ctx. Calls accepted meanwhile wait for the next leader.
func (e *Executor) Quiesce(ctx context.Context) error {
	select {
	case <-e.quiesced.stop():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
