package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// eligibilityChecker returns the checker of worker eligibility for the current zone drains.
func (g *Gateway) eligibilityChecker() eligibility.Checker {
	return eligibility.Checker{
		DrainsEnabled: g.options.WatchZoneDrains, Drains: g.directory.View().Drains, RegionOf: g.options.RegionOf,
	}
}

// regionRestriction returns the regions in which both the route and the tenant permit the
// request to be served.
func (r *request) regionRestriction() eligibility.Request {
	permitted := r.route.Regions
	if r.tenant != nil && len(r.tenant.Regions) > 0 {
		if len(permitted) == 0 {
			permitted = r.tenant.Regions
		} else {
			permitted = commonRegions(permitted, r.tenant.Regions)
		}
	}
	if len(permitted) == 0 && len(r.route.Regions) == 0 {
		return eligibility.Request{}
	}
	return eligibility.Request{Regions: permitted}
}

// eligibilityRequest describes the request to the checker of worker eligibility.
func (r *request) eligibilityRequest() eligibility.Request {
	described := r.regionRestriction()
	described.Stream = r.stream
	return described
}

// drainsKnown reports whether the zone drains are known, or are not watched at all.
func (g *Gateway) drainsKnown() bool {
	return !g.options.WatchZoneDrains || g.directory.View().Drains.Known()
}

// checkWorkerEligible fails if the request may not go to a worker now.
func (r *request) checkWorkerEligible(chosen directory.Worker) error {
	if reason := r.gateway.eligibilityChecker().CheckWorker(chosen, r.eligibilityRequest()); reason != eligibility.Eligible {
		return &NotEligible{Worker: chosen.ID, Zone: chosen.Zone, Reason: reason}
	}
	return nil
}

// eligibleWorkers returns the workers of the subset that the request may go to now.
func (r *request) eligibleWorkers() []*directory.WorkerRecord {
	return r.filterEligible(r.gateway.workerSubset(r.service.Name))
}

// filterEligible returns the given workers that the request may go to now.
func (r *request) filterEligible(workers []*directory.WorkerRecord) []*directory.WorkerRecord {
	eligible, ineligible := r.gateway.eligibilityChecker().Filter(workers, r.eligibilityRequest())
	r.recordIneligible(len(eligible), ineligible)
	return eligible
}

// workerSubset returns the workers of a service that requests choose from first. It has some
// workers of each zone, so that a zone without any eligible worker shows in the subset as it
// does in the full list.
func (g *Gateway) workerSubset(service string) []*directory.WorkerRecord {
	workers := g.directory.View().Workers
	if g.disabled(mechanism.WorkerSubsets) {
		return workers.List(service)
	}
	return workers.Subset(service, g.subsetSizes.Size(service))
}

// checkEligibleWorkers fails if no worker is eligible because of its region or of zone drains.
// It runs before anything is reserved for the request.
func (r *request) checkEligibleWorkers() error {
	r.eligibleWorkers()
	return r.checkRegionsAndDrains()
}

// checkRegionsAndDrains fails if the last selection found no eligible worker.
func (r *request) checkRegionsAndDrains() error {
	if err := r.checkRegions(); err != nil {
		return err
	}
	return r.checkDrainedZones()
}

// recordIneligible records which workers a selection excluded, and logs that once per request.
func (r *request) recordIneligible(eligible int, ineligible map[eligibility.Reason]int) {
	first := len(r.ineligible) == 0
	r.eligible, r.ineligible = eligible, ineligible
	if !first || len(ineligible) == 0 {
		return
	}
	drains := r.gateway.directory.View().Drains
	for reason, workers := range ineligible {
		r.addLogEntry(eventWorkersIneligible, "reason", string(reason), "workers", workers, "eligible", eligible,
			"drained_zones", drains.Zones(), "revision", drains.Revision)
		r.gateway.metrics.ineligible.WithLabelValues(string(reason)).Inc()
	}
}

