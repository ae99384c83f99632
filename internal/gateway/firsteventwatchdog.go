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

// minFirstEventTargets is the minimum time that a stream may wait for its first event, as a
// multiple of the route's target latency.
const minFirstEventTargets = 3

// firstEventWatchdog cancels an attempt that gets no first event for longer than is usual for
// its service. The client then gets a final response and may retry, instead of waiting for a
// silent worker. A nil watchdog does nothing.
type firstEventWatchdog struct {
	request   *request
	startedAt time.Time
	limit     time.Duration
	timer     *time.Timer
	cancel    context.CancelFunc
	done      atomic.Bool
	expired   atomic.Bool
}

// startFirstEventWatchdog starts the watchdog of one attempt. The returned context is canceled
// with ctx or by the watchdog.
func (r *request) startFirstEventWatchdog(ctx context.Context) (context.Context, *firstEventWatchdog) {
	if r.route.Kind != route.Streaming || r.route.TargetLatency <= 0 || r.eventCount > 0 || r.gateway.disabled(mechanism.SilentStreamTimeout) {
		return ctx, nil
	}
	watchdog := &firstEventWatchdog{
		request: r, startedAt: time.Now(),
		limit: r.gateway.firstEventLatencies.Estimate(r.service.Name).UpperBound(minFirstEventTargets * r.route.TargetLatency),
	}
	ctx, watchdog.cancel = context.WithCancel(ctx)
	watchdog.timer = time.AfterFunc(watchdog.limit, watchdog.expire)
	return ctx, watchdog
}

func (w *firstEventWatchdog) expire() {
	if w.done.CompareAndSwap(false, true) {
		w.expired.Store(true)
		w.request.gateway.firstEventLatencies.Estimate(w.request.service.Name).Observe(w.limit)
		w.cancel()
	}
}

// eventReceived records the first event and disarms the watchdog.
func (w *firstEventWatchdog) eventReceived() {
	if w == nil || !w.done.CompareAndSwap(false, true) {
		return
	}
	w.timer.Stop()
	w.request.gateway.firstEventLatencies.Estimate(w.request.service.Name).Observe(time.Since(w.startedAt))
}

// stop releases the resources of the watchdog.
func (w *firstEventWatchdog) stop() {
	if w == nil {
		return
	}
	w.timer.Stop()
	w.cancel()
}

// explainFailure returns err, or a SilentWorker error if the watchdog canceled the attempt.
func (w *firstEventWatchdog) explainFailure(err error) error {
	if w == nil || !w.expired.Load() {
		return err
	}
	return replaceCause(err, &SilentWorker{Waited: w.limit})
}

// replaceCause replaces the cause of a failed attempt and keeps the fact that nothing was sent.
func replaceCause(err, cause error) error {
	var notSent *worker.NotSent
	if errors.As(err, &notSent) {
		return &worker.NotSent{Cause: cause}
	}
	return &worker.ResponseLost{Cause: cause}
}
