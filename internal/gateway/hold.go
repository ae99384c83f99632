package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

// holdReason names what a request waits for before it can be sent to a worker.
type holdReason string

// The reasons.
const (
	heldForConfiguration holdReason = "configuration"
	heldForWorkers       holdReason = "workers"
	heldForState         holdReason = "state"
	heldForBudget        holdReason = "budget"
	heldForSlot          holdReason = "room"
	heldForQuota         holdReason = "quota"
)

// minLoggedHold is the time from which a wait is told in a request's story and counted:
// everything shorter is the way to a replica and back.
const minLoggedHold = 5 * time.Millisecond

// hold begins a wait and returns what ends it.
func (r *request) hold(reason holdReason) (end func()) {
	began := time.Now()
	return func() {
		took := time.Since(began)
		if took < minLoggedHold {
			return
		}
		if r.held == nil {
			r.held = make(map[holdReason]time.Duration)
		}
		r.held[reason] += took
		r.note(eventHeld, "reason", string(reason), "milliseconds", took.Milliseconds())
	}
}

const (
	// workersWait is within what time after its start a gateway learns of the first
	// workers: replicas tell them some 200 ms after their own start, and where none does
	// they are listed at the store after listAfter and listSpread.
	workersWait = 700 * time.Millisecond
	// configurationWait is the same for the first configuration, which replicas whose
	// logs are long tell later.
	configurationWait = time.Second
)

// awaitConfiguration holds a request while this process has not learned of any
// configuration yet: a client that is refused has few tries left.
func (r *request) awaitConfiguration() {
	r.await(r.incoming.Context(), heldForConfiguration, configurationWait, func() bool { return r.gateway.directory.View().Table != nil })
}

// awaitWorkers holds a request while this process has not learned of any worker yet, nor
// which zones are drained, where that is followed.
func (r *request) awaitWorkers(ctx context.Context) {
	r.await(ctx, heldForWorkers, workersWait, func() bool {
		return r.gateway.directory.WorkersRevision() != 0 && r.gateway.drainsKnown()
	})
}

// await waits until something is known, for as long as that usually takes from this
// process's start. What is not known by then may take any time: requests that come
// later are not held.
func (r *request) await(ctx context.Context, reason holdReason, usual time.Duration, known func() bool) {
	if known() || r.gateway.disabled(mechanism.RequestQueueing) {
		return
	}
	left := usual - time.Since(r.gateway.started)
	if left <= 0 {
		return
	}
	defer r.hold(reason)()
	timer := time.NewTimer(left)
	defer timer.Stop()
	for {
		news := r.gateway.directory.ViewChanged()
		if known() {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
