package balance

import (
	"math"
	"time"
)

const (
	// slowRateMemory and fastRateMemory are the times over which a service's requests are
	// counted; the higher of both rates holds. The slow one keeps gaps between requests
	// from counting as an end of load, the fast one shows a begin of load after a few
	// requests: by the slow one alone a gateway with 25 requests a second for 12 workers
	// took its load for little during 1.1 s, filled the workers of its zone, and then moved
	// its lines, whose prompts had to be read once more elsewhere.
	slowRateMemory = 10 * time.Second
	fastRateMemory = time.Second
	// keptFor is about how long workers keep an idle connection: 10 s on the users'
	// platform, less the margin before the worker's own limit.
	keptFor = 9 * time.Second
	// keptReuse is how many requests a worker must get from this process, during the
	// time that a connection is kept, for it to be found open nearly always: with two in
	// the mean, 86 in 100 follow on another within that time.
	keptReuse = 2
	// nearSlack is how many more requests than the least loaded worker of all a worker
	// of the own zone may have under way here.
	nearSlack = 1
	// nearUsable is the share of the own zone's workers that must be usable; below it the
	// zone is in trouble, and the others take its work too.
	nearUsable = 0.5
)

// requestRate is how many requests of one service this process sends.
type requestRate struct{ slow, fast fadingRate }

// count notes a request.
func (r *requestRate) count(now time.Time) {
	r.slow.count(now, slowRateMemory)
	r.fast.count(now, fastRateMemory)
}

// now returns the rate a second.
func (r *requestRate) now(now time.Time) float64 {
	return max(r.slow.now(now, slowRateMemory), r.fast.now(now, fastRateMemory))
}

// fadingRate is a rate that falls by itself over a memory.
type fadingRate struct {
	perSecond float64
	at        time.Time
}

func (r *fadingRate) count(now time.Time, memory time.Duration) {
	r.perSecond = r.now(now, memory) + 1/memory.Seconds()
	r.at = now
}

func (r *fadingRate) now(now time.Time, memory time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds())
}

// spreadsTooThin reports whether so many workers would each get so few requests that
// connections to them are not kept open from one to the next.
func (r *requestRate) spreadsTooThin(now time.Time, workers int) bool {
	return r.now(now)*keptFor.Seconds() < keptReuse*float64(workers)
}

// nearFirst returns those candidates that are in the own zone and have not clearly more
// under way than the least loaded of all. None means that all are to be considered: this
// process has requests enough for every worker, the own zone has too few that are
// usable, or these have much to do. The mutex is held.
func (b *Balancer) nearFirst(choice *choice, usable []candidate) []candidate {
	if b.zone == "" || !b.rateOf(choice.request.Service).spreadsTooThin(choice.now, len(usable)) {
		return nil
	}
	inZone, listed := 0, 0
	for i := range usable {
		if choice.at(&usable[i]).Zone == b.zone {
			inZone++
		}
	}
	for i := range choice.workers {
		if choice.workers[i].Zone == b.zone {
			listed++
		}
	}
	if float64(inZone) < nearUsable*float64(listed) {
		return nil
	}
	most := leastLoad(usable) + nearSlack
	if choice.request.Affinity != "" {
		most = leastLoad(usable) + affinitySlack
	}
	b.narrowed = b.narrowed[:0]
	for _, each := range usable {
		if choice.at(&each).Zone == b.zone && each.load <= most {
			b.narrowed = append(b.narrowed, each)
		}
	}
	return connectedOf(choice, b.narrowed)
}

// connectedOf returns those candidates that a request without affinity reaches on a
// connection that is open already, or all where there is none. Each process begins with
// workers of its own, drawn at random, so that processes do not gather at the same ones.
func connectedOf(choice *choice, near []candidate) []candidate {
	if choice.request.Affinity != "" || choice.request.HasIdleConnection == nil {
		return near
	}
	connected := 0
	for i, each := range near {
		if choice.request.HasIdleConnection(choice.at(&each).Address) {
			near[connected], near[i] = near[i], near[connected]
			connected++
		}
	}
	if connected == 0 {
		return near
	}
	return near[:connected]
}

// rateOf returns the rate of a service's requests. The mutex is held.
func (b *Balancer) rateOf(service string) *requestRate {
	known := b.rates[service]
	if known == nil {
		known = &requestRate{}
		b.rates[service] = known
	}
	return known
}
