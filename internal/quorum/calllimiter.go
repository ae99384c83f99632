package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
)

const (
	// MaxMemberCalls is the number of calls of requests that one process has in flight to one replica.
	// Further calls wait here, where a call that nobody waits for any more costs nothing.
	MaxMemberCalls = 12
	// initialCallLimit is the bound for a replica that has not been called yet.
	initialCallLimit = 4
	// minCallLimit is the bound for a replica that rejects calls.
	minCallLimit = 1
	// callLimitIncrease is by how much as many answers as the bound raise it, once it has been lowered.
	callLimitIncrease = 0.1
	// callLimitDecrease is the factor by which a rejected or unanswered call lowers the bound.
	callLimitDecrease = 0.5
)

// callOutcome is what the end of a call says about the load of the replica.
type callOutcome int

const (
	// callAnswered is an answer, whatever it says.
	callAnswered callOutcome = iota
	// callOverloaded is a call that the replica rejected, or did not answer in time.
	callOverloaded
	// callUnknown says nothing, as a refused connection.
	callUnknown
)

// outcomeOf returns the outcome of a call that ended with an error, which may be nil.
func outcomeOf(err error) callOutcome {
	switch {
	case err == nil:
		return callAnswered
	case isRejection(err), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return callOverloaded
	case isUnanswered(err):
		return callUnknown
	}
	return callAnswered
}

// callLimiter bounds the calls of requests in flight to one replica. Each answer raises the bound a
// little, and a call that the replica rejects or does not answer halves it, so that all processes
// together call as much as the replica answers (additive increase, multiplicative decrease). Before the
// first such call each answer raises the bound by one (slow start). At the lowest bound a rejection also
// starts a pause that doubles with each further one. It is safe for concurrent use.
type callLimiter struct {
	now func() time.Time

	mutex    sync.Mutex
	limit    float64
	inFlight int
	// waiting are the calls that wait for a slot, oldest first. A slot is given by closing the channel.
	waiting []chan struct{}
	// decreasedAt is when the bound was last lowered. Calls begun before that do not lower it again.
	decreasedAt time.Time
	// pausedUntil is the end of the pause, and backoff the length of the next one.
	pausedUntil time.Time
	backoff     time.Duration
}

func newCallLimiter(now func() time.Time) *callLimiter {
	return &callLimiter{now: now, limit: initialCallLimit, backoff: initialBackoff}
}

// acquire waits for a slot and reports whether it got one before ctx ended. The caller must call
// release.
func (l *callLimiter) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	l.mutex.Lock()
	if len(l.waiting) == 0 && l.hasSlot() {
		l.inFlight++
		l.mutex.Unlock()
		return true
	}
	slot := make(chan struct{})
	l.waiting = append(l.waiting, slot)
	l.mutex.Unlock()
	select {
	case <-slot:
		return true
	case <-ctx.Done():
		l.abandon(slot)
		return false
	}
}

// hasSlot reports whether one more call may begin. The mutex must be held.
func (l *callLimiter) hasSlot() bool {
	return l.inFlight < int(l.limit) && !l.now().Before(l.pausedUntil)
}

// abandon removes a call that no longer waits. A slot that it got meanwhile is passed on.
func (l *callLimiter) abandon(slot chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, waiting := range l.waiting {
		if waiting == slot {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	l.inFlight--
	l.grantSlots()
}

// release ends a call that began at startedAt.
func (l *callLimiter) release(startedAt time.Time, outcome callOutcome) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
	switch outcome {
	case callAnswered:
		l.increase()
		l.backoff = initialBackoff
	case callOverloaded:
		l.decrease(startedAt)
	}
	l.grantSlots()
}

// increase raises the bound after an answer. The mutex must be held.
func (l *callLimiter) increase() {
	step := callLimitIncrease / l.limit
	if l.decreasedAt.IsZero() {
		step = 1
	}
	l.limit = min(MaxMemberCalls, l.limit+step)
}

// decrease lowers the bound, once for all calls that were in flight together. At the lowest bound it
// begins a pause. The mutex must be held.
func (l *callLimiter) decrease(startedAt time.Time) {
	if !startedAt.After(l.decreasedAt) {
		return
	}
	now := l.now()
	l.decreasedAt = now
	if l.limit > minCallLimit {
		l.limit = max(minCallLimit, l.limit*callLimitDecrease)
		return
	}
	wait := l.backoff/2 + rand.N(l.backoff)
	l.pausedUntil = now.Add(wait)
	l.backoff = min(2*l.backoff, maxBackoff)
	time.AfterFunc(wait, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.grantSlots()
	})
}

// grantSlots gives free slots to waiting calls, oldest first. The mutex must be held.
func (l *callLimiter) grantSlots() {
	for len(l.waiting) > 0 && l.hasSlot() {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
		l.inFlight++
	}
}

// callLimiters holds the limiter of each replica, by address.
type callLimiters struct {
	now func() time.Time

	mutex     sync.Mutex
	byAddress map[string]*callLimiter
}

func newCallLimiters(now func() time.Time) *callLimiters {
	return &callLimiters{now: now, byAddress: make(map[string]*callLimiter)}
}

// of returns the limiter of a replica.
func (l *callLimiters) of(address string) *callLimiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.byAddress[address]
	if found == nil {
		found = newCallLimiter(l.now)
		l.byAddress[address] = found
	}
	return found
}
