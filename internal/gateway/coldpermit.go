package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/coldstart"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// coldPermitTimeout bounds how long a request waits for a permit to a cold worker. The next
	// replica is called after 40 ms and then has time to respond. Callers lose this time before
	// another worker is chosen. The call goes on for as long as a grant would be of use.
	coldPermitTimeout = 60 * time.Millisecond
	// coldUnknownRetryDelay is how long replicas are not called again for a worker after none
	// has responded. Each such call delays a request by coldPermitTimeout.
	coldUnknownRetryDelay = 100 * time.Millisecond
	// maxColdResumeWait is how long a broken stream waits for a permit to its worker. It is
	// longer than maxColdBackoff, so replicas are called at least once more. The client sees a
	// pause instead of an aborted response.
	maxColdResumeWait = 600 * time.Millisecond
	// initialColdBackoff and maxColdBackoff bound the exponential backoff between calls to
	// replicas that had no permit for a worker. With many gateways the next permit usually goes
	// to another one.
	initialColdBackoff = 20 * time.Millisecond
	maxColdBackoff     = 500 * time.Millisecond
	// maxUpdateAge is the age from which an update of the platform's store no longer tells
	// which workers are cold. Updates are requested several times a second.
	maxUpdateAge = 2 * time.Second
)

// coldWorkers tracks which workers are cold, and the permits that this gateway holds for them.
type coldWorkers struct {
	tracker    *coldstart.Tracker
	allowances allowanceMap
	// refusedUntil is when the last refusal for any worker expires, in nanoseconds since
	// startedAt.
	startedAt    time.Time
	refusedUntil atomic.Int64
	// updatesStale reports whether this gateway has no recent information on which workers are
	// cold.
	updatesStale func() bool
}

func newColdWorkers(updatesStale func() bool) *coldWorkers {
	return &coldWorkers{tracker: coldstart.NewTracker(time.Now, logColdWorkers), startedAt: time.Now(), updatesStale: updatesStale}
}

// maxLoggedColdWorkers bounds the number of workers named in one log line.
const maxLoggedColdWorkers = 20

func logColdWorkers(reason coldstart.Reason, workers []string) {
	eventWorkersCold.Log("why", string(reason), "count", len(workers), "workers", workers[:min(maxLoggedColdWorkers, len(workers))])
}

// updatesAreStale reports whether the last store update from a replica is too old and there is
// no other source: this gateway does not watch the workers in the store itself, or the store
// does not answer.
func (g *Gateway) updatesAreStale() bool {
	age, known := g.poller.UpdateAge()
	return (!known || age > maxUpdateAge) && !g.watcher.WorkerWatchHealthy()
}

// coldStatus returns the request limit of a cold worker and the reason why the worker counts as
// cold.
func (g *Gateway) coldStatus(service, id string) (route.Cold, coldstart.Reason) {
	coldLimit, reason := g.coldWorkers.tracker.ColdStatus(g.directory.View(), service, id)
	if reason == coldstart.Warm && g.coldWorkers.updatesStale() {
		return coldLimit, coldstart.Unknown
	}
	return coldLimit, reason
}

// serviceMayHaveColdWorkers reports whether workers of the request's service can be cold at all.
func (r *request) serviceMayHaveColdWorkers() bool {
	cold := r.gateway.coldWorkers
	return cold != nil && cold.tracker.MayBeCold(r.gateway.directory.View(), r.service.Name) && !r.gateway.disabled(mechanism.ColdWorkerGrants)
}

// coldPermit is the permission to send a request to one worker of a service whose workers can
// be cold.
type coldPermit struct {
	request  *request
	worker   directory.Worker
	permit   quota.Permit
	acquired bool
}

// acquireColdPermit acquires a permit to send to a worker if it needs one. It returns nil for
// workers that are never cold.
func (r *request) acquireColdPermit(ctx context.Context, chosen directory.Worker) (*coldPermit, error) {
	if !r.serviceMayHaveColdWorkers() {
		return nil, nil
	}
	permit := &coldPermit{request: r, worker: chosen}
	err := permit.ensureAcquired(ctx)
	if err != nil {
		r.skipColdWorker(chosen, err)
	}
	return permit, err
}

// skipColdWorker ends the selection of a cold worker. It does not count as a failure of the
// worker, and the request may try it again.
func (r *request) skipColdWorker(chosen directory.Worker, cause error) {
	r.coldSkipped++
	r.addLogEntry(eventColdPermitRefused, "worker", chosen.ID, "cause", cause.Error())
	r.gateway.balancer.Done(chosen.ID, balance.Canceled)
}

