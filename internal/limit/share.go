package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// share is what this daemon may let in for one tenant.
type share struct {
	tenant structs.TenantID
	mutex  sync.Mutex
	// declared is the tenant's rate over all daemons; reserve is this daemon's
	// part of it that needs no grant.
	declared Rate
	reserve  Rate
	bucket   Bucket
	demand   demand
	comeback comeback
	random   *rand.Rand

	// granted may be used until expires.
	granted Rate
	expires time.Time
	taken   uint32
	// number and sent are of the last report; earlier ones no longer count.
	number uint32
	sent   time.Time
	told   Rate
	// short says that a request was refused since the last report, lowered that
	// a grant below the share held was taken since.
	short   bool
	lowered bool
	// active says that the share is in the list of active ones.
	active atomic.Bool
}

func newShare(tenant structs.TenantID, now time.Time, seed uint64) *share {
	return &share{
		tenant: tenant,
		bucket: Bucket{Updated: now},
		demand: demand{updated: now},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// rate returns what may be used now.
func (s *share) rate(now time.Time) Rate {
	if now.Before(s.expires) {
		return s.reserve + s.granted
	}
	return s.reserve
}

// burst returns how many requests may follow each other at once.
func (s *share) burst(now time.Time) float64 {
	return max(leastBurst, burstSeconds*float64(s.rate(now)), burstSeconds*leastFraction*float64(s.declared))
}

// setTerms takes a declared rate and the number of daemons known into use.
func (s *share) setTerms(now time.Time, declared Rate, known int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := s.declared == 0
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	s.declared = declared
	s.reserve = declared * reserveFraction / Rate(max(known, 1))
	if first {
		s.bucket.Tokens = s.burst(now)
	}
}

// admit lets a request in or refuses it with a *failure.RateLimited.
func (s *share) admit(now time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.demand.add(now)
	rate := s.rate(now)
	s.bucket.Refill(now, rate, s.burst(now))
	if s.bucket.Take() {
		return nil
	}
	s.short = true
	// Where no share is granted, one is being asked for: a request that comes
	// back soon finds it.
	return &failure.RateLimited{Wait: s.comeback.wait(now, max(rate, s.declared*leastFraction), longestWait, s.random)}
}

// due tells whether the tenant's home is to be told now, and how urgently:
// higher goes first, 0 is not at all. A share that is idle holds nothing and
// meets no demand.
func (s *share) due(now time.Time) (value float64, idle bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since := now.Sub(s.sent)
	demanded := s.demand.at(now)
	if s.number == 0 {
		return 1 + float64(demanded), false
	}
	if since < urgentInterval {
		return 0, false
	}
	if s.short || s.lowered || demanded > s.told*headroom+demandNoise {
		return 1 + float64(demanded), false
	}
	surplus := demanded+demandNoise < s.told/headroom && s.granted > s.declared*leastFraction
	if surplus || since >= reportInterval && demanded > idleDemand {
		return since.Seconds() / ShareLifetime.Seconds(), false
	}
	return 0, demanded <= idleDemand && !now.Before(s.expires)
}

// idleDemand is the demand, in requests a second, below which a tenant's share
// is left to run out.
const idleDemand = Rate(0.01)

// report makes the next report. What it says is held is kept to at once.
func (s *share) report(now time.Time) Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	demanded := s.demand.at(now)
	if !now.Before(s.expires) {
		s.granted = 0
	}
	s.granted = min(s.granted, max(headroom*demanded, leastFraction*s.declared))
	s.number++
	s.sent, s.told, s.short, s.lowered = now, demanded, false, false
	return Report{
		Tenant:    s.tenant,
		Number:    s.number,
		LastGrant: s.taken,
		Demand:    demanded,
		HeldRate:  s.granted,
	}
}

// take takes a grant into use. One that does not answer the last report has a
// lifetime that is not known here, and is ignored.
func (s *share) take(now time.Time, grant Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if grant.ReportNumber != s.number || grant.Number <= s.taken {
		return
	}
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	s.lowered = now.Before(s.expires) && grant.Rate < s.granted
	s.taken = grant.Number
	s.granted = min(grant.Rate, s.declared)
	s.expires = s.sent.Add(ShareLifetime)
}