// checkDrainedZones fails if the last selection found no eligible worker because of zone
// drains. Waiting for a slot would not help then.
func (r *request) checkDrainedZones() error {
	switch {
	case r.eligible > 0:
		return nil
	case r.ineligible[eligibility.ZoneDrainsUnknown] > 0:
		return &DrainsUnknown{Service: r.service.Name}
	case r.ineligible[eligibility.ZoneDrained] > 0:
		return &ZonesDrained{Service: r.service.Name, Zones: r.gateway.directory.View().Drains.Zones()}
	}
	return nil
}

// regionPolicy returns where the request and the data it refers to may be processed and stored.
func (r *request) regionPolicy() placement.RegionPolicy {
	return r.gateway.eligibilityChecker().RegionPolicy(r.regionRestriction())
}

// scope returns the program of the request and the regions where its turns may be stored.
func (r *request) scope() quorum.Scope {
	scope := quorum.Scope{Program: r.programKey}
	if restriction := r.regionRestriction(); restriction.RegionRestricted() {
		scope.Regions = append([]string{}, restriction.Regions...)
		slices.Sort(scope.Regions)
	}
	return scope
}

// checkRegions fails if no worker of the service is listed in a permitted region. Waiting would
// not help: full workers are listed too.
func (r *request) checkRegions() error {
	policy := r.regionPolicy()
	if !policy.Restricted() {
		return nil
	}
	if len(policy.Permitted) == 0 {
		return policy.DeniedError(placement.Request)
	}
	candidates := r.gateway.workerSubset(r.service.Name)
	if len(candidates) == 0 || slices.ContainsFunc(candidates, func(each *directory.WorkerRecord) bool { return policy.Permits(each.Zone) }) {
		return nil
	}
	return policy.DeniedError(placement.Request)
}

// commonRegions returns the regions in both lists; it never returns nil.
func commonRegions(one, other []string) []string {
	common := make([]string, 0, len(one))
	for _, region := range one {
		if slices.Contains(other, region) {
			common = append(common, region)
		}
	}
	return common
}

// NotEligible reports a worker that the request may not go to.
type NotEligible struct {
	Worker, Zone string
	Reason       eligibility.Reason
}

func (e *NotEligible) Error() string {
	return fmt.Sprintf("worker %s of zone %s may not get the request: %s", e.Worker, e.Zone, e.Reason)
}

// Type returns "not_eligible".
func (e *NotEligible) Type() failure.Type { return "not_eligible" }

// Outcome returns NotRun.
func (e *NotEligible) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry: another worker may take the request.
func (e *NotEligible) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: defaultRetryAfter}
}

// drainedRetryAfter is the retry delay of requests that only workers in drained zones could
// take. Drains last longer than clients wait, and all gateways learn of the end of a drain
// within a second.
const drainedRetryAfter = time.Second

// ZonesDrained reports that all workers that could take a request are in drained zones.
type ZonesDrained struct {
	Service string
	// Zones are all drained zones.
	Zones []string
}

func (e *ZonesDrained) Error() string {
	return fmt.Sprintf("all workers of %s that may take the request are in drained zones: %s", e.Service, strings.Join(e.Zones, ", "))
}

// Type returns "zones_drained".
func (e *ZonesDrained) Type() failure.Type { return "zones_drained" }

// Outcome returns NotRun.
func (e *ZonesDrained) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after drainedRetryAfter.
func (e *ZonesDrained) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: drainedRetryAfter}
}

// DrainsUnknown reports that this gateway does not know yet which zones are drained, so no
// worker is eligible.
type DrainsUnknown struct {
	Service string
}

func (e *DrainsUnknown) Error() string {
	return fmt.Sprintf("it is not known yet which zones are drained, so no worker of %s may take the request", e.Service)
}

// Type returns "zone_drains_unknown".
func (e *DrainsUnknown) Type() failure.Type { return "zone_drains_unknown" }

// Outcome returns NotRun.
func (e *DrainsUnknown) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry: another gateway may know the zone drains.
func (e *DrainsUnknown) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: defaultRetryAfter}
}
