package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachGatewayLearnsAFewOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newRoster(func() time.Time { return now }), newRoster(func() time.Time { return now })
	one.note("", "")
	require.Empty(t, one.near("g0", ""))
	for i := range 40 {
		one.note(fmt.Sprintf("g%d", i), "")
		other.note(fmt.Sprintf("g%d", 39-i), "")
	}
	told := map[string]bool{}
	for i := range 40 {
		name := fmt.Sprintf("g%d", i)
		near := one.near(name, "")
		require.Len(t, near, rosterShare)
		require.NotContains(t, near, name)
		require.Equal(t, near, other.near(name, ""), "replicas choose alike")
		for _, each := range near {
			told[each] = true
		}
	}
	require.Greater(t, len(told), 20, "the work is shared")
	now = now.Add(rosterMemory + 1)
	one.note("g7", "")
	require.Equal(t, []string{"g7"}, one.near("g3", ""), "those that are gone are forgotten")
}

// TestForwardersIncludeOtherZoneAndOtherRegion holds for each gateway of three
// regions.
func TestForwardersIncludeOtherZoneAndOtherRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
	heard := newRoster(func() time.Time { return now }).among(regions)
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	zoneOf := make(map[string]string)
	for i := range 36 {
		name := fmt.Sprintf("g%d", i)
		zoneOf[name] = zones[i%len(zones)]
		heard.note(name, zoneOf[name])
	}
	for name, zone := range zoneOf {
		near := heard.near(name, zone)
		require.Len(t, near, rosterShare)
		require.NotContains(t, near, name)
		require.Equal(t, regions[zone], regions[zoneOf[near[0]]])
		require.NotEqual(t, zone, zoneOf[near[0]])
		require.NotEqual(t, regions[zone], regions[zoneOf[near[1]]])
		for _, each := range near[2:] {
			require.Equal(t, regions[zone], regions[zoneOf[each]], "the others are not far")
		}
	}
	lonely := newRoster(func() time.Time { return now }).among(regions)
	lonely.note("g1", "a1")
	lonely.note("g2", "b1")
	require.Equal(t, []string{"g2"}, lonely.near("g1", "a1"), "one elsewhere is better than none")
}
