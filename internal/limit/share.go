package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// share is this daemon's share of one tenant's rate.
type share struct {
	tenant structs.TenantID
	mutex  sync.Mutex
	// declaredRate is the tenant's rate across all daemons. reserveRate is this
	// daemon's part of it that needs no grant.
	declaredRate Rate
	reserveRate  Rate
	bucket       Bucket
	demand       demandEstimator
	retryPacer   retryPacer
	random       *rand.Rand

	// grantedRate may be used until expires.
	grantedRate Rate
	expires     time.Time
	lastGrant   uint32
	// reportNumber and reportSent describe the last report. Grants that answer earlier
	// reports are ignored.
	reportNumber   uint32
	reportSent     time.Time
	reportedDemand Rate
	// rejectedSinceReport is set if a request was rejected since the last report,
	// reducedSinceReport if a grant lowered the share since then.
	rejectedSinceReport bool
	reducedSinceReport  bool
	// active is set while the share is in activeShares.
	active atomic.Bool
}

func newShare(tenant structs.TenantID, now time.Time, seed uint64) *share {
	return &share{
		tenant: tenant,
		bucket: Bucket{Updated: now},
		demand: demandEstimator{updated: now},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// rate returns the rate that this daemon may admit now.
func (s *share) rate(now time.Time) Rate {
	if now.Before(s.expires) {
		return s.reserveRate + s.grantedRate
	}
	return s.reserveRate
}

// burst returns the capacity of the token bucket.
func (s *share) burst(now time.Time) float64 {
	return max(minBurst, burstSeconds*float64(s.rate(now)), burstSeconds*minShareFraction*float64(s.declaredRate))
}

// setParameters applies a declared rate and the number of known daemons.
func (s *share) setParameters(now time.Time, declared Rate, knownDaemons int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isNew := s.declaredRate == 0
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	s.declaredRate = declared
	s.reserveRate = declared * reserveFraction / Rate(max(knownDaemons, 1))
	if isNew {
		s.bucket.Tokens = s.burst(now)
	}
}

// admit admits a request or rejects it with a *failure.RateLimited.
func (s *share) admit(now time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.demand.observe(now)
	rate := s.rate(now)
	s.bucket.Refill(now, rate, s.burst(now))
	if s.bucket.Take() {
		return nil
	}
	s.rejectedSinceReport = true
	// Without a granted share, the next report asks for one, so the retry delay assumes
	// the minimum share.
	return &failure.RateLimited{Wait: s.retryPacer.delay(now, max(rate, s.declaredRate*minShareFraction), maxRetryDelay, s.random)}
}

// reportPriority returns the priority with which the tenant's owner should get a report
// now: higher values go first, 0 means that no report is due. An idle share has no
// demand and its grant has expired.
func (s *share) reportPriority(now time.Time) (priority float64, idle bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since := now.Sub(s.reportSent)
	demand := s.demand.rateAt(now)
	if s.reportNumber == 0 {
		return 1 + float64(demand), false
	}
	if since < minReportInterval {
		return 0, false
	}
	if s.rejectedSinceReport || s.reducedSinceReport || demand > s.reportedDemand*headroomFactor+demandNoise {
		return 1 + float64(demand), false
	}
	surplus := demand+demandNoise < s.reportedDemand/headroomFactor && s.grantedRate > s.declaredRate*minShareFraction
	if surplus || since >= reportInterval && demand > idleDemand {
		return since.Seconds() / ShareLifetime.Seconds(), false
	}
	return 0, demand <= idleDemand && !now.Before(s.expires)
}

// idleDemand is the demand, in requests per second, below which a share is not renewed.
const idleDemand = Rate(0.01)

// nextReport returns the next report. The share is reduced to the reported HeldRate
// immediately.
func (s *share) nextReport(now time.Time) Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	demand := s.demand.rateAt(now)
	if !now.Before(s.expires) {
		s.grantedRate = 0
	}
	s.grantedRate = min(s.grantedRate, max(headroomFactor*demand, minShareFraction*s.declaredRate))
	s.reportNumber++
	s.reportSent, s.reportedDemand, s.rejectedSinceReport, s.reducedSinceReport = now, demand, false, false
	return Report{
		Tenant:    s.tenant,
		Number:    s.reportNumber,
		LastGrant: s.lastGrant,
		Demand:    demand,
		HeldRate:  s.grantedRate,
	}
}

// apply puts a grant into effect. A grant that does not answer the last report is
// ignored, because its expiry is unknown here.
func (s *share) apply(now time.Time, grant Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if grant.ReportNumber != s.reportNumber || grant.Number <= s.lastGrant {
		return
	}
	s.bucket.Refill(now, s.rate(now), s.burst(now))
	s.reducedSinceReport = now.Before(s.expires) && grant.Rate < s.grantedRate
	s.lastGrant = grant.Number
	s.grantedRate = min(grant.Rate, s.declaredRate)
	s.expires = s.reportSent.Add(ShareLifetime)
}
