package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// granter grants requests of tenants, and requests to cold workers. quorum.Client asks the
// members of the subject's group.
type granter interface {
	// Grant grants up to so many requests of a subject, of which the first may begin a
	// program.
	Grant(ctx context.Context, subject quorum.GrantSubject, limit quota.Limit, wanted int, opening bool) (quorum.GrantResult, error)
}

// allowances are what members granted to this gateway, by subject.
type allowances struct{ subjects sync.Map }

// sharedAllowance is what members granted to this gateway for one subject. One request at
// a time asks members for more, for all that wait.
type sharedAllowance struct {
	quota.Allowance

	mutex   sync.Mutex
	waiting int
	// asked is closed when the question under way has its answer; nil while there is none.
	asked chan struct{}
	// refusedInRow counts the refusals since members last granted something.
	refusedInRow int
}

func (a *allowances) of(subject string) *sharedAllowance {
	if known := a.known(subject); known != nil {
		return known
	}
	known, _ := a.subjects.LoadOrStore(subject, &sharedAllowance{})
	return known.(*sharedAllowance)
}

// known returns the allowance of a subject that was asked for lately, or nil.
func (a *allowances) known(subject string) *sharedAllowance {
	if known, found := a.subjects.Load(subject); found {
		return known.(*sharedAllowance)
	}
	return nil
}

// sweep forgets subjects that were not asked for lately.
func (a *allowances) sweep(now time.Time) {
	for subject, each := range a.subjects.Range {
		known := each.(*sharedAllowance)
		known.mutex.Lock()
		unused := known.waiting == 0
		known.mutex.Unlock()
		if unused && known.IsIdle(now) {
			a.subjects.Delete(subject)
		}
	}
}

// askOrWait asks members for more, for itself and all that wait, or waits for the answer
// that another request has asked for.
func (a *sharedAllowance) askOrWait(ctx context.Context, ask func(ctx context.Context, waiting int) error) error {
	a.mutex.Lock()
	if inFlight := a.asked; inFlight != nil {
		a.waiting++
		a.mutex.Unlock()
		defer a.leave()
		select {
		case <-inFlight:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	asked := make(chan struct{})
	a.asked = asked
	waiting := a.waiting
	a.mutex.Unlock()
	defer func() {
		a.mutex.Lock()
		a.asked = nil
		a.mutex.Unlock()
		close(asked)
	}()
	return ask(ctx, waiting+1)
}

func (a *sharedAllowance) leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting--
}

// refused counts a refusal and returns how many came before it in a row.
func (a *sharedAllowance) refused() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refusedInRow++
	return a.refusedInRow - 1
}

// granted ends the row of refusals.
func (a *sharedAllowance) granted() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refusedInRow = 0
}

// take takes a member's answer to what was asked for at a time.
func (a *sharedAllowance) take(asked time.Time, granted quorum.GrantResult, opening bool) {
	if !granted.Refused {
		a.AddGrant(asked, granted.Grant)
		return
	}
	now := time.Now()
	a.RecordRefusal(quota.Refusal{ReceivedAt: now, RetryAt: now.Add(granted.RetryAfter), Replicas: granted.Answered}, opening)
}
