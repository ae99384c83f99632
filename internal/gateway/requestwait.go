package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

// waitReason is what a request waits for before it can be sent to a worker.
type waitReason string

// The values of waitReason.
const (
	waitForConfiguration waitReason = "configuration"
	waitForWorkers       waitReason = "workers"
	waitForState         waitReason = "state"
	waitForBudget        waitReason = "budget"
	waitForSlot          waitReason = "room"
	waitForQuota         waitReason = "quota"
)

// minLoggedWait is the shortest wait that is logged and counted. Shorter waits are the round
// trip to a replica.
const minLoggedWait = 5 * time.Millisecond

// startWait starts to measure a wait and returns the function that ends it.
func (r *request) startWait(reason waitReason) (end func()) {
	start := time.Now()
	return func() {
		waited := time.Since(start)
		if waited < minLoggedWait {
			return
		}
		if r.waitTimes == nil {
			r.waitTimes = make(map[waitReason]time.Duration)
		}
		r.waitTimes[reason] += waited
		r.addLogEntry(eventRequestWaited, "reason", string(reason), "milliseconds", waited.Milliseconds())
	}
}

const (
	// maxWorkersWait is how long after its start a gateway waits for the first list of workers.
	// Replicas report the workers about 200 ms after their own start; if none does, they are
	// listed at the store after initialListDelay and initialListJitter.
	maxWorkersWait = 700 * time.Millisecond
	// maxConfigurationWait is the same limit for the first configuration. Replicas with long
	// logs report it later.
	maxConfigurationWait = time.Second
)

// awaitConfiguration delays a request while no configuration is known yet: a refused client has
// few retries left.
func (r *request) awaitConfiguration() {
	r.await(r.incoming.Context(), waitForConfiguration, maxConfigurationWait, func() bool { return r.gateway.directory.View().Table != nil })
}

// awaitWorkers delays a request while no workers are known yet, or while zone drains are
// watched and not known yet.
func (r *request) awaitWorkers(ctx context.Context) {
	r.await(ctx, waitForWorkers, maxWorkersWait, func() bool {
		return r.gateway.directory.WorkersRevision() != 0 && r.gateway.drainsKnown()
	})
}

// await waits until isKnown returns true, at most until maxWait after the start of this
// process. Requests that arrive later do not wait: state that is still unknown then may take
// any time to arrive.
func (r *request) await(ctx context.Context, reason waitReason, maxWait time.Duration, isKnown func() bool) {
	if isKnown() || r.gateway.disabled(mechanism.RequestQueueing) {
		return
	}
	remaining := maxWait - time.Since(r.gateway.startedAt)
	if remaining <= 0 {
		return
	}
	defer r.startWait(reason)()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	for {
		updates := r.gateway.directory.ViewChanged()
		if isKnown() {
			return
		}
		select {
		case <-updates:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