// ensureAcquired ensures that the request may be sent now: the worker is never cold, or is
// warm, or the permit is still valid. A permit that expired while a connection was opened is
// replaced.
func (p *coldPermit) ensureAcquired(ctx context.Context) error {
	if p == nil {
		return nil
	}
	coldLimit, reason := p.request.gateway.coldStatus(p.request.service.Name, p.worker.ID)
	if reason == coldstart.Warm || p.acquired && p.permit.IsValid(time.Now()) {
		return nil
	}
	p.acquired = false
	err := p.acquire(ctx, coldLimit, reason)
	p.request.gateway.metrics.recordColdRequest(err)
	return err
}

// acquire takes a permit that was granted earlier, or asks replicas for more.
func (p *coldPermit) acquire(ctx context.Context, coldLimit route.Cold, reason coldstart.Reason) error {
	gateway := p.request.gateway
	allowance := gateway.coldWorkers.allowances.getOrCreate(p.worker.ID)
	for {
		now := time.Now()
		if p.permit, p.acquired = allowance.Take(now, false); p.acquired {
			return nil
		}
		if refusal, refused := allowance.ActiveRefusal(now, false); refused {
			return &WorkerCold{Worker: p.worker.ID, Reason: reason, Replicas: refusal.Replicas, RetryAfter: refusal.RetryAt.Sub(now)}
		}
		if err := gateway.startColdRefillOrWait(ctx, allowance, p.worker, coldLimit); err != nil {
			return &WorkerCold{Worker: p.worker.ID, Reason: reason, Cause: err, RetryAfter: coldUnknownRetryDelay}
		}
	}
}

// startColdRefillOrWait waits until a refill has ended, but no longer than coldPermitTimeout after
// the refill has started. The refill goes on then: replicas that are slow have granted permits by
// the time they answer, and asking them again would take as long.
func (g *Gateway) startColdRefillOrWait(ctx context.Context, allowance *subjectAllowance, chosen directory.Worker, coldLimit route.Cold) (err error) {
	inFlight, waiters, started := allowance.startOrJoinRefill()
	if started {
		go func() {
			callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), quota.GrantLifetime)
			defer cancel()
			inFlight.err = g.refillColdPermits(callContext, allowance, chosen.ID, coldLimit, waiters)
			allowance.endRefill(inFlight)
			if inFlight.isLate(time.Now(), coldPermitTimeout) {
				// The requests that waited for the permits wait for a slot now.
				g.slotQueues.slotFreed(chosen.Service)
			}
		}()
	} else {
		defer allowance.removeWaiter()
	}
	timer := time.NewTimer(time.Until(inFlight.startedAt.Add(coldPermitTimeout)))
	defer timer.Stop()
	select {
	case <-inFlight.done:
		if started {
			return inFlight.err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		g.coldWorkers.extendRefusals(quota.GrantLifetime)
		return context.DeadlineExceeded
	}
}

// refillColdPermits asks the replicas of the worker's group for permits. It asks for no more
// than there are waiters: a permit that one gateway does not use in time is lost to the others.
func (g *Gateway) refillColdPermits(ctx context.Context, allowance *subjectAllowance, id string, coldLimit route.Cold, waiters int) error {
	start := time.Now()
	limit := quota.Limit{Rate: coldLimit.PerSecond, Version: g.directory.View().Table.Version()}
	granted, err := g.granter.Grant(ctx, quorum.ColdWorkerSubject(id), limit, waiters, false)
	switch {
	case err != nil:
		g.coldWorkers.recordRefusal(allowance, start, quorum.GrantResult{Grant: quota.Grant{RetryAfter: coldUnknownRetryDelay}, Refused: true})
		return err
	case granted.Refused:
		g.coldWorkers.recordRefusal(allowance, start, granted)
	default:
		allowance.resetRefusals()
		allowance.applyResponse(start, granted, false)
	}
	return nil
}

// recordRefusal records that a worker is not to be chosen for some time.
func (c *coldWorkers) recordRefusal(allowance *subjectAllowance, requestedAt time.Time, refusal quorum.GrantResult) {
	backoff := min(maxColdBackoff, initialColdBackoff<<min(allowance.countRefusal(), 8))
	refusal.RetryAfter = max(refusal.RetryAfter, backoff/2+rand.N(backoff/2))
	allowance.applyResponse(requestedAt, refusal, false)
	c.extendRefusals(refusal.RetryAfter)
}

