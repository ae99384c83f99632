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

// assignRegions distributes the zones of the nodes over the given number of regions.
func assignRegions(nodes []directory.Replica, regions int) map[string]string {
	regionOf := make(map[string]string)
	for _, node := range nodes {
		if _, found := regionOf[node.Zone]; !found {
			regionOf[node.Zone] = fmt.Sprintf("region-%d", len(regionOf)%regions)
		}
	}
	return regionOf
}

// goldenGroups are the groups of four zones with three nodes each.
var goldenGroups = []string{
	"0/4: n-0-0 n-1-0 n-2-0 n-3-0 n-0-1",
	"1/4: n-0-2 n-1-1 n-2-1 n-3-1 n-1-2",
	"2/4: n-2-2 n-3-2 n-0-0 n-1-0 n-0-1",
	"3/4: n-0-2 n-1-1 n-2-0 n-3-0 n-1-2",
}

// The groups of a system with one region must not change between releases, because deployed systems
// have them.
func TestInitialGroupsOfOneRegionAreStable(t *testing.T) {
	nodes := fleetNodes(4, 3)
	for _, regionOf := range []map[string]string{nil, assignRegions(nodes, 1)} {
		var formed []string
		for _, group := range initialGroups(nodes, regionOf) {
			require.Empty(t, group.Region)
			require.Empty(t, group.Confined)
			require.Equal(t, uint32(maxSeats), group.Target)
			formed = append(formed, fmt.Sprintf("%d/%d: %s", group.Partition, group.Partitions, strings.Join(memberNames(group), " ")))
		}
		require.Equal(t, goldenGroups, formed)
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleetNodes(rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "each"))
		formed, expected := initialGroups(nodes, assignRegions(nodes, 1)), assignSeats(nodes, initialPartitionCount(len(nodes)), maxSeats)
		require.Len(t, formed, len(expected))
		for i, group := range formed {
			require.True(t, proto.Equal(expected[i], group))
		}
	})
}

// The unconfined partitions must be the same as without regions.
func TestEachRegionGetsConfinedPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleetNodes(rapid.IntRange(2, 8).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "each"))
		regionOf := assignRegions(nodes, rapid.IntRange(2, 4).Draw(t, "regions"))
		unconfined, formed := initialUnconfinedGroups(nodes), initialGroups(nodes, regionOf)
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
			group := initialConfinedGroup(nodes, regionOf, region)
			require.Equal(t, region, regionOfPartition(layout, group.Partition))
			inRegion := len(nodesInRegion(region, nodes, regionOf))
			require.Len(t, group.Members, min(maxSeats, inRegion))
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

// The settings may name no region for the zone of a node.
func TestNodeWithoutRegionHoldsNoConfinedSeat(t *testing.T) {
	nodes := fleetNodes(3, 1)
	regionOf := map[string]string{"z0": "north", "z1": "south", "z2": ""}
	require.Equal(t, []string{"north", "south"}, initialGroups(nodes, regionOf)[0].Confined)
	require.Equal(t, []string{"n-0-0"}, memberNames(initialConfinedGroup(nodes, regionOf, "north")))
	require.Equal(t, []string{"n-1-0"}, memberNames(initialConfinedGroup(nodes, regionOf, "south")))
}

// The number of disks that a confined group may lose depends on the number of nodes in its region.
func TestToleratedDiskLossesPerRegion(t *testing.T) {
	for nodes, lost := range map[int]int{1: 0, 2: 1, 3: 1, 4: 2, 5: 2, 9: 2} {
		listed := fleetNodes(2, nodes)
		regionOf := assignRegions(listed, 2)
		require.Equal(t, lost, quorum.WriteQuorum(quorum.VoterCount(initialConfinedGroup(listed, regionOf, "region-0")))-1, "%d nodes", nodes)
	}
}

// confiningConfiguration returns a configuration with one confined route.
func confiningConfiguration(version uint64) *route.Configuration {
	return &route.Configuration{Version: version, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Regions: []string{"region-0"}}}}
}

// In a system that confines a route from the start, confined groups are formed with all seats.
func TestInitialConfinedGroupsHaveAllSeats(t *testing.T) {
	objects := &groupStore{groups: make(map[string]*replicav1.Group)}
	nodes := fleetNodes(6, 3)
	replica := newFormingReplica(t, objects, "n-0-0", nodes)
	replica.options.RegionOf = assignRegions(nodes, 2)
	replica.directory.ApplyConfiguration(confiningConfiguration(1))
	replica.formGroups(t.Context())
	require.Len(t, objects.groups, 12, "six unconfined groups, and three of each region")
	seatCounts := seatsByNode(replica.directory.Groups())
	for partition, group := range replica.directory.Groups() {
		require.Len(t, group.Members, maxSeats)
		require.Equal(t, group.Region, regionOfPartition(group, uint32(partition)))
	}
	for node, seats := range seatCounts {
		require.LessOrEqual(t, seats, 4, node)
	}
}

