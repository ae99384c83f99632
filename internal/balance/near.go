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
// under way than the least loaded of all. nil means that all are to be considered: this
// process has requests enough for every worker, the own zone has too few that are
// usable, or these have much to do.
func (b *Balancer) nearFirst(usable []candidate, request Request, listed map[string]int) []candidate {
	if b.zone == "" || !b.rateOf(request.Service).spreadsTooThin(b.now(), len(usable)) {
		return nil
	}
	least := math.MaxInt
	inZone := 0
	for _, each := range usable {
		least = min(least, each.load)
		if each.worker.Zone == b.zone {
			inZone++
		}
	}
	if float64(inZone) < nearUsable*float64(listed[b.zone]) {
		return nil
	}
	slack := nearSlack
	if request.Affinity != "" {
		slack = affinitySlack
	}
	var near []candidate
	for _, each := range usable {
		if each.worker.Zone == b.zone && each.load <= least+slack {
			near = append(near, each)
		}
	}
	if connected := connectedOf(near, request); len(connected) > 0 {
		return connected
	}
	return near
}

// connectedOf returns those candidates that a request without affinity reaches on a
// connection that is open already. Each process begins with workers of its own, drawn at
// random, so that processes do not gather at the same ones.
func connectedOf(near []candidate, request Request) (connected []candidate) {
	if request.Affinity != "" || request.Connected == nil {
		return nil
	}
	for _, each := range near {
		if request.Connected(each.worker.Address) {
			connected = append(connected, each)
		}
	}
	return connected
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
