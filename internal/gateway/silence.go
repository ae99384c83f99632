package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// firstEventTargets is how many times its route's target a stream may wait for its
// first event in any case.
const firstEventTargets = 3

// silenceWatch ends an attempt that gets no first event for longer than is usual
// for its service. The client then gets its final answer and may send again, where
// it would wait on for a worker that says nothing. A nil watch does nothing.
type silenceWatch struct {
	request *request
	began   time.Time
	limit   time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	done    atomic.Bool
	expired atomic.Bool
}

// watchSilence begins the watch of one attempt. The context ends with ctx, or when
// the attempt is given up.
func (r *request) watchSilence(ctx context.Context) (context.Context, *silenceWatch) {
	if r.route.Kind != route.Streaming || r.route.TargetLatency <= 0 || r.events > 0 || r.gateway.disabled(mechanism.SilentStreamTimeout) {
		return ctx, nil
	}
	watch := &silenceWatch{
		request: r, began: time.Now(),
		limit: r.gateway.waits.Estimate(r.service.Name).UpperBound(firstEventTargets * r.route.TargetLatency),
	}
	ctx, watch.cancel = context.WithCancel(ctx)
	watch.timer = time.AfterFunc(watch.limit, watch.expire)
	return ctx, watch
}

func (w *silenceWatch) expire() {
	if w.done.CompareAndSwap(false, true) {
		w.expired.Store(true)
		w.request.gateway.waits.Estimate(w.request.service.Name).Observe(w.limit)
		w.cancel()
	}
}

// heard notes the first event.
func (w *silenceWatch) heard() {
	if w == nil || !w.done.CompareAndSwap(false, true) {
		return
	}
	w.timer.Stop()
	w.request.gateway.waits.Estimate(w.request.service.Name).Observe(time.Since(w.began))
}

// end gives the watch's means back.
func (w *silenceWatch) end() {
	if w == nil {
		return
	}
	w.timer.Stop()
	w.cancel()
}

// blame returns err, or what the watch ended the attempt for.
func (w *silenceWatch) blame(err error) error {
	if w == nil || !w.expired.Load() {
		return err
	}
	return asItWas(err, &SilentWorker{Waited: w.limit})
}

// asItWas tells why an attempt was given up, and keeps that nothing of it was sent.
func asItWas(err, cause error) error {
	var notSent *worker.NotSent
	if errors.As(err, &notSent) {
		return &worker.NotSent{Cause: cause}
	}
	return &worker.ResponseLost{Cause: cause}
}
