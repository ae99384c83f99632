package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

func TestZoneDistancesIgnoreRegionsWithoutDistance(t *testing.T) {
	options := Options{Zone: "a1", RegionOf: map[string]string{"a1": "a", "b1": "b"}}
	require.Equal(t, distance.OtherRegion, zoneDistances(options).Class("b1"))
	options.DisabledMechanisms = mechanism.Disabled{mechanism.RegionPreference}
	require.False(t, zoneDistances(options).MultiRegion())
	require.Equal(t, distance.OwnRegion, zoneDistances(options).Class("b1"))
}
