package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// The kinds of data that a request brings along.
const (
	// Request is a request at a worker, with what the worker keeps of it.
	Request DataKind = "request"
	// Call is a call that carries text, at a machine that passes it on.
	Call DataKind = "call"
	// Turn is a kept turn: a replica's memory and its disk.
	Turn DataKind = "turn"
	// CachedTurn is a kept turn in the memory of a gateway.
	CachedTurn DataKind = "remembered_turn"
)

// bodies are the kinds that a RegionPolicy decides about; all of them hold the request's
// text.
var bodies = []DataKind{Request, Call, Turn, CachedTurn, KVExport}

// RegionPolicy is where a request may rest whose permitted places are named by region. Its
// zero value permits everything.
type RegionPolicy struct {
	// Permitted are the only regions; nil is any, and an empty list none.
	Permitted []string
	// RegionOf names the region of each zone. A zone that it lacks lies in no region.
	RegionOf map[string]string
}

// Restricted reports whether the request may not rest everywhere.
func (p RegionPolicy) Restricted() bool { return p.Permitted != nil }

// PermitsRegion reports whether the request may rest in all zones of a region; "" names
// none.
func (p RegionPolicy) PermitsRegion(region string) bool {
	return !p.Restricted() || region != "" && slices.Contains(p.Permitted, region)
}

// Permits reports whether the request may rest in a zone.
func (p RegionPolicy) Permits(zone string) bool { return p.PermitsRegion(p.RegionOf[zone]) }

// Check is the decision on one kind of data: nil, or a *failure.NoPermittedPlace. Data of
// a confined request that is of no known kind is permitted nowhere.
func (p RegionPolicy) Check(data DataKind, zone string) error {
	if !p.Restricted() || slices.Contains(bodies, data) && p.Permits(zone) {
		return nil
	}
	return p.DeniedError(data)
}

// DeniedError is the failure of a request for whose data there is no permitted place.
func (p RegionPolicy) DeniedError(data DataKind) *failure.NoPermittedPlace {
	return &failure.NoPermittedPlace{What: string(data), Regions: strings.Join(p.Permitted, ","), Nowhere: len(p.Permitted) == 0}
}

// ExcludesAnyRegion reports whether there is any region, or none at all, that the request may not
// rest in. Where it excludes none, machines need not be told apart.
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

// Regions returns the regions of all zones, sorted, each once.
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
