package limit

import (
	"sync"
	"time"
)

// RetryBudget bounds retries to a fraction of the requests that succeed, so that
// a failing back end gets little more than its load once. It is safe for
// concurrent use.
type RetryBudget struct {
	mutex  sync.Mutex
	ratio  float64
	steady Rate
	bucket Bucket
}

// retryBurst is the number of retries that may be saved up.
const retryBurst = 10

// NewRetryBudget returns a budget of ratio retries for each success, and of
// steady retries a second without any, so that a daemon with little traffic can
// retry at all.
func NewRetryBudget(now time.Time, ratio float64, steady Rate) *RetryBudget {
	return &RetryBudget{
		ratio:  ratio,
		steady: steady,
		bucket: Bucket{Tokens: retryBurst, Updated: now},
	}
}

// RecordSuccess adds a success's part to the budget.
func (r *RetryBudget) RecordSuccess(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Tokens += r.ratio
	r.bucket.Refill(now, r.steady, retryBurst)
}

// CanRetry reports whether a retry would be allowed, without taking it.
func (r *RetryBudget) CanRetry(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Refill(now, r.steady, retryBurst)
	return r.bucket.Tokens >= 1
}

// Allow takes one retry out of the budget, if there is one.
func (r *RetryBudget) Allow(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bucket.Refill(now, r.steady, retryBurst)
	return r.bucket.Take()
}
