package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// quotaGranter grants permits for requests of a tenant or to a cold worker. quorum.Client
// implements it by calling the replicas of the subject's group.
type quotaGranter interface {
	// Grant grants up to the wanted number of requests of a subject. startsProgram is set if
	// the first of them starts a program.
	Grant(ctx context.Context, subject quorum.GrantSubject, limit quota.Limit, wanted int, startsProgram bool) (quorum.GrantResult, error)
}

// allowanceMap holds the permits that replicas have granted to this gateway, by subject.
type allowanceMap struct{ bySubject sync.Map }

// subjectAllowance holds the permits that replicas have granted to this gateway for one
// subject. At most one call to the replicas is in flight, on behalf of all requests that wait
// for permits.
type subjectAllowance struct {
	quota.Allowance

	mutex   sync.Mutex
	waiters int
	// refill is the refill call in flight; nil while there is none.
	refill *refill
	// consecutiveRefusals counts the refusals since replicas last granted a permit.
	consecutiveRefusals int
}

// refill is a call to the replicas for permits.
type refill struct {
	startedAt time.Time
	// done is closed when the call has returned; err is its error then.
	done chan struct{}
	err  error
}

// isLate reports whether the call has taken longer than requests wait for it.
func (r *refill) isLate(now time.Time, patience time.Duration) bool {
	return !now.Before(r.startedAt.Add(patience))
}

func (a *allowanceMap) getOrCreate(subject string) *subjectAllowance {
	if allowance := a.get(subject); allowance != nil {
		return allowance
	}
	allowance, _ := a.bySubject.LoadOrStore(subject, &subjectAllowance{})
	return allowance.(*subjectAllowance)
}

// get returns the allowance of a recently used subject, or nil.
func (a *allowanceMap) get(subject string) *subjectAllowance {
	if allowance, found := a.bySubject.Load(subject); found {
		return allowance.(*subjectAllowance)
	}
	return nil
}

// removeIdle removes the subjects that were not used recently.
func (a *allowanceMap) removeIdle(now time.Time) {
	for subject, each := range a.bySubject.Range {
		allowance := each.(*subjectAllowance)
		allowance.mutex.Lock()
		unused := allowance.waiters == 0 && allowance.refill == nil
		allowance.mutex.Unlock()
		if unused && allowance.IsIdle(now) {
			a.bySubject.Delete(subject)
		}
	}
}

// refillOrWait calls refill for itself and all waiters, or waits for the refill that another
// request has in flight.
func (a *subjectAllowance) refillOrWait(ctx context.Context, refill func(ctx context.Context, waiters int) error) error {
	inFlight, waiters, started := a.startOrJoinRefill()
	if started {
		defer a.endRefill(inFlight)
		return refill(ctx, waiters)
	}
	defer a.removeWaiter()
	select {
	case <-inFlight.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startOrJoinRefill returns the refill in flight, for which the caller then counts as a waiter
// until removeWaiter, or a new one, which the caller must make for so many waiters and end.
func (a *subjectAllowance) startOrJoinRefill() (current *refill, waiters int, started bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.refill != nil {
		a.waiters++
		return a.refill, 0, false
	}
	a.refill = &refill{startedAt: time.Now(), done: make(chan struct{})}
	return a.refill, a.waiters + 1, true
}

// endRefill ends a refill for all that wait for it.
func (a *subjectAllowance) endRefill(ended *refill) {
	a.mutex.Lock()
	a.refill = nil
	a.mutex.Unlock()
	close(ended.done)
}

// refillIsLate reports whether a refill is in flight that takes longer than requests wait for it.
func (a *subjectAllowance) refillIsLate(now time.Time, patience time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.refill != nil && a.refill.isLate(now, patience)
}

func (a *subjectAllowance) removeWaiter() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiters--
}

// countRefusal counts a refusal and returns how many consecutive refusals preceded it.
func (a *subjectAllowance) countRefusal() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.consecutiveRefusals++
	return a.consecutiveRefusals - 1
}

// resetRefusals resets the count of consecutive refusals.
func (a *subjectAllowance) resetRefusals() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.consecutiveRefusals = 0
}

// applyResponse records the replicas' response to a call that was made at requestedAt. A grant
// counts from when its replica was asked, which may be later.
func (a *subjectAllowance) applyResponse(requestedAt time.Time, granted quorum.GrantResult, startsProgram bool) {
	if !granted.Refused {
		if granted.RequestedAt.After(requestedAt) {
			requestedAt = granted.RequestedAt
		}
		a.AddGrant(requestedAt, granted.Grant)
		return
	}
	now := time.Now()
	a.RecordRefusal(quota.Refusal{ReceivedAt: now, RetryAt: now.Add(granted.RetryAfter), Replicas: granted.Answered}, startsProgram)
}
