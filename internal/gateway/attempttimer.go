package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// attemptTimer cancels an attempt that may be made again at another worker, until its response is
// forwarded: what has begun for the client cannot be replaced by another worker's response. It does
// not cancel while the response waits for this process, which is late then. A nil attemptTimer does
// nothing.
type attemptTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// probe looks at the connection of the attempt; nil while there is none.
	probe atomic.Pointer[worker.ConnectionProbe]
	// decided is set by whoever comes first: expire, disarm or release.
	decided atomic.Bool
}

// startAttemptTimer returns a context that is canceled with ctx, and after the timeout with the cause
// context.DeadlineExceeded.
func startAttemptTimer(ctx context.Context, timeout time.Duration) (context.Context, *attemptTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &attemptTimer{cancel: cancel}
	t.timer = time.AfterFunc(timeout, t.expire)
	return ctx, t
}

// watch sets the probe of the attempt that begins; nil once it got no response.
func (t *attemptTimer) watch(probe *worker.ConnectionProbe) {
	if t != nil {
		t.probe.Store(probe)
	}
}

// expire cancels the attempt once nothing of the worker waits for this process.
func (t *attemptTimer) expire() {
	for !t.decided.Load() && t.isBehind() {
		time.Sleep(unreadRecheckInterval)
	}
	if t.decided.CompareAndSwap(false, true) {
		t.cancel(context.DeadlineExceeded)
	}
}

func (t *attemptTimer) isBehind() bool {
	probe := t.probe.Load()
	return probe != nil && probe.IsBehind()
}

// disarm stops the timer for good. It fails if the time is over: the attempt is being canceled. It is
// called at most once.
func (t *attemptTimer) disarm() error {
	if t == nil || t.decided.CompareAndSwap(false, true) {
		return nil
	}
	return context.DeadlineExceeded
}

// release frees the resources of the timer and cancels its context.
func (t *attemptTimer) release() {
	t.decided.Store(true)
	t.timer.Stop()
	t.cancel(nil)
}
