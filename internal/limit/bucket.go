package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket whose rate may change at any time.
type Bucket struct {
	// Tokens is the number of available tokens at the time Updated.
	Tokens  float64
	Updated time.Time
}

// Refill adds the tokens that rate produced since the last refill, up to capacity.
func (b *Bucket) Refill(now time.Time, rate Rate, capacity float64) {
	if elapsed := now.Sub(b.Updated); elapsed > 0 {
		b.Tokens += float64(rate) * elapsed.Seconds()
		b.Updated = now
	}
	b.Tokens = min(b.Tokens, capacity)
}

// Take removes one token and reports whether one was available.
func (b *Bucket) Take() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// demandEstimator is an exponentially decaying average of the rate at which requests
// arrive.
type demandEstimator struct {
	rate    float64
	updated time.Time
}

// demandHalfLifeSeconds is the half-life of the average.
const demandHalfLifeSeconds = 10.0

// observe counts one arrival.
func (d *demandEstimator) observe(now time.Time) {
	d.decay(now)
	d.rate += ln2 / demandHalfLifeSeconds
}

// rateAt returns the estimated rate at the given time.
func (d *demandEstimator) rateAt(now time.Time) Rate {
	d.decay(now)
	return Rate(d.rate)
}

// ln2 is the natural logarithm of 2. The decay constant of the average is ln2 /
// demandHalfLifeSeconds.
const ln2 = 0.6931471805599453

func (d *demandEstimator) decay(now time.Time) {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	d.rate *= math.Exp2(-elapsed / demandHalfLifeSeconds)
	d.updated = now
}
