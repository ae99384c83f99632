// Package limit is the admission control of a daemon. It enforces the declared rates of
// tenants across all daemons by shares that follow demand, limits the calls in flight
// by the latency that admitted calls observe, and limits retries. It does no I/O and
// reads no clock: callers pass the time in and transport the messages.
package limit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of a tenant that declares no rate.
const Unlimited = Rate(math.MaxFloat64)

// interval returns the time between two requests at the rate, at most maxInterval.
func (r Rate) interval(maxInterval time.Duration) time.Duration {
	if float64(r)*maxInterval.Seconds() <= 1 {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / float64(r))
}

// retryPacer assigns retry times to rejected requests. It hands out slots at the rate
// at which requests can be admitted, so that retries arrive one by one however many
// requests were rejected at the same time.
type retryPacer struct {
	// nextSlot is the end of the last slot handed out.
	nextSlot time.Time
}

const (
	// minRetryDelay prevents immediate retries.
	minRetryDelay = 10 * time.Millisecond
	// maxRetryDelay is the upper bound of the retry delay, maxCallRetryDelay the one
	// for calls of running programs, of which only a few exist at a time. Beyond the
	// bound the slots wrap around, and retries spread over the whole interval.
	maxRetryDelay     = time.Minute
	maxCallRetryDelay = 5 * time.Second
	// retryJitter is the relative jitter of a retry delay. It keeps daemons in the same
	// state from synchronizing the retries of their callers.
	retryJitter = 0.1
)

// delay returns the retry delay of the next rejected request, at most maxDelay.
func (p *retryPacer) delay(now time.Time, rate Rate, maxDelay time.Duration, random *rand.Rand) time.Duration {
	if p.nextSlot.Before(now) {
		p.nextSlot = now
	}
	p.nextSlot = p.nextSlot.Add(rate.interval(maxDelay))
	delay := p.nextSlot.Sub(now)
	if delay > maxDelay {
		delay = time.Duration(random.Int64N(int64(maxDelay)))
		p.nextSlot = now.Add(maxDelay)
	}
	delay += time.Duration((2*random.Float64() - 1) * retryJitter * float64(delay))
	return min(max(delay, minRetryDelay), maxDelay)
}
