package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// inRegions deals the zones of a fleet over so many regions.
func inRegions(nodes []directory.Replica, regions int) map[string]string {
	regionOf := make(map[string]string)
	for _, node := range nodes {
		if _, found := regionOf[node.Zone]; !found {
			regionOf[node.Zone] = fmt.Sprintf("region-%d", len(regionOf)%regions)
		}
	}
	return regionOf
}

// goldenGroups are the partitions of four zones with three nodes each.
var goldenGroups = []string{
	"0/4: n-0-0 n-1-0 n-2-0 n-3-0 n-0-1",
	"1/4: n-0-2 n-1-1 n-2-1 n-3-1 n-1-2",
	"2/4: n-2-2 n-3-2 n-0-0 n-1-0 n-0-1",
	"3/4: n-0-2 n-1-1 n-2-0 n-3-0 n-1-2",
}

// TestInitialGroupsOfOneRegionAreStable: what is written here are the groups
// of such a system, and those of deployments that stand.
func TestInitialGroupsOfOneRegionAreStable(t *testing.T) {
	nodes := fleet(4, 3)
	for _, regionOf := range []map[string]string{nil, inRegions(nodes, 1)} {
		var formed []string
		for _, group := range foundingGroups(nodes, regionOf) {
			require.Empty(t, group.Region)
			require.Empty(t, group.Confined)
			require.Equal(t, uint32(maxSeats), group.Target)
			formed = append(formed, fmt.Sprintf("%d/%d: %s", group.Partition, group.Partitions, strings.Join(memberNames(group), " ")))
		}
		require.Equal(t, goldenGroups, formed)
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "each"))
		formed, expected := foundingGroups(nodes, inRegions(nodes, 1)), assign(nodes, partitionsFor(len(nodes)), maxSeats)
		require.Len(t, formed, len(expected))
		for i, group := range formed {
			require.True(t, proto.Equal(expected[i], group))
		}
	})
}

// TestEachRegionGetsConfinedPartitions: beside them the others stand as they would
// without regions.
func TestEachRegionGetsConfinedPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(2, 8).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "each"))
		regionOf := inRegions(nodes, rapid.IntRange(2, 4).Draw(t, "regions"))
		unconfined, formed := firstGroups(nodes), foundingGroups(nodes, regionOf)
		require.Len(t, formed, len(unconfined))
		for i, group := range formed {
			require.Equal(t, uint32(i), group.Partition)
			require.Empty(t, group.Region)
			require.Empty(t, regionOfPartition(group, group.Partition))
			require.Equal(t, memberNames(unconfined[i]), memberNames(group))
			require.Equal(t, formed[0].Confined, group.Confined)
			require.Equal(t, len(unconfined)+len(group.Confined), int(group.Partitions))
		}
		layout := formed[0]
		for i, region := range layout.Confined {
			require.Equal(t, region, regionOfPartition(layout, uint32(len(unconfined)+i)))
			group := firstConfined(nodes, regionOf, region)
			require.Equal(t, region, regionOfPartition(layout, group.Partition))
			within := len(nodesWithin(region, nodes, regionOf))
			require.Len(t, group.Members, min(maxSeats, within))
			require.Len(t, group.Members, int(group.Target))
			for _, member := range group.Members {
				require.Equal(t, region, regionOf[member.Zone])
			}
		}
		require.Empty(t, regionOfPartition(layout, layout.Partitions))
		for _, region := range regionOf {
			require.Contains(t, layout.Confined, region)
		}
	})
}

// TestNodeWithoutRegionHoldsNoConfinedSeat: settings that name no region of its zone.
func TestNodeWithoutRegionHoldsNoConfinedSeat(t *testing.T) {
	nodes := fleet(3, 1)
	regionOf := map[string]string{"z0": "north", "z1": "south", "z2": ""}
	require.Equal(t, []string{"north", "south"}, foundingGroups(nodes, regionOf)[0].Confined)
	require.Equal(t, []string{"n-0-0"}, memberNames(firstConfined(nodes, regionOf, "north")))
	require.Equal(t, []string{"n-1-0"}, memberNames(firstConfined(nodes, regionOf, "south")))
}

// TestToleratedDiskLossesPerRegion counts how many disks of a confined group may be lost
// before one that has an acknowledged record may be among them.
func TestToleratedDiskLossesPerRegion(t *testing.T) {
	for nodes, lost := range map[int]int{1: 0, 2: 1, 3: 1, 4: 2, 5: 2, 9: 2} {
		listed := fleet(2, nodes)
		regionOf := inRegions(listed, 2)
		require.Equal(t, lost, quorum.WriteQuorum(quorum.VoterCount(firstConfined(listed, regionOf, "region-0")))-1, "%d nodes", nodes)
	}
}

// confining is a configuration with one confined route.
func confining(version uint64) *route.Configuration {
	return &route.Configuration{Version: version, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Regions: []string{"region-0"}}}}
}

