package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket whose rate may change at any time.
type Bucket struct {
	// Tokens are what may be taken, as of Updated.
	Tokens  float64
	Updated time.Time
}

// Refill adds what the rate gave since the last refill, up to capacity.
func (b *Bucket) Refill(now time.Time, rate Rate, capacity float64) {
	if elapsed := now.Sub(b.Updated); elapsed > 0 {
		b.Tokens += float64(rate) * elapsed.Seconds()
		b.Updated = now
	}
	b.Tokens = min(b.Tokens, capacity)
}

// Take removes one token if there is one.
func (b *Bucket) Take() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// demand is the smoothed rate at which requests arrive.
type demand struct {
	value   float64
	updated time.Time
}

// demandHalfLife is how fast demand forgets, in seconds.
const demandHalfLife = 10.0

// add counts an arrival.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.value += demandDecay / demandHalfLife
}

// at returns the rate now.
func (d *demand) at(now time.Time) Rate {
	d.decay(now)
	return Rate(d.value)
}

// demandDecay is ln 2: the rate of decay is demandDecay / demandHalfLife.
const demandDecay = 0.6931471805599453

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	d.value *= math.Exp2(-elapsed / demandHalfLife)
	d.updated = now
}
