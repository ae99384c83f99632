package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// quotaCallTimeout bounds the wait for a replica that grants permits. By then all replicas
	// have had time to respond, directly or through another gateway.
	quotaCallTimeout = 600 * time.Millisecond
	// initialQuotaBackoff and maxQuotaBackoff bound the exponential backoff after which a
	// request asks replicas again that had no permit to grant.
	initialQuotaBackoff = 40 * time.Millisecond
	maxQuotaBackoff     = 160 * time.Millisecond
	// quotaWaitFraction is the fraction of the remaining time for which a request of a running
	// program waits for a permit. If a tool call is refused its program ends, and the tokens
	// spent on its turns are wasted.
	quotaWaitFraction = 1.0 / 3
	// newProgramWaitFraction is the same fraction for a request that starts a program. The wait
	// is as long as the client would wait before a retry, but uses up none of its few retries.
	newProgramWaitFraction = 1.0 / 10
)

// hasQuota reports whether the request counts against a tenant quota.
func (r *request) hasQuota() bool { return r.tenant != nil && r.tenant.Quota.Bounded() }

// admitWithWait admits a request that does not wait for anything else at the same time, and
// records the wait. A process that has just started first learns which replicas grant permits.
func (r *request) admitWithWait(ctx context.Context) error {
	if !r.hasQuota() {
		return nil
	}
	r.await(ctx, waitForQuota, maxWorkersWait, func() bool { return len(r.gateway.directory.Groups()) > 0 })
	defer r.startWait(waitForQuota)()
	return r.admit(ctx)
}

// admit admits the request within its tenant's quota, or refuses it. Nothing is sent to a
// worker before.
func (r *request) admit(ctx context.Context) error {
	if !r.hasQuota() {
		return nil
	}
	err := r.awaitQuotaPermit(ctx, r.startsProgram())
	r.gateway.metrics.recordTenantRequest(r.tenant.Name, quotaOutcome(err))
	return err
}

// quotaOutcome returns the metric label for the outcome of a request with a quota.
func quotaOutcome(err error) string {
	var exceeded *QuotaExceeded
	switch {
	case err == nil:
		return "admitted"
	case errors.As(err, &exceeded):
		return "refused"
	}
	return "unknown"
}

// awaitQuotaPermit takes a permit that was granted earlier, or asks replicas for more. It waits
// for a limited time if they have none.
func (r *request) awaitQuotaPermit(ctx context.Context, startsProgram bool) error {
	allowance := r.gateway.allowances.getOrCreate(r.tenant.Name)
	var latest time.Time
	for backoff := initialQuotaBackoff; !r.takeQuotaPermit(allowance, startsProgram); {
		now := time.Now()
		if latest.IsZero() {
			latest = now.Add(r.maxQuotaWait(startsProgram))
		}
		refusal, refused := allowance.ActiveRefusal(now, startsProgram)
		if !refused {
			err := r.refillQuotaOrWait(ctx, allowance, startsProgram)
			if err == nil {
				continue
			}
			if !isBriefSilence(err) || time.Now().Add(backoff).After(latest) || !pause.For(ctx, backoff/2+rand.N(backoff)) {
				return err
			}
			backoff = min(2*backoff, maxQuotaBackoff)
			continue
		}
		delay := max(refusal.RetryAt.Sub(now), backoff/2+rand.N(backoff))
		if now.Add(delay).After(latest) || !pause.For(ctx, delay) {
			return &QuotaExceeded{
				Tenant: r.tenant.Name, Quota: r.tenant.Quota, StartsProgram: startsProgram, RetryAfter: refusal.RetryAt.Sub(now),
				Replicas: refusal.Replicas, RefusalAge: now.Sub(refusal.ReceivedAt),
			}
		}
		backoff = min(2*backoff, maxQuotaBackoff)
	}
	return nil
}

