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

// beliefs returns what this gateway holds true of places now.
func (g *Gateway) beliefs() eligibility.Checker {
	return eligibility.Checker{
		DrainsEnabled: g.options.WatchZoneDrains, Drains: g.directory.View().Drains, RegionOf: g.options.RegionOf,
	}
}

// confinement returns where the request may be served: what its route and its tenant both
// permit.
func (r *request) confinement() eligibility.Request {
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

// drainsKnown reports whether it is known which zones are drained, where that matters.
func (g *Gateway) drainsKnown() bool {
	return !g.options.WatchZoneDrains || g.directory.View().Drains.Known()
}

// permit fails where the request may not go to a worker now.
func (r *request) permit(chosen directory.Worker) error {
	if reason := r.gateway.beliefs().Check(chosen.Zone, r.confinement()); reason != eligibility.Eligible {
		return &NotEligible{Worker: chosen.ID, Zone: chosen.Zone, Reason: reason}
	}
	return nil
}

// eligibleWorkers returns the workers that the request may go to now.
func (r *request) eligibleWorkers() []*directory.WorkerRecord {
	return r.eligibleOf(r.gateway.subset(r.service.Name))
}

// eligibleOf returns those workers that the request may go to now.
func (r *request) eligibleOf(workers []*directory.WorkerRecord) []*directory.WorkerRecord {
	eligible, ineligible := r.gateway.beliefs().Filter(workers, r.confinement())
	r.noteIneligible(len(eligible), ineligible)
	return eligible
}

// subset returns the workers of a service that requests choose from first: some of each zone, so
// that a zone of which none may be chosen shows as it does among all.
func (g *Gateway) subset(service string) []*directory.WorkerRecord {
	workers := g.directory.View().Workers
	if g.disabled(mechanism.WorkerSubsets) {
		return workers.List(service)
	}
	return workers.Subset(service, g.subsets.Size(service))
}

// checkPlaces fails where the request may go to no worker because of where it may rest, or
// of drained zones, before anything is reserved for it.
func (r *request) checkPlaces() error {
	r.eligibleWorkers()
	return r.checkEligible()
}

// checkEligible fails where the last choice found no worker that the request may go to.
func (r *request) checkEligible() error {
	if err := r.checkPlace(); err != nil {
		return err
	}
	return r.noneEligible()
}

// noteIneligible keeps what a choice passed over, and tells it once in the request's story.
func (r *request) noteIneligible(eligible int, ineligible map[eligibility.Reason]int) {
	first := len(r.ineligible) == 0
	r.eligible, r.ineligible = eligible, ineligible
	if !first || len(ineligible) == 0 {
		return
	}
	drains := r.gateway.directory.View().Drains
	for reason, workers := range ineligible {
		r.note(eventIneligible, "reason", string(reason), "workers", workers, "eligible", eligible,
			"drained_zones", drains.Zones(), "revision", drains.Revision)
		r.gateway.metrics.aside.WithLabelValues(string(reason)).Inc()
	}
}

// noneEligible fails where the last choice found that the request may go to no worker
// because of drained zones: waiting for room would be in vain.
func (r *request) noneEligible() error {
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

// policy returns where the request, and what it brings along, may rest.
func (r *request) policy() placement.RegionPolicy {
	return r.gateway.beliefs().RegionPolicy(r.confinement())
}

// scope returns the program of the request, and where its turns may rest.
func (r *request) scope() quorum.Scope {
	scope := quorum.Scope{Program: r.program}
	if confinement := r.confinement(); confinement.RegionRestricted() {
		scope.Regions = append([]string{}, confinement.Regions...)
		slices.Sort(scope.Regions)
	}
	return scope
}

// checkPlace fails where no worker of the service is listed in a region that the request
// is permitted to be served in. Waiting for one is in vain: a worker that full ones keep a
// request waiting for is listed.
func (r *request) checkPlace() error {
	policy := r.policy()
	if !policy.Restricted() {
		return nil
	}
	if len(policy.Permitted) == 0 {
		return policy.DeniedError(placement.Request)
	}
	listed := r.gateway.subset(r.service.Name)
	if len(listed) == 0 || slices.ContainsFunc(listed, func(each *directory.WorkerRecord) bool { return policy.Permits(each.Zone) }) {
		return nil
	}
	return policy.DeniedError(placement.Request)
}

// commonRegions returns the regions that both lists name; it is never nil.
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

// Retry allows a repeat: another worker may take the request.
func (e *NotEligible) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: comeBackAfter}
}

// drainedComeBack is the time after which a request may come back that only workers of
// drained zones could take: drains last longer than clients wait, and one that is taken back
// is known at all gateways within a second.
const drainedComeBack = time.Second

// ZonesDrained reports that all workers that could take a request are in zones that are
// being drained.
type ZonesDrained struct {
	Service string
	// Zones are all that are drained.
	Zones []string
}

func (e *ZonesDrained) Error() string {
	return fmt.Sprintf("all workers of %s that may take the request are in drained zones: %s", e.Service, strings.Join(e.Zones, ", "))
}

// Type returns "zones_drained".
func (e *ZonesDrained) Type() failure.Type { return "zones_drained" }

// Outcome returns NotRun.
func (e *ZonesDrained) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *ZonesDrained) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: drainedComeBack}
}

// DrainsUnknown reports that this gateway has not heard yet which zones are drained, so that
// a request may go to no worker.
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

// Retry says when to come back: another gateway may know.
func (e *DrainsUnknown) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: comeBackAfter}
}
