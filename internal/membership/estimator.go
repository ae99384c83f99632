package membership

import "time"

// Estimator says until when the next heartbeat of a peer is expected.
type Estimator interface {
	// Heartbeat tells that the numbered heartbeat arrived.
	Heartbeat(now time.Time, number uint64)
	// Mistake tells that the peer was suspected wrongly.
	Mistake()
	// Deadline is when the peer is suspected unless a heartbeat arrives before.
	Deadline() time.Time
}

// DefaultEstimator returns the estimator that the comparison in
// docs/design/membership.md supports.
func DefaultEstimator(period time.Duration) Estimator {
	return NewFixed(period + period/2)
}

// Fixed expects each heartbeat within a constant time after the last one.
type Fixed struct {
	timeout time.Duration
	last    time.Time
}

// NewFixed returns an estimator with a constant timeout.
func NewFixed(timeout time.Duration) *Fixed { return &Fixed{timeout: timeout} }

// Heartbeat tells that a heartbeat arrived.
func (f *Fixed) Heartbeat(now time.Time, _ uint64) { f.last = now }

// Mistake changes nothing: the timeout is constant.
func (f *Fixed) Mistake() {}

// Deadline is the last arrival and the timeout.
func (f *Fixed) Deadline() time.Time { return f.last.Add(f.timeout) }
