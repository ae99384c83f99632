package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Kinds of data that belong to a request.
const (
	// Request is a request at a worker, including what the worker stores of it.
	Request DataKind = "request"
	// Call is a call that contains text, at a machine that forwards it.
	Call DataKind = "call"
	// Turn is a stored turn in a replica's memory or on its disk.
	Turn DataKind = "turn"
	// CachedTurn is a stored turn in the memory of a gateway.
	CachedTurn DataKind = "remembered_turn"
)

// requestDataKinds are the kinds that a RegionPolicy decides on. All of them contain
// the request's text.
var requestDataKinds = []DataKind{Request, Call, Turn, CachedTurn, KVExport}

// RegionPolicy is the list of regions in which the data of a request may be stored. The
// zero value permits every place.
type RegionPolicy struct {
	// Permitted is the list of permitted regions; nil permits every region, an empty
	// list none.
	Permitted []string
	// RegionOf maps zones to regions. A zone that is not in the map belongs to no
	// region.
	RegionOf map[string]string
}

// Restricted reports whether the policy restricts the request to certain regions.
func (p RegionPolicy) Restricted() bool { return p.Permitted != nil }

// PermitsRegion reports whether the request may be stored in all zones of a region; ""
// is not a region.
func (p RegionPolicy) PermitsRegion(region string) bool {
	return !p.Restricted() || region != "" && slices.Contains(p.Permitted, region)
}

// Permits reports whether the request may be stored in a zone.
func (p RegionPolicy) Permits(zone string) bool { return p.PermitsRegion(p.RegionOf[zone]) }

// Check returns nil if the data may be stored in the zone, and a
// *failure.NoPermittedPlace otherwise. If the request is restricted, data of an unknown
// kind is not permitted anywhere.
func (p RegionPolicy) Check(data DataKind, zone string) error {
	if !p.Restricted() || slices.Contains(requestDataKinds, data) && p.Permits(zone) {
		return nil
	}
	return p.DeniedError(data)
}

// DeniedError returns the error for data that has no permitted place.
func (p RegionPolicy) DeniedError(data DataKind) *failure.NoPermittedPlace {
	return &failure.NoPermittedPlace{What: string(data), Regions: strings.Join(p.Permitted, ","), Nowhere: len(p.Permitted) == 0}
}

// ExcludesAnyRegion reports whether the policy excludes at least one region of the
// known zones, or is restricted while no zone has a region. If it returns false,
// callers need not distinguish machines by region.
func (p RegionPolicy) ExcludesAnyRegion() bool {
	if !p.Restricted() {
		return false
	}
	for _, region := range p.RegionOf {
		if !p.PermitsRegion(region) {
			return true
		}
	}
	return len(p.RegionOf) == 0
}

// Regions returns the regions of all zones, sorted and without duplicates.
func Regions(regionOf map[string]string) []string {
	var regions []string
	for _, region := range regionOf {
		if region != "" {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}