// TestInitialConfinedGroupsHaveAllSeats: they need not grow first.
func TestInitialConfinedGroupsHaveAllSeats(t *testing.T) {
	objects := &groupObjects{groups: make(map[string]*replicav1.Group)}
	nodes := fleet(6, 3)
	one := former(t, objects, "n-0-0", nodes)
	one.options.RegionOf = inRegions(nodes, 2)
	one.directory.ApplyConfiguration(confining(1))
	one.form(t.Context())
	require.Len(t, objects.groups, 12, "six, and three of each region")
	held := seatsHeld(one.directory.Groups())
	for partition, group := range one.directory.Groups() {
		require.Len(t, group.Members, maxSeats)
		require.Equal(t, group.Region, regionOfPartition(group, uint32(partition)))
	}
	for node, seats := range held {
		require.LessOrEqual(t, seats, 4, node)
	}
}

// TestConfinedGroupsAreFormedOnceConfigurationConfinesARoute, each by a node of its region, and not
// before: a system that confines nothing has nothing of them to lose.
func TestConfinedGroupsAreFormedOnceConfigurationConfinesARoute(t *testing.T) {
	objects := &groupObjects{groups: make(map[string]*replicav1.Group)}
	nodes := fleet(3, 2)
	regionOf := inRegions(nodes, 3)
	var all []*Replica
	for _, node := range nodes {
		one := former(t, objects, node.Node, nodes)
		one.options.Zone, one.options.RegionOf = node.Zone, regionOf
		one.proposals.now = func() time.Time { return time.Now().Add(time.Hour) }
		all = append(all, one)
	}
	unaware := former(t, objects, "n-0-1", nodes)
	all[0].form(t.Context())
	require.Len(t, objects.groups, 2)
	for _, one := range all {
		for _, group := range objects.groups {
			one.directory.ApplyGroup(group, directory.SourceStore)
		}
		one.directory.ApplyConfiguration(&route.Configuration{Version: 1})
		one.formConfined(t.Context())
		require.False(t, missing(one.directory.Groups()), "a retirement waits for none of them")
	}
	require.Len(t, objects.groups, 2)
	unaware.directory.ApplyGroup(objects.groups[directory.GroupName(0)], directory.SourceStore)
	unaware.directory.ApplyConfiguration(confining(2))
	unaware.formConfined(t.Context())
	require.Len(t, objects.groups, 2, "one whose settings name no regions forms none")
	for _, one := range all {
		one.directory.ApplyConfiguration(confining(2))
		for range 2 {
			one.formConfined(t.Context())
			one.proposals.wanted = map[uint32]wantedChange{2: {}, 3: {}, 4: {}}
		}
	}
	require.Len(t, objects.groups, 5)
	for number, region := range []string{"region-0", "region-1", "region-2"} {
		group := objects.groups[directory.GroupName(uint32(2+number))]
		require.Equal(t, region, group.Region)
		require.Equal(t, uint32(2), group.Target)
		require.Len(t, group.Members, 1)
		require.Equal(t, region, regionOf[group.Members[0].Zone])
	}
}

// TestInitialGroupsWaitForLateRegion, but not for ever.
func TestInitialGroupsWaitForLateRegion(t *testing.T) {
	nodes := fleet(2, 2)
	waiting := former(t, &groupObjects{groups: make(map[string]*replicav1.Group)}, "n-0-0", nodes[:2])
	require.True(t, waiting.timeToForm(2*formAfter), "settings that name no regions")
	waiting.options.RegionOf = inRegions(nodes, 2)
	require.False(t, waiting.timeToForm(formAfter+lateRegions))
	require.True(t, waiting.timeToForm(formAfter+lateRegions+1))
	waiting = former(t, &groupObjects{groups: make(map[string]*replicav1.Group)}, "n-0-0", nodes)
	waiting.options.RegionOf = inRegions(nodes, 2)
	require.False(t, waiting.timeToForm(formAfter/2))
	require.True(t, waiting.timeToForm(2*formAfter))
}

// TestStraySeatIsCountedAndNotTaken and not taken: whoever proposed the group knew nothing of regions.
func TestStraySeatIsCountedAndNotTaken(t *testing.T) {
	nodes := fleet(2, 2)
	regionOf := inRegions(nodes, 2)
	confined := firstConfined(nodes, regionOf, "region-0")
	own := confined.Members[0].Node
	home := former(t, &groupObjects{groups: make(map[string]*replicav1.Group)}, own, nodes)
	home.options.Zone, home.options.RegionOf = confined.Members[0].Zone, regionOf
	home.directory.ApplyGroup(confined, directory.SourceStore)
	require.Zero(t, home.straySeats())
	home.options.Zone = "z1"
	require.Equal(t, 1, home.straySeats())
	ctx, cancel := context.WithTimeout(t.Context(), 4*settlePause)
	defer cancel()
	home.takeSeat(ctx, confined.Partition)
	require.Nil(t, home.state.currentIdentity(confined.Partition))
	require.Nil(t, home.state.currentGroup(confined.Partition), "nothing of it is written")
}