// extendRefusals records that a worker is refused for a time from now on.
func (c *coldWorkers) extendRefusals(lasts time.Duration) {
	until := int64(time.Since(c.startedAt) + lasts)
	for {
		current := c.refusedUntil.Load()
		if current >= until || c.refusedUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// returnUnused returns the permit because nothing was sent.
func (p *coldPermit) returnUnused() {
	if p != nil && p.acquired {
		p.acquired = false
		p.request.gateway.coldWorkers.allowances.getOrCreate(p.worker.ID).ReturnUnused(time.Now(), p.permit)
	}
}

// withoutRefusedColdWorkers removes the cold workers for which replicas have recently refused a
// permit or take long to answer. Calling the replicas again would only delay the request.
func (r *request) withoutRefusedColdWorkers(candidates []*directory.WorkerRecord) []*directory.WorkerRecord {
	r.coldSkipped = 0
	if !r.serviceMayHaveColdWorkers() {
		return candidates
	}
	cold, now := r.gateway.coldWorkers, time.Now()
	if int64(now.Sub(cold.startedAt)) >= cold.refusedUntil.Load() {
		return candidates
	}
	refused := func(each *directory.WorkerRecord) bool {
		allowance := cold.allowances.get(each.ID)
		if allowance == nil {
			return false
		}
		if _, active := allowance.ActiveRefusal(now, false); !active && !allowance.refillIsLate(now, coldPermitTimeout) {
			return false
		}
		_, reason := r.gateway.coldStatus(r.service.Name, each.ID)
		return reason != coldstart.Warm
	}
	first := slices.IndexFunc(candidates, refused)
	if first < 0 {
		return candidates
	}
	remaining := slices.DeleteFunc(slices.Clone(candidates), refused)
	r.coldSkipped = len(candidates) - len(remaining)
	return remaining
}

// recordColdReport records the remaining cold time that a worker reports in its response to a
// request sent at sentAt.
func (r *request) recordColdReport(chosen directory.Worker, reported worker.ResponseMetadata, sentAt time.Time) {
	if reported.ColdReported && r.serviceMayHaveColdWorkers() {
		r.gateway.coldWorkers.tracker.RecordReport(chosen.ID, sentAt, reported.ColdRemaining)
	}
}

// recordUnreachable records that a worker may have restarted.
func (g *Gateway) recordUnreachable(service string, chosen directory.Worker) {
	if g.coldWorkers != nil && g.coldWorkers.tracker.MayBeCold(g.directory.View(), service) {
		g.coldWorkers.tracker.RecordUnreachable(chosen.ID)
	}
}

// WorkerCold reports a cold worker that may not get the request now.
type WorkerCold struct {
	Worker string
	Reason coldstart.Reason
	// Replicas is how many replicas had no permit; 0 if too few responded.
	Replicas int
	// Cause is why no replica responded; nil if they did, or if the result of an earlier call
	// is reused.
	Cause error
	// RetryAfter is the time after which a permit may be granted.
	RetryAfter time.Duration
}

func (e *WorkerCold) Error() string {
	if e.Replicas == 0 {
		return fmt.Sprintf("worker %s counts as cold (%s), and too few replicas tell whether it may get a request", e.Worker, e.Reason)
	}
	return fmt.Sprintf("worker %s counts as cold (%s), and %d replicas have no request to grant for it", e.Worker, e.Reason, e.Replicas)
}

// Type returns "worker_cold".
func (e *WorkerCold) Type() failure.Type { return "worker_cold" }

// Outcome returns NotRun.
func (e *WorkerCold) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry: another worker may take the request.
func (e *WorkerCold) Retry() failure.Retry { return failure.Retry{Allowed: true, After: e.RetryAfter} }

// Unwrap returns the cause.
func (e *WorkerCold) Unwrap() error { return e.Cause }

// WorkersCold reports that all remaining workers are cold and get few requests for a
// while, and that the request is not expected to get a slot in time.
type WorkersCold struct {
	Service string
	// Skipped is how many cold workers were skipped.
	Skipped int
	// RetryAfter is the time after which a slot is expected.
	RetryAfter time.Duration
}

func (e *WorkersCold) Error() string {
	return fmt.Sprintf("%d workers of %s have just started and get few requests for a while; a place is expected in %v",
		e.Skipped, e.Service, e.RetryAfter.Round(time.Millisecond))
}

// Type returns "workers_cold".
func (e *WorkersCold) Type() failure.Type { return "workers_cold" }

// Outcome returns NotRun.
func (e *WorkersCold) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after RetryAfter.
func (e *WorkersCold) Retry() failure.Retry { return failure.Retry{Allowed: true, After: e.RetryAfter} }
