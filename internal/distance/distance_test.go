package distance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// threeRegions are six zones, two in each region.
var threeRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

var start = time.Unix(1000, 0)

func TestRankOrdersOwnZoneThenOwnRegionThenOtherRegions(t *testing.T) {
	places := NewTopology("a1", threeRegions)
	require.True(t, places.MultiRegion())
	require.Equal(t, OwnZone, places.Class("a1"))
	require.Equal(t, OwnRegion, places.Class("a2"))
	require.Equal(t, OtherRegion, places.Class("b1"))
	require.Equal(t, OtherRegion, places.Class("unnamed"), "a zone without a region is not of the own one")
	view := NewZoneLatencies(places).View()
	require.Less(t, view.Rank("a1"), view.Rank("a2"))
	require.Less(t, view.Rank("a2"), view.Rank("b1"))
	require.Equal(t, view.Rank("c1"), view.Rank("b1"), "nothing was measured")
}

func TestSingleRegionTreatsAllZonesAsOwnRegion(t *testing.T) {
	for _, regions := range []map[string]string{
		nil,
		{"a1": "a", "a2": "a"},
		{"b1": "b", "c1": "c"},
	} {
		places := NewTopology("a1", regions)
		require.False(t, places.MultiRegion(), regions)
		require.Equal(t, OwnZone, places.Class("a1"))
		require.Equal(t, OwnRegion, places.Class("b1"))
		times := NewZoneLatencies(places)
		times.Observe(start, "b1", time.Second)
		require.Zero(t, times.View().ExtraLatency("b1"), "nothing is measured that nothing depends on")
	}
}

func TestExtraLatencyIsRelativeToOwnZone(t *testing.T) {
	times := NewZoneLatencies(NewTopology("a1", threeRegions))
	require.Equal(t, unmeasured, times.View().ExtraLatency("b1"))
	require.Zero(t, times.View().ExtraLatency("a2"))
	for _, each := range []struct {
		zone string
		took time.Duration
	}{{"a1", 3}, {"a1", 1}, {"a1", 9}, {"a2", 3}, {"b1", 70}, {"b1", 41}, {"c2", 91}} {
		times.Observe(start, each.zone, each.took*time.Millisecond)
	}
	view := times.View()
	require.Zero(t, view.ExtraLatency("a1"))
	require.Equal(t, 2*time.Millisecond, view.ExtraLatency("a2"))
	require.Equal(t, 40*time.Millisecond, view.ExtraLatency("b1"))
	require.Equal(t, 90*time.Millisecond, view.ExtraLatency("c2"))
	require.Equal(t, 40*time.Millisecond, view.ExtraLatency("b2"), "as far as the nearest of its class")
	require.Less(t, view.Rank("b1"), view.Rank("c2"))
}

func TestBaselineFallsBackToOwnRegion(t *testing.T) {
	times := NewZoneLatencies(NewTopology("a1", threeRegions))
	times.Observe(start, "a2", 2*time.Millisecond)
	times.Observe(start, "b1", 42*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, times.View().ExtraLatency("b1"))
}

func TestLatencyIncreaseShowsAfterTwoWindows(t *testing.T) {
	times := NewZoneLatencies(NewTopology("a1", threeRegions))
	times.Observe(start, "a1", time.Millisecond)
	times.Observe(start, "b1", 21*time.Millisecond)
	now := start
	for range 2 * int(window/time.Second) {
		now = now.Add(time.Second)
		times.Observe(now, "b1", 61*time.Millisecond)
	}
	times.Observe(now.Add(time.Second), "b1", 61*time.Millisecond)
	require.Equal(t, 60*time.Millisecond, times.View().ExtraLatency("b1"))
}

func TestOldSamplesExpire(t *testing.T) {
	times := NewZoneLatencies(NewTopology("a1", threeRegions))
	times.Observe(start, "b1", 500*time.Millisecond)
	times.Observe(start.Add(memory+time.Second), "a1", time.Millisecond)
	require.Equal(t, unmeasured, times.View().ExtraLatency("b1"))
}

// TestRankIsMonotonicInClassAndLatency holds for any samples that the order of places
// goes by class first, and within the other regions by measured time.
func TestRankIsMonotonicInClassAndLatency(t *testing.T) {
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2", "unnamed"}
	rapid.Check(t, func(t *rapid.T) {
		places := NewTopology("a1", threeRegions)
		times := NewZoneLatencies(places)
		for i := range rapid.IntRange(0, 40).Draw(t, "samples") {
			zone := rapid.SampledFrom(zones).Draw(t, fmt.Sprint("zone", i))
			took := time.Duration(rapid.IntRange(1, 200_000).Draw(t, fmt.Sprint("took", i))) * time.Microsecond
			times.Observe(start.Add(time.Duration(i)*time.Second), zone, took)
		}
		view := times.View()
		for _, one := range zones {
			require.GreaterOrEqual(t, view.ExtraLatency(one), time.Duration(0))
			for _, other := range zones {
				if places.Class(one) < places.Class(other) {
					require.Less(t, view.Rank(one), view.Rank(other))
				}
				if places.Class(one) == OtherRegion && places.Class(other) == OtherRegion && view.ExtraLatency(one) <= view.ExtraLatency(other) {
					require.LessOrEqual(t, view.Rank(one), view.Rank(other))
				}
			}
		}
	})
}
