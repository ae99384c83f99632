// Package eligibility holds the one answer to the question whether a request may go to a
// worker now. Every path that sends asks it: the first choice, repeats, streams that are
// taken up again, requests that waited for room, and a last time what is about to be sent.
// It is pure: it does no I/O and reads no clock.
package eligibility

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// Reason names why a worker may not get a request; the zero value is that it may.
type Reason string

// The reasons.
const (
	// Eligible is no reason.
	Eligible Reason = ""
	// ZoneDrainsUnknown is that this process has not heard which zones are drained.
	ZoneDrainsUnknown Reason = "zone_drains_unknown"
	// ZoneDrained is that the worker's zone is being drained.
	ZoneDrained Reason = "zone_drained"
	// RegionNotPermitted is that what the request says may not rest in the worker's region.
	RegionNotPermitted Reason = "region_not_permitted"
)

// Checker are what a process holds true of places. They are immutable.
type Checker struct {
	// DrainsEnabled is set where operators may drain zones; without it none is.
	DrainsEnabled bool
	// Drains are the zones that are drained, as last heard.
	Drains directory.ZoneDrains
	// RegionOf names the region of each zone. A zone that it lacks lies in no region.
	RegionOf map[string]string
}

// Request is what the answer depends on.
type Request struct {
	// RegionOf are the only ones in which the request may be served; nil is any.
	Regions []string
}

// RegionRestricted reports whether the request may not be served everywhere.
func (r Request) RegionRestricted() bool { return r.Regions != nil }

// RegionPolicy returns where the request may rest.
func (b Checker) RegionPolicy(request Request) placement.RegionPolicy {
	return placement.RegionPolicy{Permitted: request.Regions, RegionOf: b.RegionOf}
}

// Check says why a request may not go to a worker of a zone, or Eligible.
func (b Checker) Check(zone string, request Request) Reason {
	switch {
	case b.DrainsEnabled && !b.Drains.Known():
		return ZoneDrainsUnknown
	case !b.RegionPolicy(request).Permits(zone):
		return RegionNotPermitted
	case b.DrainsEnabled && b.Drains.Has(zone):
		return ZoneDrained
	}
	return Eligible
}

// everywhere reports whether a request may go to the workers of every zone.
func (b Checker) everywhere(request Request) bool {
	return !request.RegionRestricted() && (!b.DrainsEnabled || b.Drains.Known() && b.Drains.Count() == 0)
}

// Filter returns the workers that a request may go to. Where that is all of them it returns
// the list itself; ineligible counts the others by the reason why the request may not go there.
func (b Checker) Filter(workers []*directory.WorkerRecord, request Request) (eligible []*directory.WorkerRecord, ineligible map[Reason]int) {
	if b.everywhere(request) {
		return workers, nil
	}
	first := slices.IndexFunc(workers, func(each *directory.WorkerRecord) bool { return b.Check(each.Zone, request) != Eligible })
	if first < 0 {
		return workers, nil
	}
	ineligible = make(map[Reason]int)
	eligible = append(make([]*directory.WorkerRecord, 0, len(workers)), workers[:first]...)
	for _, each := range workers[first:] {
		if reason := b.Check(each.Zone, request); reason != Eligible {
			ineligible[reason]++
			continue
		}
		eligible = append(eligible, each)
	}
	return eligible, ineligible
}
