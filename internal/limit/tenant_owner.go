package limit

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// activeGrant is a grant that its holder may be using.
type activeGrant struct {
	rate    Rate
	expires time.Time
}

// holderState is what an owner knows about one holder of shares of the tenant.
type holderState struct {
	demand Rate
	// reportNumber and reportedAt are the number and arrival time of the last report.
	reportNumber uint32
	reportedAt   time.Time
	// heldRate is the share that the holder stated in its last report; it is valid
	// until heldExpires.
	heldRate    Rate
	heldExpires time.Time
	// grants are the answers to the last report. A holder ignores grants that answer an
	// earlier report, so every earlier grant is either included in heldRate or has no
	// effect.
	grants      []activeGrant
	grantNumber uint32
}

// maxGrantsPerReport bounds the grants that answer one report. After that many the
// owner waits for the next report.
const maxGrantsPerReport = 4

// maxRate returns the largest share that the holder may be using.
func (h *holderState) maxRate(now time.Time) Rate {
	maxRate := Rate(0)
	if now.Before(h.heldExpires) {
		maxRate = h.heldRate
	}
	for _, grant := range h.grants {
		if now.Before(grant.expires) {
			maxRate = max(maxRate, grant.rate)
		}
	}
	return maxRate
}

// tenantOwner allocates one tenant's rate to the daemons that receive its requests.
//
// Invariant: no grant of this owner raises the sum of maxRate over all holders above
// capacity. The sum can exceed capacity only because of shares granted by a previous
// owner, or because capacity decreased, and only until those shares expire.
type tenantOwner struct {
	holders map[Holder]*holderState
}

// recordReport stores a report. It returns false if the report is not newer than the
// last one.
func (o *tenantOwner) recordReport(now time.Time, from Holder, report Report) (*holderState, bool) {
	h := o.holders[from]
	if h == nil {
		h = &holderState{}
		o.holders[from] = h
	} else if report.Number <= h.reportNumber {
		return nil, false
	}
	h.reportNumber, h.reportedAt = report.Number, now
	h.demand = report.Demand
	h.heldRate, h.heldExpires = report.HeldRate, now.Add(ShareLifetime)
	h.grantNumber = max(h.grantNumber, report.LastGrant)
	h.grants = h.grants[:0]
	return h, true
}

// issueGrant grants the holder its fair share, reduced by what other holders may still
// be using.
func (o *tenantOwner) issueGrant(now time.Time, tenant structs.TenantID, to Holder, capacity Rate) (Grant, bool) {
	h := o.holders[to]
	if len(h.grants) >= maxGrantsPerReport {
		return Grant{}, false
	}
	level := maxMinFairShare(o.activeDemands(now), capacity)
	wanted := min(h.demand, level) + headroomShare(o.activeDemands(now), level, capacity, h.demand)
	available := capacity - o.ratesOfOthers(now, to)
	h.grantNumber++
	granted := activeGrant{rate: max(min(wanted, available), 0), expires: h.reportedAt.Add(ShareLifetime)}
	h.grants = append(h.grants, granted)
	return Grant{Tenant: tenant, Incarnation: to.Incarnation, ReportNumber: h.reportNumber, Number: h.grantNumber, Rate: granted.rate}, true
}

// headroomShare returns the holder's part of the capacity that exceeds all demands, up
// to its headroom.
func headroomShare(demands []Rate, level, capacity, demand Rate) Rate {
	satisfied, total := Rate(0), Rate(0)
	for _, other := range demands {
		satisfied += min(other, level)
		total += other
	}
	if total <= 0 {
		return 0
	}
	return min((capacity-satisfied)*demand/total, max((headroomFactor-1)*demand, capacity*minShareFraction))
}

// activeDemands lists the demand of each holder whose last report has not expired.
func (o *tenantOwner) activeDemands(now time.Time) []Rate {
	demands := make([]Rate, 0, len(o.holders))
	for _, h := range o.holders {
		if now.Before(h.heldExpires) {
			demands = append(demands, h.demand)
		}
	}
	return demands
}

// ratesOfOthers returns the sum of the shares that all other holders may be using.
func (o *tenantOwner) ratesOfOthers(now time.Time, except Holder) Rate {
	sum := Rate(0)
	for holder, h := range o.holders {
		if holder != except {
			sum += h.maxRate(now)
		}
	}
	return sum
}

// maxReductions bounds the reductions that one report triggers.
const maxReductions = 8

// reduction is a grant that lowers a holder's share.
type reduction struct {
	holder Holder
	grant  Grant
}

// reduceOthers lowers the shares of holders that exceed their fair share. It is called
// after a report whose sender could not be granted its full demand.
func (o *tenantOwner) reduceOthers(now time.Time, tenant structs.TenantID, capacity Rate) []reduction {
	const tolerance = 1.1
	var reductions []reduction
	level := maxMinFairShare(o.activeDemands(now), capacity)
	for _, holder := range sortedHolders(o.holders) {
		h := o.holders[holder]
		if len(reductions) == maxReductions {
			break
		}
		// The first grant answers the report; a second one is a reduction that is
		// already on its way.
		if h.maxRate(now) <= tolerance*min(h.demand, level) || len(h.grants) > 1 {
			continue
		}
		if grant, issued := o.issueGrant(now, tenant, holder, capacity); issued {
			reductions = append(reductions, reduction{holder: holder, grant: grant})
		}
	}
	return reductions
}

// removeExpired removes holders whose shares have expired.
func (o *tenantOwner) removeExpired(now time.Time) {
	for holder, h := range o.holders {
		if h.maxRate(now) == 0 && !now.Before(h.heldExpires) {
			delete(o.holders, holder)
		}
	}
}
