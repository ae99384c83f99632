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

// windowLength is the number of heartbeats that the arrival of the next one is
// estimated from.
const windowLength = 100

// Chen expects the next heartbeat at the mean of the last arrivals, each
// shifted to the next period, and a constant margin (Chen, Toueg, Aguilera, "On
// the quality of service of failure detectors", IEEE Trans. Computers 51, 2002).
type Chen struct {
	period time.Duration
	margin time.Duration
	origin time.Time
	last   uint64
	// shifted holds arrival less number times period, since origin.
	shifted []time.Duration
	next    int
	sum     time.Duration
}

// NewChen returns an estimator with a constant margin.
func NewChen(period, margin time.Duration) *Chen { return &Chen{period: period, margin: margin} }

// Heartbeat takes an arrival. Lost heartbeats before it count as if they had
// come at even distances.
func (c *Chen) Heartbeat(now time.Time, number uint64) {
	if c.last == 0 || number < c.last && number == 1 {
		c.origin, c.shifted, c.sum, c.next = now, nil, 0, 0
		c.last = number
		c.add(-time.Duration(number) * c.period)
		return
	}
	if number <= c.last {
		return
	}
	c.fill(now, number)
	c.add(now.Sub(c.origin) - time.Duration(number)*c.period)
	c.last = number
}

// fill stands in for lost heartbeats, evenly between the arrivals around them.
func (c *Chen) fill(now time.Time, number uint64) {
	missing := number - c.last - 1
	if missing == 0 || missing > windowLength {
		return
	}
	before := c.shifted[(c.next+len(c.shifted)-1)%len(c.shifted)]
	after := now.Sub(c.origin) - time.Duration(number)*c.period
	step := (after - before) / time.Duration(missing+1)
	for i := range missing {
		c.add(before + step*time.Duration(i+1))
	}
}

func (c *Chen) add(shifted time.Duration) {
	c.sum += shifted
	if len(c.shifted) < windowLength {
		c.shifted = append(c.shifted, shifted)
		return
	}
	c.sum -= c.shifted[c.next]
	c.shifted[c.next] = shifted
	c.next = (c.next + 1) % windowLength
}

// expected is the estimated arrival of the next heartbeat.
func (c *Chen) expected() time.Time {
	if len(c.shifted) == 0 {
		return c.origin
	}
	mean := c.sum / time.Duration(len(c.shifted))
	return c.origin.Add(mean + time.Duration(c.last+1)*c.period)
}

// Mistake changes nothing: the margin is constant.
func (c *Chen) Mistake() {}

// Deadline is the expected arrival and the margin.
func (c *Chen) Deadline() time.Time { return c.expected().Add(c.margin) }
