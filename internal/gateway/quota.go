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
	// grantsWait bounds how long a request waits for a member that grants: all of them have
	// had the time to answer then, directly or through another gateway.
	grantsWait = 600 * time.Millisecond
	// firstQuotaPause and lastQuotaPause bound the pauses, which double, after which a
	// request of a program under way is offered to members that had nothing to grant.
	firstQuotaPause = 40 * time.Millisecond
	lastQuotaPause  = 160 * time.Millisecond
	// quotaPatience is the part of the time left for which such a request waits: a refused
	// call of a tool ends its program, and what was spent on its turns is lost.
	quotaPatience = 1.0 / 3
	// openingPatience is the same for a request that begins a program: as long as its
	// client would wait before it came back, and without one of its few tries.
	openingPatience = 1.0 / 10
)

// isLimited reports whether the request counts against a limit.
func (r *request) isLimited() bool { return r.tenant != nil && r.tenant.Quota.Bounded() }

// admitAlone lets the request in where it waits for nothing else meanwhile. A process that
// has just started learns first which replicas grant.
func (r *request) admitAlone(ctx context.Context) error {
	if !r.isLimited() {
		return nil
	}
	r.await(ctx, heldForQuota, workersWait, func() bool { return len(r.gateway.directory.Groups()) > 0 })
	defer r.hold(heldForQuota)()
	return r.admit(ctx)
}

// admit lets the request in within its tenant's limit, or refuses it. Nothing is sent to
// a worker before.
func (r *request) admit(ctx context.Context) error {
	if !r.isLimited() {
		return nil
	}
	err := r.awaitPass(ctx, r.opensProgram())
	r.gateway.metrics.limited(r.tenant.Name, outcomeOfLimit(err))
	return err
}

// outcomeOfLimit names what became of a request that a limit applies to.
func outcomeOfLimit(err error) string {
	var exceeded *QuotaExceeded
	switch {
	case err == nil:
		return "admitted"
	case errors.As(err, &exceeded):
		return "refused"
	}
	return "unknown"
}

// awaitPass takes what was granted before, or asks for more, and waits a little where
// members have nothing to grant.
func (r *request) awaitPass(ctx context.Context, opening bool) error {
	allowance := r.gateway.allowances.of(r.tenant.Name)
	var until time.Time
	for wait := firstQuotaPause; !r.takePass(allowance, opening); {
		now := time.Now()
		if until.IsZero() {
			until = now.Add(r.limitPatience(opening))
		}
		refusal, refused := allowance.ActiveRefusal(now, opening)
		if !refused {
			err := r.askOrWait(ctx, allowance, opening)
			if err == nil {
				continue
			}
			if !mayBeKnownSoon(err) || time.Now().Add(wait).After(until) || !pause.For(ctx, wait/2+rand.N(wait)) {
				return err
			}
			wait = min(2*wait, lastQuotaPause)
			continue
		}
		after := max(refusal.RetryAt.Sub(now), wait/2+rand.N(wait))
		if now.Add(after).After(until) || !pause.For(ctx, after) {
			return &QuotaExceeded{
				Tenant: r.tenant.Name, Quota: r.tenant.Quota, StartsProgram: opening, RetryAfter: refusal.RetryAt.Sub(now),
				Replicas: refusal.Replicas, RefusalAge: now.Sub(refusal.ReceivedAt),
			}
		}
		wait = min(2*wait, lastQuotaPause)
	}
	return nil
}

// mayBeKnownSoon reports whether the replicas that did not tell of a limit have been silent for a
// moment only. One call that takes longer than usual has a replica count as silent until it answers
// a probe, so that a request within its limit must not be refused for it.
func mayBeKnownSoon(err error) bool {
	var silent *quorum.Unavailable
	if errors.As(err, &silent) {
		return silent.ShortestSilence > 0 && silent.ShortestSilence < quorum.SilenceTolerance
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// limitPatience returns for how long the request waits for its tenant's limit.
func (r *request) limitPatience(opening bool) time.Duration {
	share := quotaPatience
	if opening {
		share = openingPatience
	}
	return time.Duration(share * float64(time.Until(r.deadline)))
}

// takePass lets the request in if something granted is left for it.
func (r *request) takePass(allowance *sharedAllowance, opening bool) bool {
	pass, found := allowance.Take(time.Now(), opening)
	if found {
		r.quotaPass, r.passed = pass, true
		r.gateway.programs.note(r.program)
	}
	return found
}

// askOrWait asks the members of the tenant's group for more, or waits for the answer that
// another request of the tenant has asked for.
func (r *request) askOrWait(ctx context.Context, allowance *sharedAllowance, opening bool) error {
	ctx, cancel := context.WithTimeout(ctx, grantsWait)
	defer cancel()
	err := allowance.askOrWait(ctx, func(ctx context.Context, waiting int) error {
		return r.ask(ctx, allowance, waiting, opening)
	})
	if err != nil {
		return &QuotaUnknown{Cause: err}
	}
	return nil
}

// ask asks the members of the tenant's group.
func (r *request) ask(ctx context.Context, allowance *sharedAllowance, waiting int, opening bool) error {
	began := time.Now()
	limit := quota.Limit{Rate: r.tenant.Quota.Rate, Burst: r.tenant.Quota.Burst, Version: r.view.Table.Version()}
	wanted := waiting
	if !r.gateway.disabled(mechanism.GrantPrefetch) {
		wanted = allowance.RequestSize(began, waiting)
	}
	granted, err := r.gateway.granter.Grant(ctx, quorum.TenantSubject(r.tenant.Name), limit, wanted, opening)
	if err != nil {
		return err
	}
	allowance.take(began, granted, opening)
	return nil
}

// opensProgram reports whether the request is known to begin a program: a turn that goes
// on from none, of a program that this gateway has not seen.
func (r *request) opensProgram() bool {
	return r.route.Kind == route.Streaming && r.envelope.Program != "" && r.envelope.PreviousTurnID == "" &&
		!r.gateway.programs.seen(r.program)
}

// returnPass gives the request's pass back if it has not run.
func (r *request) returnPass() {
	if r.passed && len(r.ran) == 0 {
		r.gateway.allowances.of(r.tenant.Name).ReturnUnused(time.Now(), r.quotaPass)
	}
}

// QuotaExceeded reports a request beyond its tenant's limit.
type QuotaExceeded struct {
	Tenant string
	Quota  route.Quota
	// StartsProgram is set where the request would have begun a program: the last part of a
	// limit is kept for programs under way.
	StartsProgram bool
	// Replicas is how many members had nothing to grant, Age how long ago they said so.
	Replicas   int
	RefusalAge time.Duration
	// RetryAfter is after what time a request may be let in again.
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

// Retry says when to come back.
func (e *QuotaExceeded) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: e.RetryAfter}
}

// QuotaUnknown reports a request that may be within its tenant's limit, which too few
// replicas answered to tell.
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

// Retry says when to come back: another gateway may know it.
func (e *QuotaUnknown) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: comeBackAfter}
}

// Unwrap returns the cause.
func (e *QuotaUnknown) Unwrap() error { return e.Cause }
