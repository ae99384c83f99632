package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

const (
	// finalAnswerMargin is the time that the last requests have, before the end of what a planned stop leaves for requests,
	// to get an answer of this gateway.
	finalAnswerMargin = 100 * time.Millisecond
	// minDurations is how many recent requests of a kind must be known for later ones to be judged by them, and
	// durationFactor how many times as long as the longest of them a request may last.
	minDurations   = 20
	durationFactor = 2
)

// gracePeriod is the time that a planned stop leaves for requests.
type gracePeriod struct {
	// lateFrom is when load balancers have stopped sending new connections. Later requests come on kept ones.
	lateFrom time.Time
	// lastAnswer is when the requests that are in flight get their final answers.
	lastAnswer time.Time
	// end is when all answers must have been written.
	end time.Time
}

// newGracePeriod returns the times of a planned stop.
func newGracePeriod(start time.Time, grace time.Duration) *gracePeriod {
	end := start.Add(grace - settlementMargin)
	return &gracePeriod{lateFrom: start.Add(unreadyBeforeClose), lastAnswer: end.Add(-finalAnswerMargin), end: end}
}

// requestDurations holds how long requests have recently lasted, by route and service.
type requestDurations = estimatesByKind[estimate.Maximum]

// recordDuration records how long a request has lasted that a worker may have run.
func (r *request) recordDuration() {
	if len(r.mayHaveRun) > 0 {
		r.gateway.requestDurations.getOrCreate(r.kind()).Observe(time.Now(), int64(time.Since(r.receivedAt)))
	}
}

// checkPlannedStop fails if the request has come late in a planned stop and may outlast it, by its deadline and by how long
// recent requests of its kind have lasted.
func (r *request) checkPlannedStop() error {
	period := r.gateway.gracePeriod.Load()
	if period == nil || r.receivedAt.Before(period.lateFrom) || !r.deadline.After(period.lastAnswer) {
		return nil
	}
	longest, count := r.gateway.requestDurations.getOrCreate(r.kind()).Value(r.receivedAt)
	expected := durationFactor * time.Duration(longest)
	if count >= minDurations && r.receivedAt.Add(expected).Before(period.lastAnswer) {
		return nil
	}
	return &Stopping{Remaining: time.Until(period.lastAnswer)}
}

// endRequestsAt gives all requests that are in flight at a time their final answers, unless ctx ends before.
func (g *Gateway) endRequestsAt(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		g.endRequests(&Stopped{})
	}
}
