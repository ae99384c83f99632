package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// fleetNodes returns the given number of nodes in each of the given number of zones.
func fleetNodes(zones, perZone int) []directory.Replica {
	var listed []directory.Replica
	for zone := range zones {
		for i := range perZone {
			name := fmt.Sprintf("n-%d-%d", zone, i)
			listed = append(listed, directory.Replica{Node: name, Zone: fmt.Sprintf("z%d", zone), Address: name + ":1"})
		}
	}
	return listed
}

func TestWatcherCountGrowsWithZones(t *testing.T) {
	for _, perZone := range []int{6, 60} {
		chosen := chooseWatchers(initialUnconfinedGroups(fleetNodes(6, perZone)))
		require.Len(t, chosen, 6, "one watcher per zone")
		inZone := make(map[string]int)
		for _, watcher := range chosen {
			inZone[watcher.Zone]++
		}
		require.Len(t, inZone, 6)
	}
	require.Len(t, chooseWatchers(initialUnconfinedGroups(fleetNodes(3, 1))), 3, "every replica of a small system")
	require.GreaterOrEqual(t, len(chooseWatchers(initialUnconfinedGroups(fleetNodes(2, 5)))), minWatchers)
}

func TestWatcherChoiceIsDeterministic(t *testing.T) {
	groups := initialUnconfinedGroups(fleetNodes(6, 6))
	other := make([]*replicav1.Group, len(groups))
	for i, group := range groups {
		other[len(groups)-1-i] = group
	}
	require.ElementsMatch(t, chooseWatchers(groups), chooseWatchers(other))
}

func TestSeatsAreSpreadEvenlyOverNodes(t *testing.T) {
	nodes := fleetNodes(6, 6)
	groups := initialUnconfinedGroups(nodes)
	require.Len(t, groups, 12)
	for _, group := range groups {
		zones := make(map[string]bool)
		for _, member := range group.Members {
			zones[member.Zone] = true
		}
		require.Len(t, group.Members, maxSeats)
		require.Len(t, zones, maxSeats, "the members are in different zones")
		require.Equal(t, uint32(12), group.Partitions)
	}
	seats := seatsByNode(groups)
	require.Len(t, seats, len(nodes), "every node has a seat")
	for node, count := range seats {
		require.LessOrEqual(t, count, 2, node)
	}
}

func TestSmallSystemHasOnePartition(t *testing.T) {
	for nodes := 1; nodes <= maxSeats; nodes++ {
		require.Equal(t, 1, initialPartitionCount(nodes))
	}
	require.Equal(t, 3, initialPartitionCount(9))
	require.Equal(t, 12, initialPartitionCount(36))
}

func TestSeatGoesToNodeWithFewestSeats(t *testing.T) {
	nodes := fleetNodes(6, 6)
	groups := initialUnconfinedGroups(nodes)
	group := groups[0]
	failedMember := group.Members[0]
	status := statusAllInSync(group, nodes)
	status.seatCounts = seatsByNode(groups)
	status.isHealthy, status.isInSync = allExcept(failedMember.Node), allExcept(failedMember.Node)
	next := nextGroup(status)
	replacement := next.Members[0]
	require.Equal(t, 1, status.seatCounts[replacement.Node], "the seat goes to a node that had one")
	for _, member := range next.Members[1:] {
		require.NotEqual(t, member.Zone, replacement.Zone, "the members are in different zones")
	}
}
