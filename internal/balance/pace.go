package balance

import (
	"slices"
	"time"
)

const (
	// paceWeight is how much the last answer counts in a worker's pace.
	paceWeight = 0.3
	// paceSamples is how many answers a pace needs before it is believed.
	paceSamples = 2
	// paceMemory is how long a pace is believed without a new answer: a slow
	// worker is then tried again.
	paceMemory = 3 * time.Second
	// slowFactor is how many times the typical pace makes a worker slow.
	slowFactor = 2.2
)

// pace is how fast a worker answers, as a multiple of what its routes aim at.
type pace struct {
	value   float64
	samples int
	at      time.Time
}

func (p *pace) add(now time.Time, sample float64) {
	if now.Sub(p.at) > paceMemory {
		*p = pace{}
	}
	p.at = now
	p.samples++
	if p.samples == 1 {
		p.value = sample
		return
	}
	p.value += paceWeight * (sample - p.value)
}

func (p *pace) known(now time.Time) bool {
	return p.samples >= paceSamples && now.Sub(p.at) <= paceMemory
}

// ObserveLatency notes how long a worker took, as a multiple of what the route aims
// at: work of different routes then compares.
func (b *Balancer) ObserveLatency(worker string, took float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(worker).pace.add(b.now(), took)
	b.observePace(worker, took)
}

// typicalPace is the median of the known paces; 0 where fewer than three are known. It
// orders them.
func typicalPace(known []float64) float64 {
	const enough = 3
	if len(known) < enough {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
