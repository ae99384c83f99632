// Package limit decides which requests a daemon takes: tenants' declared rates,
// kept over many daemons by shares that follow demand; how many calls may be
// under way at once, by the delay that admitted calls meet; and how many retries
// may be added to them. It does no I/O and reads no clock: callers pass the time
// in and carry the messages.
package limit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of a tenant that declares none.
const Unlimited = Rate(math.MaxFloat64)

// interval returns the time between two requests at the rate, at most longest.
func (r Rate) interval(longest time.Duration) time.Duration {
	if float64(r)*longest.Seconds() <= 1 {
		return longest
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// comeback tells refused requests when to come back. It hands out slots at the
// rate at which requests can be taken, so that those who come back arrive one
// after the other instead of all at once, however many were refused together.
type comeback struct {
	// next is the first time that no refused request was told.
	next time.Time
}

const (
	// shortestWait keeps a refused request from coming back at once.
	shortestWait = 10 * time.Millisecond
	// longestWait bounds what a request is told, longestCallWait what a call of a
	// program under way is told: of these there are never many. Beyond it the
	// slots wrap, and requests spread over the whole of it.
	longestWait     = time.Minute
	longestCallWait = 5 * time.Second
	// waitJitter is the fraction by which a wait varies, so that equal daemons
	// do not send their callers back in step.
	waitJitter = 0.1
)

// wait returns how long the next refused request is to stay away, longest at most.
func (c *comeback) wait(now time.Time, rate Rate, longest time.Duration, random *rand.Rand) time.Duration {
	if c.next.Before(now) {
		c.next = now
	}
	c.next = c.next.Add(rate.interval(longest))
	wait := c.next.Sub(now)
	if wait > longest {
		wait = time.Duration(random.Int64N(int64(longest)))
		c.next = now.Add(longest)
	}
	wait += time.Duration((2*random.Float64() - 1) * waitJitter * float64(wait))
	return min(max(wait, shortestWait), longest)
}
