package schedule

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// permittedZone allows engines in zones in which the program's cache may be stored.
type permittedZone struct{}

// Name returns "permitted-place".
func (permittedZone) Name() string { return "permitted-place" }

// Allow applies placement.Check, which makes all data residency decisions by zone.
func (permittedZone) Allow(_ time.Time, engine *Engine, request *Request) bool {
	policy := placement.Policy{CacheZones: request.CacheZones}
	return placement.Check(policy, placement.Cache, engine.Zone) == nil
}
