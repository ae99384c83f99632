package limit

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// issued is a grant that its holder may be using.
type issued struct {
	rate    Rate
	expires time.Time
}

// holding is what a home knows of one holder of a tenant.
type holding struct {
	demand Rate
	// report and reported are the last report's number and time of arrival.
	report   uint32
	reported time.Time
	// held is the share that the holder last said it keeps to, until heldUntil.
	held      Rate
	heldUntil time.Time
	// grants answer the last report. A holder takes no grant that answers an
	// earlier one, so that earlier grants are either part of held or void.
	grants []issued
	number uint32
}

// maxIssued bounds the grants that answer one report: beyond it the home waits
// for the next.
const maxIssued = 4

// most returns the largest share that the holder may be using.
func (h *holding) most(now time.Time) Rate {
	most := Rate(0)
	if now.Before(h.heldUntil) {
		most = h.held
	}
	for _, grant := range h.grants {
		if now.Before(grant.expires) {
			most = max(most, grant.rate)
		}
	}
	return most
}

// tenantHome hands one tenant's rate out to the daemons that see the tenant.
//
// Invariant: the sum of most over all holders never rises above capacity by a
// grant of this home. It can stand above it only by shares that a former home
// granted, or after capacity was lowered, until those run out.
type tenantHome struct {
	holders map[Holder]*holding
}

// take takes a report in. It returns false for one that is not newer than the last.
func (t *tenantHome) take(now time.Time, from Holder, report Report) (*holding, bool) {
	h := t.holders[from]
	if h == nil {
		h = &holding{}
		t.holders[from] = h
	} else if report.Number <= h.report {
		return nil, false
	}
	h.report, h.reported = report.Number, now
	h.demand = report.Demand
	h.held, h.heldUntil = report.HeldRate, now.Add(ShareLifetime)
	h.number = max(h.number, report.LastGrant)
	h.grants = h.grants[:0]
	return h, true
}

// grant gives the holder what it should have, as far as others do not hold it.
func (t *tenantHome) grant(now time.Time, tenant structs.TenantID, to Holder, capacity Rate) (Grant, bool) {
	h := t.holders[to]
	if len(h.grants) >= maxIssued {
		return Grant{}, false
	}
	level := waterLevel(t.demands(now), capacity)
	target := min(h.demand, level) + spare(t.demands(now), level, capacity, h.demand)
	free := capacity - t.outstanding(now, to)
	h.number++
	grant := issued{rate: max(min(target, free), 0), expires: h.reported.Add(ShareLifetime)}
	h.grants = append(h.grants, grant)
	return Grant{Tenant: tenant, Incarnation: to.Incarnation, ReportNumber: h.report, Number: h.number, Rate: grant.rate}, true
}

// spare returns a holder's part of what no demand needs, up to its headroom.
func spare(demands []Rate, level, capacity, demand Rate) Rate {
	used, total := Rate(0), Rate(0)
	for _, other := range demands {
		used += min(other, level)
		total += other
	}
	if total <= 0 {
		return 0
	}
	return min((capacity-used)*demand/total, max((headroom-1)*demand, capacity*leastFraction))
}

// demands lists the demand of the holders whose last report still counts.
func (t *tenantHome) demands(now time.Time) []Rate {
	demands := make([]Rate, 0, len(t.holders))
	for _, h := range t.holders {
		if now.Before(h.heldUntil) {
			demands = append(demands, h.demand)
		}
	}
	return demands
}

// outstanding sums what holders other than one may be using.
func (t *tenantHome) outstanding(now time.Time, except Holder) Rate {
	sum := Rate(0)
	for holder, h := range t.holders {
		if holder != except {
			sum += h.most(now)
		}
	}
	return sum
}

// maxRecalls bounds the grants that one report makes a home send to others.
const maxRecalls = 8

// recall is a grant that lowers a holder's share.
type recall struct {
	holder Holder
	grant  Grant
}

// recalls lowers the shares of holders that have more than they should, after a
// report that could not be given what it should have.
func (t *tenantHome) recalls(now time.Time, tenant structs.TenantID, capacity Rate) []recall {
	const tolerance = 1.1
	var recalled []recall
	level := waterLevel(t.demands(now), capacity)
	for _, holder := range sortedHolders(t.holders) {
		h := t.holders[holder]
		if len(recalled) == maxRecalls {
			break
		}
		// One grant is the answer to the report; another is a recall under way.
		if h.most(now) <= tolerance*min(h.demand, level) || len(h.grants) > 1 {
			continue
		}
		if grant, given := t.grant(now, tenant, holder, capacity); given {
			recalled = append(recalled, recall{holder: holder, grant: grant})
		}
	}
	return recalled
}

// forget drops holders whose shares have run out.
func (t *tenantHome) forget(now time.Time) {
	for holder, h := range t.holders {
		if h.most(now) == 0 && !now.Before(h.heldUntil) {
			delete(t.holders, holder)
		}
	}
}
