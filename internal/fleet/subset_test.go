package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// place returns a deployment with zones spread over regions.
func place(daemons, engines, zones, regions int) ([]structs.Node, []Endpoint) {
	zone := func(i int) structs.ZoneName { return structs.ZoneName(fmt.Sprintf("zone-%02d", i%zones)) }
	region := func(i int) string { return fmt.Sprintf("region-%d", i%zones%regions) }
	var nodes []structs.Node
	for i := range daemons {
		nodes = append(nodes, structs.Node{ID: structs.NodeID(fmt.Sprintf("daemon-%04d", i)), Zone: zone(i), Region: region(i), State: structs.NodeAlive})
	}
	var endpoints []Endpoint
	for i := range engines {
		made := endpoint(i)
		made.Zone, made.Region = zone(i), region(i)
		endpoints = append(endpoints, made)
	}
	return nodes, endpoints
}

func TestSubsetIsBoundedAndCoversEveryEngine(t *testing.T) {
	// A fifth of the full size, with its ratios.
	nodes, engines := place(300, 2200, 17, 6)
	covered := map[structs.EngineID]int{}
	coveredInZone := map[structs.EngineID]int{}
	total, otherZones := 0, 0
	for _, self := range nodes {
		subset := Subset(self, nodes, engines, DefaultSubsetSize)
		require.LessOrEqual(t, len(subset), capFactor*DefaultSubsetSize)
		total += len(subset)
		for _, e := range subset {
			covered[e.ID]++
			if e.Zone == self.Zone {
				coveredInZone[e.ID]++
			} else {
				otherZones++
			}
		}
	}
	require.InDelta(t, DefaultSubsetSize*(1-ownZoneShare), float64(otherZones)/float64(len(nodes)), 2)
	for _, e := range engines {
		require.GreaterOrEqual(t, coveredInZone[e.ID], minCoverage-1, "engine %s", e.ID)
		require.GreaterOrEqual(t, covered[e.ID], minCoverage)
	}
	t.Logf("mean subset %.1f, mean coverage %.1f", float64(total)/float64(len(nodes)), float64(total)/float64(len(engines)))
}

func TestSmallFleetIsFollowedWhole(t *testing.T) {
	nodes, engines := place(18, 10, 4, 1)
	for _, self := range nodes {
		require.Len(t, Subset(self, nodes, engines, DefaultSubsetSize), len(engines))
	}
}

func TestDaemonThatLeavesChangesFewSubsets(t *testing.T) {
	nodes, engines := place(300, 2200, 4, 1)
	gone := nodes[0]
	left := nodes[1:]
	changed := 0
	for _, self := range left {
		before := Subset(self, nodes, engines, DefaultSubsetSize)
		after := Subset(self, left, engines, DefaultSubsetSize)
		added := missingFrom(after, before)
		changed += added
		if self.Zone != gone.Zone {
			require.Zero(t, added)
		}
	}
	// The engines of the daemon that left go to others; nothing else moves.
	require.LessOrEqual(t, changed, len(Subset(gone, nodes, engines, DefaultSubsetSize)))
}

// missingFrom counts the engines of one list that are not in the other.
func missingFrom(list, other []Endpoint) int {
	known := map[structs.EngineID]bool{}
	for _, e := range other {
		known[e.ID] = true
	}
	count := 0
	for _, e := range list {
		if !known[e.ID] {
			count++
		}
	}
	return count
}

func BenchmarkSubsetAtFullSize(b *testing.B) {
	nodes, engines := place(1500, 11000, 17, 6)
	for b.Loop() {
		Subset(nodes[0], nodes, engines, DefaultSubsetSize)
	}
}

func BenchmarkView(b *testing.B) {
	f := New(Options{})
	followed := &followedEngines{byID: map[structs.EngineID]*follower{}}
	for i := range DefaultSubsetSize {
		one := &follower{endpoint: endpoint(i)}
		one.accept(structs.EngineStatus{Incarnation: 1})
		followed.list = append(followed.list, one)
		followed.byID[one.endpoint.ID] = one
	}
	f.followed.Store(followed)
	b.ReportAllocs()
	for b.Loop() {
		f.View()
	}
}

// BenchmarkDutiesAtFullSize finds out which engines a daemon sweeps.
func BenchmarkDutiesAtFullSize(b *testing.B) {
	nodes, engines := place(1500, 11000, 17, 6)
	for b.Loop() {
		division := dutiesOf(nodes[0], nodes)
		for _, e := range engines {
			division.first(string(e.ID), e.Zone)
		}
	}
}
