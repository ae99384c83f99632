package schedule

import (
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// unavailableDelay is the retry delay if no engine can serve a call.
const unavailableDelay = 500 * time.Millisecond

// mandatoryFilters apply to every policy, including baselines. The first one enforces
// data residency and has a separate error.
var mandatoryFilters = []Filter{permittedZone{}, acceptsWork{}, modelLoaded{}, cacheCapacity{}}

// eligibleEngines returns the indexes of the engines that pass all mandatory filters.
// The error is a *failure.NoPermittedPlace or a *failure.EngineUnavailable.
func eligibleEngines(now time.Time, snapshot *Snapshot, request *Request) ([]int, error) {
	eligible := make([]int, 0, len(snapshot.Engines))
	anyPermitted := false
	for index := range snapshot.Engines {
		rejectedBy := firstRejection(now, &snapshot.Engines[index], request)
		anyPermitted = anyPermitted || rejectedBy != 0
		if rejectedBy < 0 {
			eligible = append(eligible, index)
		}
	}
	if len(eligible) > 0 {
		return eligible, nil
	}
	if !anyPermitted {
		return nil, &failure.NoPermittedPlace{What: "engine", Zones: joinZones(request.CacheZones)}
	}
	return nil, &failure.EngineUnavailable{Wait: unavailableDelay}
}

// firstRejection returns the index of the first mandatory filter that excludes the
// engine, or -1.
func firstRejection(now time.Time, engine *Engine, request *Request) int {
	for index, filter := range mandatoryFilters {
		if !filter.Allow(now, engine, request) {
			return index
		}
	}
	return -1
}

func joinZones(zones []structs.ZoneName) string {
	names := make([]string, len(zones))
	for index, zone := range zones {
		names[index] = string(zone)
	}
	return strings.Join(names, ",")
}
