package membership

import "time"

// TimeoutEstimator says until when the next heartbeat of a peer is expected.
type TimeoutEstimator interface {
	// HeartbeatInterval tells that the numbered heartbeat arrived.
	ObserveHeartbeat(now time.Time, number uint64)
	// ObserveFalseSuspicion tells that the peer was suspected wrongly.
	ObserveFalseSuspicion()
	// Deadline is when the peer is suspected unless a heartbeat arrives before.
	Deadline() time.Time
}

// DefaultEstimator returns the estimator that the comparison in
// docs/design/membership.md supports.
func DefaultEstimator(period time.Duration) TimeoutEstimator {
	return NewFixedTimeout(period + period/2)
}

// FixedTimeout expects each heartbeat within a constant time after the last one.
type FixedTimeout struct {
	timeout time.Duration
	last    time.Time
}

// NewFixedTimeout returns an estimator with a constant timeout.
func NewFixedTimeout(timeout time.Duration) *FixedTimeout { return &FixedTimeout{timeout: timeout} }

// HeartbeatInterval tells that a heartbeat arrived.
func (f *FixedTimeout) ObserveHeartbeat(now time.Time, _ uint64) { f.last = now }

// ObserveFalseSuspicion changes nothing: the timeout is constant.
func (f *FixedTimeout) ObserveFalseSuspicion() {}

// Deadline is the last arrival and the timeout.
func (f *FixedTimeout) Deadline() time.Time { return f.last.Add(f.timeout) }

// windowLength is the number of heartbeats that the arrival of the next one is
// estimated from.
const windowLength = 100

// ChenEstimator expects the next heartbeat at the mean of the last arrivals, each
// shifted to the next period, and a constant margin (Chen, Toueg, Aguilera, "On
// the quality of service of failure detectors", IEEE Trans. Computers 51, 2002).
type ChenEstimator struct {
	period time.Duration
	margin time.Duration
	origin time.Time
	last   uint64
	// shifted holds arrival less number times period, since origin.
	shifted []time.Duration
	next    int
	sum     time.Duration
}

// NewChenEstimator returns an estimator with a constant margin.
func NewChenEstimator(period, margin time.Duration) *ChenEstimator {
	return &ChenEstimator{period: period, margin: margin}
}

// HeartbeatInterval takes an arrival. Lost heartbeats before it count as if they had
// come at even distances.
func (c *ChenEstimator) ObserveHeartbeat(now time.Time, number uint64) {
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
func (c *ChenEstimator) fill(now time.Time, number uint64) {
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

func (c *ChenEstimator) add(shifted time.Duration) {
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
func (c *ChenEstimator) expected() time.Time {
	if len(c.shifted) == 0 {
		return c.origin
	}
	mean := c.sum / time.Duration(len(c.shifted))
	return c.origin.Add(mean + time.Duration(c.last+1)*c.period)
}

// ObserveFalseSuspicion changes nothing: the margin is constant.
func (c *ChenEstimator) ObserveFalseSuspicion() {}

// Deadline is the expected arrival and the margin.
func (c *ChenEstimator) Deadline() time.Time { return c.expected().Add(c.margin) }
