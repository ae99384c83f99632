package balance

import (
	"math"
	"time"
)

const (
	// slowRateWindow and fastRateWindow are the time constants of the request rate of a service,
	// which is the maximum of two averages. The slow average bridges gaps between requests. The
	// fast one detects a rising rate after a few requests: with the slow one alone, a gateway with
	// 25 requests per second for 12 workers underestimated its rate for 1.1 s, filled the workers
	// of its zone and then moved its conversations to other zones, where their prompts had to be
	// processed again.
	slowRateWindow = 10 * time.Second
	fastRateWindow = time.Second
	// idleConnectionLifetime is about how long workers keep an idle connection open: 10 s on the
	// users' platform, minus the margin before the worker closes it.
	idleConnectionLifetime = 9 * time.Second
	// minRequestsPerConnection is how many requests a worker must get from this process within
	// idleConnectionLifetime for its connection to be almost always open. With a mean of two, 86 of
	// 100 requests arrive within that time after the previous one.
	minRequestsPerConnection = 2
	// localZoneSlack is how many more requests in flight than the least loaded of all workers a
	// worker of the local zone may have.
	localZoneSlack = 1
	// minUsableShare is the share of the local zone's workers that must be usable. Below it the
	// zone is unhealthy and the other zones serve its requests too.
	minUsableShare = 0.5
)

// requestRate is the rate of the requests of one service that this process sends.
type requestRate struct{ slow, fast decayingRate }

// observe counts a request.
func (r *requestRate) observe(now time.Time) {
	r.slow.observe(now, slowRateWindow)
	r.fast.observe(now, fastRateWindow)
}

// perSecond returns the rate per second.
func (r *requestRate) perSecond(now time.Time) float64 {
	return max(r.slow.perSecond(now, slowRateWindow), r.fast.perSecond(now, fastRateWindow))
}

// decayingRate is a rate with exponential decay.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

func (r *decayingRate) observe(now time.Time, window time.Duration) {
	r.value = r.perSecond(now, window) + 1/window.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) perSecond(now time.Time, window time.Duration) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/window.Seconds())
}

// tooLowForReuse reports whether the rate is too low to keep connections to the given number of
// workers open from one request to the next.
func (r *requestRate) tooLowForReuse(now time.Time, workers int) bool {
	return r.perSecond(now)*idleConnectionLifetime.Seconds() < minRequestsPerConnection*float64(workers)
}

// preferLocalZone returns the candidates in the local zone whose load exceeds the lowest load of
// all by no more than the allowed slack. It returns none if all candidates must be considered: the
// request rate is high enough to reuse connections to every worker, too few workers of the local
// zone are usable, or all of these have a high load. The mutex must be held.
func (b *Balancer) preferLocalZone(choice *choice, usable []candidate) []candidate {
	if b.zone == "" || !b.rateOf(choice.request.Service).tooLowForReuse(choice.now, len(usable)) {
		return nil
	}
	usableInZone, listedInZone := 0, 0
	for i := range usable {
		if choice.workerOf(&usable[i]).Zone == b.zone {
			usableInZone++
		}
	}
	for i := range choice.workers {
		if choice.workers[i].Zone == b.zone {
			listedInZone++
		}
	}
	if float64(usableInZone) < minUsableShare*float64(listedInZone) {
		return nil
	}
	maxLoad := minLoad(usable) + localZoneSlack
	if choice.request.Affinity != "" {
		maxLoad = minLoad(usable) + affinitySlack
	}
	b.localBuffer = b.localBuffer[:0]
	for _, each := range usable {
		if choice.workerOf(&each).Zone == b.zone && each.load <= maxLoad {
			b.localBuffer = append(b.localBuffer, each)
		}
	}
	return preferConnected(choice, b.localBuffer)
}

// preferConnected returns the candidates with an idle connection if the request has no affinity, or
// all candidates if there is none. The first choices of a process are random, so different
// processes do not concentrate on the same workers.
func preferConnected(choice *choice, candidates []candidate) []candidate {
	if choice.request.Affinity != "" || choice.request.HasIdleConnection == nil {
		return candidates
	}
	connected := 0
	for i, each := range candidates {
		if choice.request.HasIdleConnection(choice.workerOf(&each).Address) {
			candidates[connected], candidates[i] = candidates[i], candidates[connected]
			connected++
		}
	}
	if connected == 0 {
		return candidates
	}
	return candidates[:connected]
}

// rateOf returns the request rate of a service. The mutex must be held.
func (b *Balancer) rateOf(service string) *requestRate {
	rate := b.rates[service]
	if rate == nil {
		rate = &requestRate{}
		b.rates[service] = rate
	}
	return rate
}
