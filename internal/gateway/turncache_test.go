package gateway

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// TestTurnCacheKeepsOnlyTurnsPermittedInItsRegion verifies that a gateway, which may serve a
// request and write its turn, caches no turn that is restricted to other regions.
func TestTurnCacheKeepsOnlyTurnsPermittedInItsRegion(t *testing.T) {
	for zone, remembered := range map[string][]string{
		"zone-a": {"any", "north", "both"}, "zone-b": {"any", "both"}, "zone-c": {"any"}, "unnamed": {"any"},
	} {
		cache := newTurnCache(nil, 1<<20)
		cache.zone, cache.regionOf = zone, map[string]string{"zone-a": "north", "zone-b": "south", "zone-c": "middle"}
		for id, regions := range map[string][]string{"any": nil, "north": {"north"}, "both": {"north", "south"}} {
			cache.add(&replicav1.Turn{Id: id, Regions: regions})
		}
		for _, id := range []string{"any", "north", "both"} {
			_, missing := cache.lookup(id)
			require.Equal(t, !slices.Contains(remembered, id), missing != "", "%s in %s", id, zone)
		}
	}
}