// isBriefSilence reports whether the replicas that did not answer have been silent only
// briefly. After one call that takes longer than usual a replica counts as silent until it
// answers a probe; a request within its quota must not be refused for that.
func isBriefSilence(err error) bool {
	var unavailable *quorum.Unavailable
	if errors.As(err, &unavailable) {
		return unavailable.ShortestSilence > 0 && unavailable.ShortestSilence < quorum.SilenceTolerance
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// maxQuotaWait returns how long the request waits for its tenant's quota.
func (r *request) maxQuotaWait(startsProgram bool) time.Duration {
	fraction := quotaWaitFraction
	if startsProgram {
		fraction = newProgramWaitFraction
	}
	return time.Duration(fraction * float64(time.Until(r.deadline)))
}

// takeQuotaPermit takes a granted permit for the request if there is one.
func (r *request) takeQuotaPermit(allowance *subjectAllowance, startsProgram bool) bool {
	permit, found := allowance.Take(time.Now(), startsProgram)
	if found {
		r.quotaPermit, r.hasQuotaPermit = permit, true
		r.gateway.admittedPrograms.add(r.programKey)
	}
	return found
}

// refillQuotaOrWait asks the replicas of the tenant's group for permits, or waits for the call
// that another request of the tenant has in flight.
func (r *request) refillQuotaOrWait(ctx context.Context, allowance *subjectAllowance, startsProgram bool) error {
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	err := allowance.refillOrWait(ctx, func(ctx context.Context, waiters int) error {
		return r.refillQuota(ctx, allowance, waiters, startsProgram)
	})
	if err != nil {
		return &QuotaUnknown{Cause: err}
	}
	return nil
}

// refillQuota asks the replicas of the tenant's group for permits.
func (r *request) refillQuota(ctx context.Context, allowance *subjectAllowance, waiters int, startsProgram bool) error {
	start := time.Now()
	limit := quota.Limit{Rate: r.tenant.Quota.Rate, Burst: r.tenant.Quota.Burst, Version: r.view.Table.Version()}
	wanted := waiters
	if !r.gateway.disabled(mechanism.GrantPrefetch) {
		wanted = allowance.RequestSize(start, waiters)
	}
	granted, err := r.gateway.granter.Grant(ctx, quorum.TenantSubject(r.tenant.Name), limit, wanted, startsProgram)
	if err != nil {
		return err
	}
	allowance.applyResponse(start, granted, startsProgram)
	return nil
}

// startsProgram reports whether the request is known to start a program: it is a turn without a
// predecessor, of a program that this gateway has not seen recently.
func (r *request) startsProgram() bool {
	return r.route.Kind == route.Streaming && r.metadata.Program != "" && r.metadata.PreviousTurnID == "" &&
		!r.gateway.admittedPrograms.contains(r.programKey)
}

// returnQuotaPermit returns the request's permit if the request has not run.
func (r *request) returnQuotaPermit() {
	if r.hasQuotaPermit && len(r.mayHaveRun) == 0 {
		r.gateway.allowances.getOrCreate(r.tenant.Name).ReturnUnused(time.Now(), r.quotaPermit)
	}
}

// QuotaExceeded reports a request beyond its tenant's quota.
type QuotaExceeded struct {
	Tenant string
	Quota  route.Quota
	// StartsProgram is set if the request would have started a program. The last part of a
	// quota is reserved for running programs.
	StartsProgram bool
	// Replicas is how many replicas had no permit to grant, and RefusalAge is how long
	// ago they answered so.
	Replicas   int
	RefusalAge time.Duration
	// RetryAfter is the time after which a request may be admitted.
	RetryAfter time.Duration
}

func (e *QuotaExceeded) Error() string {
	text := fmt.Sprintf("tenant %s is at its limit of %g requests a second and %g on top, as %d replicas said %v ago",
		e.Tenant, e.Quota.Rate, e.Quota.Burst, e.Replicas, e.RefusalAge.Round(time.Millisecond))
	if e.StartsProgram {
		return text + "; what is left is kept for programs under way"
	}
	return text
}

// Type returns "quota_exceeded".
func (e *QuotaExceeded) Type() failure.Type { return "quota_exceeded" }

// Outcome returns NotRun.
func (e *QuotaExceeded) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after RetryAfter.
func (e *QuotaExceeded) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: e.RetryAfter}
}

// QuotaUnknown reports that too few replicas responded to tell whether a request is within its
// tenant's quota.
type QuotaUnknown struct {
	Cause error
}

func (e *QuotaUnknown) Error() string {
	return fmt.Sprintf("whether the request is within its tenant's limit is not known: %v", e.Cause)
}

// Type returns "quota_unknown".
func (e *QuotaUnknown) Type() failure.Type { return "quota_unknown" }

// Outcome returns NotRun: nothing was sent to a worker.
func (e *QuotaUnknown) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry: another gateway may reach the replicas.
func (e *QuotaUnknown) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: defaultRetryAfter}
}

// Unwrap returns the cause.
func (e *QuotaUnknown) Unwrap() error { return e.Cause }
