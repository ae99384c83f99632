package membership

import "time"

// TimeoutEstimator estimates when the next heartbeat of a peer should have arrived.
type TimeoutEstimator interface {
	// ObserveHeartbeat records the arrival of the heartbeat with the given number.
	ObserveHeartbeat(now time.Time, number uint64)
	// ObserveFalseSuspicion records that the peer was suspected although it was alive.
	ObserveFalseSuspicion()
	// Deadline returns the time at which the peer is suspected if no heartbeat arrives
	// before.
	Deadline() time.Time
}

// DefaultEstimator returns the estimator selected by the comparison in
// docs/design/membership.md.
func DefaultEstimator(period time.Duration) TimeoutEstimator {
	return NewFixedTimeout(period + period/2)
}

// FixedTimeout expects each heartbeat within a constant time after the last one.
type FixedTimeout struct {
	timeout     time.Duration
	lastArrival time.Time
}

// NewFixedTimeout returns an estimator with a constant timeout.
func NewFixedTimeout(timeout time.Duration) *FixedTimeout { return &FixedTimeout{timeout: timeout} }

// ObserveHeartbeat records the arrival of a heartbeat.
func (f *FixedTimeout) ObserveHeartbeat(now time.Time, _ uint64) { f.lastArrival = now }

// ObserveFalseSuspicion does nothing, because the timeout is constant.
func (f *FixedTimeout) ObserveFalseSuspicion() {}

// Deadline returns the last arrival plus the timeout.
func (f *FixedTimeout) Deadline() time.Time { return f.lastArrival.Add(f.timeout) }

// windowLength is the number of past heartbeats from which the next arrival is
// estimated.
const windowLength = 100

// ChenEstimator expects the next heartbeat at the mean of the last arrivals, each
// shifted to the next period, plus a constant margin (Chen, Toueg, Aguilera, "On the
// quality of service of failure detectors", IEEE Trans. Computers 51, 2002).
type ChenEstimator struct {
	period     time.Duration
	margin     time.Duration
	origin     time.Time
	lastNumber uint64
	// offsets holds, for each heartbeat, its arrival since origin minus its number
	// times the period.
	offsets []time.Duration
	next    int
	sum     time.Duration
}

// NewChenEstimator returns an estimator with a constant margin.
func NewChenEstimator(period, margin time.Duration) *ChenEstimator {
	return &ChenEstimator{period: period, margin: margin}
}

// ObserveHeartbeat records an arrival. Lost heartbeats before it are interpolated at
// equal intervals.
func (c *ChenEstimator) ObserveHeartbeat(now time.Time, number uint64) {
	if c.lastNumber == 0 || number < c.lastNumber && number == 1 {
		c.origin, c.offsets, c.sum, c.next = now, nil, 0, 0
		c.lastNumber = number
		c.add(-time.Duration(number) * c.period)
		return
	}
	if number <= c.lastNumber {
		return
	}
	c.interpolateLost(now, number)
	c.add(now.Sub(c.origin) - time.Duration(number)*c.period)
	c.lastNumber = number
}

// interpolateLost adds offsets for lost heartbeats, evenly spaced between those of the
// heartbeats around them.
func (c *ChenEstimator) interpolateLost(now time.Time, number uint64) {
	lost := number - c.lastNumber - 1
	if lost == 0 || lost > windowLength {
		return
	}
	previousOffset := c.offsets[(c.next+len(c.offsets)-1)%len(c.offsets)]
	offset := now.Sub(c.origin) - time.Duration(number)*c.period
	step := (offset - previousOffset) / time.Duration(lost+1)
	for i := range lost {
		c.add(previousOffset + step*time.Duration(i+1))
	}
}

func (c *ChenEstimator) add(offset time.Duration) {
	c.sum += offset
	if len(c.offsets) < windowLength {
		c.offsets = append(c.offsets, offset)
		return
	}
	c.sum -= c.offsets[c.next]
	c.offsets[c.next] = offset
	c.next = (c.next + 1) % windowLength
}

// expectedArrival returns the estimated arrival of the next heartbeat.
func (c *ChenEstimator) expectedArrival() time.Time {
	if len(c.offsets) == 0 {
		return c.origin
	}
	mean := c.sum / time.Duration(len(c.offsets))
	return c.origin.Add(mean + time.Duration(c.lastNumber+1)*c.period)
}

// ObserveFalseSuspicion does nothing, because the margin is constant.
func (c *ChenEstimator) ObserveFalseSuspicion() {}

// Deadline returns the expected arrival plus the margin.
func (c *ChenEstimator) Deadline() time.Time { return c.expectedArrival().Add(c.margin) }
