package limit

import (
	"sync"
	"time"
)

// RetryBudget limits retries to a fraction of the successful requests, so that retries
// do not multiply the load on a failing backend. It is safe for concurrent use.
type RetryBudget struct {
	mutex   sync.Mutex
	ratio   float64
	minRate Rate
	bucket  Bucket
}

// retryBurst is the maximum number of unused retries that the budget accumulates.
const retryBurst = 10

// NewRetryBudget returns a budget of ratio retries per successful request, plus minRate
// retries per second, so that a daemon with little traffic can retry at all.
func NewRetryBudget(now time.Time, ratio float64, minRate Rate) *RetryBudget {
	return &RetryBudget{
		ratio:   ratio,
		minRate: minRate,
		bucket:  Bucket{Tokens: retryBurst, Updated: now},
	}
}

// RecordSuccess adds ratio retries to the budget.
func (r *RetryBudget) RecordSuccess(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Tokens += r.ratio
	r.bucket.Refill(now, r.minRate, retryBurst)
}

// CanRetry reports whether a retry is available, without consuming it.
func (r *RetryBudget) CanRetry(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Refill(now, r.minRate, retryBurst)
	return r.bucket.Tokens >= 1
}

// Allow consumes one retry and reports whether one was available.
func (r *RetryBudget) Allow(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Refill(now, r.minRate, retryBurst)
	return r.bucket.Take()
}
