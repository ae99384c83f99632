package worker

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// requestWrite is the writing of one request, which may go on while its response is read. It is safe for concurrent
// use.
type requestWrite struct {
	// done is closed once the writing has ended; err is its error, which must not be read before.
	done chan struct{}
	err  error
	// sent reports, after the connection has been closed, whether any byte may have reached the worker.
	sent func() bool
}

// end records how the writing has ended.
func (w *requestWrite) end(err error) {
	w.err = err
	close(w.done)
}

// succeeded reports whether the request is completely written by now.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// await waits until the request is completely written. It fails with the error of the writing, with *transport.CallUnread if
// the writing takes longer than the timeout, and with ctx.
func (w *requestWrite) await(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return &transport.CallUnread{Timeout: timeout}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
