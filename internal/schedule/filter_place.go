package schedule

import (
	"slices"
	"time"
)

// permittedPlace allows engines in zones where the program's cache may rest.
type permittedPlace struct{}

// Name returns "permitted-place".
func (permittedPlace) Name() string { return "permitted-place" }

// Allow reports whether the engine's zone is one of the request's cache zones.
func (permittedPlace) Allow(_ time.Time, engine *Engine, request *Request) bool {
	return slices.Contains(request.CacheZones, engine.Zone)
}
