// Package eligibility decides whether a request may be sent to a worker. Every path that sends
// requests uses it: the first choice, retries, resumed streams, requests that waited in the
// backlog, and a last check right before sending. It does no I/O and does not read a clock.
package eligibility

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// Reason is why a request may not be sent to a worker.
type Reason string

// The reasons.
const (
	// Eligible means that the request may be sent.
	Eligible Reason = ""
	// ZoneDrainsUnknown means that this process does not know yet which zones are drained.
	ZoneDrainsUnknown Reason = "zone_drains_unknown"
	// ZoneDrained means that the worker's zone is being drained.
	ZoneDrained Reason = "zone_drained"
	// RegionNotPermitted means that the request's data may not be stored in the worker's region.
	RegionNotPermitted Reason = "region_not_permitted"
	// OtherVersion means that the request continues a stream that began at another software version.
	OtherVersion Reason = "other_version"
	// VersionUnknown means that the request continues a stream, and that the version of the stream or
	// of the worker is unknown.
	VersionUnknown Reason = "version_unknown"
)

// Checker checks requests against the known zone drains and regions. It is immutable.
type Checker struct {
	// DrainsEnabled is set if operators can drain zones. Otherwise Drains is ignored.
	DrainsEnabled bool
	// Drains are the drained zones as last received.
	Drains directory.ZoneDrains
	// RegionOf maps zones to regions. A zone that is missing belongs to no region.
	RegionOf map[string]string
}

// Request describes the request to check.
type Request struct {
	// Regions are the only regions in which the request may be served; nil permits any.
	Regions []string
	// Stream is the stream that the request continues; nil if it begins anew.
	Stream *Stream
}

// Stream is what is known about the first event of a stream. What two software versions write does not
// fit together.
type Stream struct {
	// Version is the software version of the worker that brought it; empty if unknown.
	Version string
	// WorkerID is the incarnation of that worker, if this process received the event; else empty.
	WorkerID string
}

// mayContinueAt returns why a stream may not continue at a worker, or Eligible. Unknown versions are
// never taken for the same; a worker that has not restarted has the version that it had.
func (s *Stream) mayContinueAt(worker directory.Worker) Reason {
	switch {
	case s.Version != "" && worker.Version != "":
		if s.Version != worker.Version {
			return OtherVersion
		}
		return Eligible
	case s.WorkerID != "" && s.WorkerID == worker.ID:
		return Eligible
	}
	return VersionUnknown
}

// RegionRestricted reports whether the request may only be served in some regions.
func (r Request) RegionRestricted() bool { return r.Regions != nil }

// RegionPolicy returns the policy for the regions of the request.
func (c Checker) RegionPolicy(request Request) placement.RegionPolicy {
	return placement.RegionPolicy{Permitted: request.Regions, RegionOf: c.RegionOf}
}

// Check returns why a request may not be sent to the workers of a zone, or Eligible.
func (c Checker) Check(zone string, request Request) Reason {
	switch {
	case c.DrainsEnabled && !c.Drains.Known():
		return ZoneDrainsUnknown
	case !c.RegionPolicy(request).Permits(zone):
		return RegionNotPermitted
	case c.DrainsEnabled && c.Drains.Has(zone):
		return ZoneDrained
	}
	return Eligible
}

// CheckWorker returns why a request may not be sent to a worker, or Eligible.
func (c Checker) CheckWorker(worker directory.Worker, request Request) Reason {
	if reason := c.Check(worker.Zone, request); reason != Eligible || request.Stream == nil {
		return reason
	}
	return request.Stream.mayContinueAt(worker)
}

// allowsAllZones reports whether the request may be sent to the workers of all zones.
func (c Checker) allowsAllZones(request Request) bool {
	return !request.RegionRestricted() && (!c.DrainsEnabled || c.Drains.Known() && c.Drains.Count() == 0)
}

// Filter returns the workers that a request may be sent to, or the same slice if those are all.
// ineligible counts the other workers by reason.
func (c Checker) Filter(workers []*directory.WorkerRecord, request Request) (eligible []*directory.WorkerRecord, ineligible map[Reason]int) {
	if request.Stream == nil && c.allowsAllZones(request) {
		return workers, nil
	}
	first := slices.IndexFunc(workers, func(each *directory.WorkerRecord) bool { return c.CheckWorker(each.Worker, request) != Eligible })
	if first < 0 {
		return workers, nil
	}
	ineligible = make(map[Reason]int)
	eligible = append(make([]*directory.WorkerRecord, 0, len(workers)), workers[:first]...)
	for _, each := range workers[first:] {
		if reason := c.CheckWorker(each.Worker, request); reason != Eligible {
			ineligible[reason]++
			continue
		}
		eligible = append(eligible, each)
	}
	return eligible, ineligible
}
