package gateway

import (
	"context"
	"time"
)

// attemptTimer cancels an attempt that may be made again at another worker, until its response is
// forwarded: what has begun for the client cannot be replaced by another worker's response. A nil
// attemptTimer does nothing.
type attemptTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// startAttemptTimer returns a context that is canceled with ctx, and after the timeout with the cause
// context.DeadlineExceeded.
func startAttemptTimer(ctx context.Context, timeout time.Duration) (context.Context, *attemptTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, &attemptTimer{timer: timer, cancel: cancel}
}

// disarm stops the timer for good. It fails if the time is over: the attempt is being canceled. It is
// called at most once.
func (t *attemptTimer) disarm() error {
	if t == nil || t.timer.Stop() {
		return nil
	}
	return context.DeadlineExceeded
}

// release frees the resources of the timer and cancels its context.
func (t *attemptTimer) release() {
	t.timer.Stop()
	t.cancel(nil)
}
