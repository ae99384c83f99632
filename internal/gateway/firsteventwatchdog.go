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

const (
	// minFirstEventTargets is the minimum time that a stream may wait for its first event, as a
	// multiple of the route's target latency.
	minFirstEventTargets = 3
	// unreadRecheckInterval is how long this process gets to read and handle what has arrived before
	// the watchdog looks again.
	unreadRecheckInterval = 20 * time.Millisecond
)

// firstEventState is the state of a wait for a first event. It changes once, from
// firstEventPending; whoever changes it decides.
type firstEventState int32

const (
	firstEventPending firstEventState = iota
	// firstEventReceived means that the event may be forwarded.
	firstEventReceived
	// firstEventOverdue means that the attempt was given up: nothing of it may be forwarded.
	firstEventOverdue
	// firstEventStopped means that the attempt ended otherwise.
	firstEventStopped
)

// firstEventWatchdog cancels an attempt that gets no first event for longer than is usual for
// its service. The client then gets a final response and may retry, instead of waiting for a
// silent worker. A worker whose bytes wait to be read or handled is not silent: this process is
// late. A nil watchdog does nothing.
type firstEventWatchdog struct {
	request   *request
	startedAt time.Time
	limit     time.Duration
	timer     *time.Timer
	cancel    context.CancelFunc
	probe     *worker.ConnectionProbe
	state     atomic.Int32
}

// startFirstEventWatchdog starts the watchdog of one attempt. The returned context is canceled
// with ctx or by the watchdog.
func (r *request) startFirstEventWatchdog(ctx context.Context, probe *worker.ConnectionProbe) (context.Context, *firstEventWatchdog) {
	if r.route.Kind != route.Streaming || r.route.TargetLatency <= 0 || r.eventCount > 0 || r.gateway.disabled(mechanism.SilentStreamTimeout) {
		return ctx, nil
	}
	watchdog := &firstEventWatchdog{
		request: r, startedAt: time.Now(), probe: probe,
		limit: r.gateway.firstEventLatencies.Estimate(r.service.Name).UpperBound(minFirstEventTargets * r.route.TargetLatency),
	}
	ctx, watchdog.cancel = context.WithCancel(ctx)
	watchdog.timer = time.AfterFunc(watchdog.limit, watchdog.expire)
	return ctx, watchdog
}

// expire gives the attempt up once nothing of the worker waits to be read or handled.
func (w *firstEventWatchdog) expire() {
	for w.isPending() && w.probe.IsBehind() {
		time.Sleep(unreadRecheckInterval)
	}
	if w.decide(firstEventOverdue) {
		w.request.gateway.firstEventLatencies.Estimate(w.request.service.Name).Observe(w.limit)
		w.cancel()
	}
}

// eventReceived records the first event and disarms the watchdog. It fails with a *SilentWorker if
// the attempt was given up before: its connection is being closed, so that a response that began
// with this event would break off.
func (w *firstEventWatchdog) eventReceived() error {
	if w == nil {
		return nil
	}
	if w.decide(firstEventReceived) {
		w.timer.Stop()
		w.request.gateway.firstEventLatencies.Estimate(w.request.service.Name).Observe(time.Since(w.startedAt))
	}
	if w.isOverdue() {
		return &SilentWorker{Waited: w.limit}
	}
	return nil
}

// decide changes the state if no other decision was made, and reports whether it did.
func (w *firstEventWatchdog) decide(state firstEventState) bool {
	return w.state.CompareAndSwap(int32(firstEventPending), int32(state))
}

func (w *firstEventWatchdog) isPending() bool {
	return firstEventState(w.state.Load()) == firstEventPending
}

// isOverdue reports whether the watchdog gave the attempt up.
func (w *firstEventWatchdog) isOverdue() bool {
	return w != nil && firstEventState(w.state.Load()) == firstEventOverdue
}

// stop releases the resources of the watchdog.
func (w *firstEventWatchdog) stop() {
	if w == nil {
		return
	}
	w.decide(firstEventStopped)
	w.timer.Stop()
	w.cancel()
}

// explainFailure returns err, or a SilentWorker error if the watchdog canceled the attempt.
func (w *firstEventWatchdog) explainFailure(err error) error {
	if !w.isOverdue() {
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
