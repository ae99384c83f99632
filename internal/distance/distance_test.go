package distance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// threeRegionZones maps six zones to three regions, two zones each.
var threeRegionZones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

var start = time.Unix(1000, 0)

func TestRankOrdersOwnZoneThenOwnRegionThenOtherRegions(t *testing.T) {
	topology := NewTopology("a1", threeRegionZones)
	require.True(t, topology.MultiRegion())
	require.Equal(t, OwnZone, topology.Class("a1"))
	require.Equal(t, OwnRegion, topology.Class("a2"))
	require.Equal(t, OtherRegion, topology.Class("b1"))
	require.Equal(t, OtherRegion, topology.Class("unnamed"), "a zone without a region counts as another region")
	view := NewZoneLatencies(topology).View()
	require.Less(t, view.Rank("a1"), view.Rank("a2"))
	require.Less(t, view.Rank("a2"), view.Rank("b1"))
	require.Equal(t, view.Rank("c1"), view.Rank("b1"), "no samples yet")
}

func TestSingleRegionTreatsAllZonesAsOwnRegion(t *testing.T) {
	for _, regions := range []map[string]string{
		nil,
		{"a1": "a", "a2": "a"},
		{"b1": "b", "c1": "c"},
	} {
		topology := NewTopology("a1", regions)
		require.False(t, topology.MultiRegion(), regions)
		require.Equal(t, OwnZone, topology.Class("a1"))
		require.Equal(t, OwnRegion, topology.Class("b1"))
		latencies := NewZoneLatencies(topology)
		latencies.Observe(start, "b1", time.Second)
		require.Zero(t, latencies.View().ExtraLatency("b1"), "samples are ignored with a single region")
	}
}

func TestExtraLatencyIsRelativeToOwnZone(t *testing.T) {
	latencies := NewZoneLatencies(NewTopology("a1", threeRegionZones))
	require.Equal(t, defaultExtraLatency, latencies.View().ExtraLatency("b1"))
	require.Zero(t, latencies.View().ExtraLatency("a2"))
	for _, each := range []struct {
		zone    string
		latency time.Duration
	}{{"a1", 3}, {"a1", 1}, {"a1", 9}, {"a2", 3}, {"b1", 70}, {"b1", 41}, {"c2", 91}} {
		latencies.Observe(start, each.zone, each.latency*time.Millisecond)
	}
	view := latencies.View()
	require.Zero(t, view.ExtraLatency("a1"))
	require.Equal(t, 2*time.Millisecond, view.ExtraLatency("a2"))
	require.Equal(t, 40*time.Millisecond, view.ExtraLatency("b1"))
	require.Equal(t, 90*time.Millisecond, view.ExtraLatency("c2"))
	require.Equal(t, 40*time.Millisecond, view.ExtraLatency("b2"), "a zone without samples gets the minimum of its class")
	require.Less(t, view.Rank("b1"), view.Rank("c2"))
}

func TestBaselineFallsBackToOwnRegion(t *testing.T) {
	latencies := NewZoneLatencies(NewTopology("a1", threeRegionZones))
	latencies.Observe(start, "a2", 2*time.Millisecond)
	latencies.Observe(start, "b1", 42*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, latencies.View().ExtraLatency("b1"))
}

func TestLatencyIncreaseShowsAfterTwoWindows(t *testing.T) {
	latencies := NewZoneLatencies(NewTopology("a1", threeRegionZones))
	latencies.Observe(start, "a1", time.Millisecond)
	latencies.Observe(start, "b1", 21*time.Millisecond)
	now := start
	for range 2 * int(minimumWindow/time.Second) {
		now = now.Add(time.Second)
		latencies.Observe(now, "b1", 61*time.Millisecond)
	}
	latencies.Observe(now.Add(time.Second), "b1", 61*time.Millisecond)
	require.Equal(t, 60*time.Millisecond, latencies.View().ExtraLatency("b1"))
}

func TestOldSamplesExpire(t *testing.T) {
	latencies := NewZoneLatencies(NewTopology("a1", threeRegionZones))
	latencies.Observe(start, "b1", 500*time.Millisecond)
	latencies.Observe(start.Add(sampleExpiry+time.Second), "a1", time.Millisecond)
	require.Equal(t, defaultExtraLatency, latencies.View().ExtraLatency("b1"))
}

// TestRankIsMonotonicInClassAndLatency checks for arbitrary samples that zones rank by class
// first, and zones of other regions by measured latency.
func TestRankIsMonotonicInClassAndLatency(t *testing.T) {
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2", "unnamed"}
	rapid.Check(t, func(t *rapid.T) {
		topology := NewTopology("a1", threeRegionZones)
		latencies := NewZoneLatencies(topology)
		for i := range rapid.IntRange(0, 40).Draw(t, "samples") {
			zone := rapid.SampledFrom(zones).Draw(t, fmt.Sprint("zone", i))
			latency := time.Duration(rapid.IntRange(1, 200_000).Draw(t, fmt.Sprint("took", i))) * time.Microsecond
			latencies.Observe(start.Add(time.Duration(i)*time.Second), zone, latency)
		}
		view := latencies.View()
		for _, first := range zones {
			require.GreaterOrEqual(t, view.ExtraLatency(first), time.Duration(0))
			for _, second := range zones {
				if topology.Class(first) < topology.Class(second) {
					require.Less(t, view.Rank(first), view.Rank(second))
				}
				if topology.Class(first) == OtherRegion && topology.Class(second) == OtherRegion && view.ExtraLatency(first) <= view.ExtraLatency(second) {
					require.LessOrEqual(t, view.Rank(first), view.Rank(second))
				}
			}
		}
	})
}
