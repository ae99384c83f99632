package schedule

import (
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// unavailableDelay is when to come back where no engine can serve a call.
const unavailableDelay = 500 * time.Millisecond

// hardFilters are the rules of every policy, baselines included. The first one
// is the rule of residency; its failure is told apart from the others.
var hardFilters = []Filter{permittedPlace{}, serving{}, modelLoaded{}, room{}}

// eligible returns the indexes of the engines that pass every hard filter.
// The error is a *failure.NoPermittedPlace or a *failure.EngineUnavailable.
func eligible(now time.Time, snapshot *Snapshot, request *Request) ([]int, error) {
	passed := make([]int, 0, len(snapshot.Engines))
	permitted := false
	for index := range snapshot.Engines {
		rejected := firstRejection(now, &snapshot.Engines[index], request)
		permitted = permitted || rejected != 0
		if rejected < 0 {
			passed = append(passed, index)
		}
	}
	if len(passed) > 0 {
		return passed, nil
	}
	if !permitted {
		return nil, &failure.NoPermittedPlace{What: "engine", Zones: joinZones(request.CacheZones)}
	}
	return nil, &failure.EngineUnavailable{Wait: unavailableDelay}
}

// firstRejection returns the index of the first hard filter that rules the
// engine out, or -1.
func firstRejection(now time.Time, engine *Engine, request *Request) int {
	for index, filter := range hardFilters {
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
