package schedule

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// permittedPlace allows engines in zones where the program's cache may rest.
type permittedPlace struct{}

// Name returns "permitted-place".
func (permittedPlace) Name() string { return "permitted-place" }

// Allow asks placement.Permit, the one decision on where data may rest.
func (permittedPlace) Allow(_ time.Time, engine *Engine, request *Request) bool {
	policy := placement.Policy{CacheZones: request.CacheZones}
	return placement.Check(policy, placement.Cache, engine.Zone) == nil
}
