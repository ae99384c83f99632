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
	// refillDone is closed when the refill call in flight returns; nil while there is none.
	refillDone chan struct{}
	// consecutiveRefusals counts the refusals since replicas last granted a permit.
	consecutiveRefusals int
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
		unused := allowance.waiters == 0
		allowance.mutex.Unlock()
		if unused && allowance.IsIdle(now) {
			a.bySubject.Delete(subject)
		}
	}
}

// refillOrWait calls refill for itself and all waiters, or waits for the refill that another
// request has in flight.
func (a *subjectAllowance) refillOrWait(ctx context.Context, refill func(ctx context.Context, waiters int) error) error {
	a.mutex.Lock()
	if inFlight := a.refillDone; inFlight != nil {
		a.waiters++
		a.mutex.Unlock()
		defer a.removeWaiter()
		select {
		case <-inFlight:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	done := make(chan struct{})
	a.refillDone = done
	waiters := a.waiters
	a.mutex.Unlock()
	defer func() {
		a.mutex.Lock()
		a.refillDone = nil
		a.mutex.Unlock()
		close(done)
	}()
	return refill(ctx, waiters+1)
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

// applyResponse records the replicas' response to a call that was made at requestedAt.
func (a *subjectAllowance) applyResponse(requestedAt time.Time, granted quorum.GrantResult, startsProgram bool) {
	if !granted.Refused {
		a.AddGrant(requestedAt, granted.Grant)
		return
	}
	now := time.Now()
	a.RecordRefusal(quota.Refusal{ReceivedAt: now, RetryAt: now.Add(granted.RetryAfter), Replicas: granted.Answered}, startsProgram)
}