// Each confined group is formed by a node of its region, and only after the configuration confines
// a route. A system that confines nothing has no such groups.
func TestConfinedGroupsAreFormedOnceConfigurationConfinesARoute(t *testing.T) {
	objects := &groupStore{groups: make(map[string]*replicav1.Group)}
	nodes := fleetNodes(3, 2)
	regionOf := assignRegions(nodes, 3)
	var replicas []*Replica
	for _, node := range nodes {
		replica := newFormingReplica(t, objects, node.Node, nodes)
		replica.options.Zone, replica.options.RegionOf = node.Zone, regionOf
		replica.proposals.now = func() time.Time { return time.Now().Add(time.Hour) }
		replicas = append(replicas, replica)
	}
	withoutRegions := newFormingReplica(t, objects, "n-0-1", nodes)
	replicas[0].formGroups(t.Context())
	require.Len(t, objects.groups, 2)
	for _, replica := range replicas {
		for _, group := range objects.groups {
			replica.directory.ApplyGroup(group, directory.SourceStore)
		}
		replica.directory.ApplyConfiguration(&route.Configuration{Version: 1})
		replica.formConfinedGroups(t.Context())
		require.False(t, lacksUnconfinedGroup(replica.directory.Groups()), "a retirement does not wait for confined groups")
	}
	require.Len(t, objects.groups, 2)
	withoutRegions.directory.ApplyGroup(objects.groups[directory.GroupName(0)], directory.SourceStore)
	withoutRegions.directory.ApplyConfiguration(confiningConfiguration(2))
	withoutRegions.formConfinedGroups(t.Context())
	require.Len(t, objects.groups, 2, "a node without region settings forms no confined group")
	for _, replica := range replicas {
		replica.directory.ApplyConfiguration(confiningConfiguration(2))
		for range 2 {
			replica.formConfinedGroups(t.Context())
			replica.proposals.pending = map[uint32]pendingChange{2: {}, 3: {}, 4: {}}
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

// The wait for a region without nodes is bounded.
func TestInitialGroupsWaitForLateRegion(t *testing.T) {
	nodes := fleetNodes(2, 2)
	replica := newFormingReplica(t, &groupStore{groups: make(map[string]*replicav1.Group)}, "n-0-0", nodes[:2])
	require.True(t, replica.shouldFormGroups(2*formDelay), "without region settings there is no wait")
	replica.options.RegionOf = assignRegions(nodes, 2)
	require.False(t, replica.shouldFormGroups(formDelay+missingRegionWait))
	require.True(t, replica.shouldFormGroups(formDelay+missingRegionWait+1))
	replica = newFormingReplica(t, &groupStore{groups: make(map[string]*replicav1.Group)}, "n-0-0", nodes)
	replica.options.RegionOf = assignRegions(nodes, 2)
	require.False(t, replica.shouldFormGroups(formDelay/2))
	require.True(t, replica.shouldFormGroups(2*formDelay))
}

// The node that proposed the group had no region settings.
func TestStraySeatIsCountedAndNotTaken(t *testing.T) {
	nodes := fleetNodes(2, 2)
	regionOf := assignRegions(nodes, 2)
	confined := initialConfinedGroup(nodes, regionOf, "region-0")
	ownNode := confined.Members[0].Node
	holder := newFormingReplica(t, &groupStore{groups: make(map[string]*replicav1.Group)}, ownNode, nodes)
	holder.options.Zone, holder.options.RegionOf = confined.Members[0].Zone, regionOf
	holder.directory.ApplyGroup(confined, directory.SourceStore)
	require.Zero(t, holder.straySeatCount())
	holder.options.Zone = "z1"
	require.Equal(t, 1, holder.straySeatCount())
	ctx, cancel := context.WithTimeout(t.Context(), 4*seatPollInterval)
	defer cancel()
	holder.maintainSeat(ctx, confined.Partition)
	require.Nil(t, holder.state.currentIdentity(confined.Partition))
	require.Nil(t, holder.state.currentGroup(confined.Partition), "the group is not written")
}
