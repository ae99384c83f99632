package balance

import (
	"slices"
	"time"
)

const (
	// latencyWeight is the weight of the last response in a worker's latency average.
	latencyWeight = 0.3
	// minLatencySamples is the number of responses that make an average valid.
	minLatencySamples = 2
	// latencyMaxAge is how long an average stays valid without a new response. After that, a slow
	// worker gets requests again.
	latencyMaxAge = 3 * time.Second
	// slowFactor is the multiple of the median latency ratio above which a worker is slow.
	slowFactor = 2.2
)

// latencyAverage is the moving average of a worker's latency ratios. A latency ratio is a latency
// divided by the target latency of the route.
type latencyAverage struct {
	ratio     float64
	samples   int
	updatedAt time.Time
}

func (a *latencyAverage) observe(now time.Time, sample float64) {
	if now.Sub(a.updatedAt) > latencyMaxAge {
		*a = latencyAverage{}
	}
	a.updatedAt = now
	a.samples++
	if a.samples == 1 {
		a.ratio = sample
		return
	}
	a.ratio += latencyWeight * (sample - a.ratio)
}

func (a *latencyAverage) valid(now time.Time) bool {
	return a.samples >= minLatencySamples && now.Sub(a.updatedAt) <= latencyMaxAge
}

// ObserveLatency records the latency of a response divided by the target latency of its route,
// which makes requests of different routes comparable.
func (b *Balancer) ObserveLatency(worker string, ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.statsOf(worker).latency.observe(b.now(), ratio)
	b.recordLatency(worker, ratio)
}

// medianLatency returns the median of the known latency ratios, or 0 if fewer than three are known.
// It sorts them.
func medianLatency(ratios []float64) float64 {
	const minRatios = 3
	if len(ratios) < minRatios {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
