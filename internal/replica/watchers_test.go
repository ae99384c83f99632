package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// fleet returns so many nodes in each of so many zones.
func fleet(zones, each int) []directory.Replica {
	var listed []directory.Replica
	for zone := range zones {
		for i := range each {
			name := fmt.Sprintf("n-%d-%d", zone, i)
			listed = append(listed, directory.Replica{Node: name, Zone: fmt.Sprintf("z%d", zone), Address: name + ":1"})
		}
	}
	return listed
}

func TestWatcherCountGrowsWithZones(t *testing.T) {
	for _, each := range []int{6, 60} {
		chosen := watchers(firstGroups(fleet(6, each)))
		require.Len(t, chosen, 6, "one of each zone")
		inZone := make(map[string]int)
		for _, watcher := range chosen {
			inZone[watcher.Zone]++
		}
		require.Len(t, inZone, 6)
	}
	require.Len(t, watchers(firstGroups(fleet(3, 1))), 3, "every replica of a small fleet")
	require.GreaterOrEqual(t, len(watchers(firstGroups(fleet(2, 5)))), wantedWatchers)
}

func TestWatcherChoiceIsDeterministic(t *testing.T) {
	groups := firstGroups(fleet(6, 6))
	other := make([]*replicav1.Group, len(groups))
	for i, group := range groups {
		other[len(groups)-1-i] = group
	}
	require.ElementsMatch(t, watchers(groups), watchers(other))
}

func TestSeatsAreSpreadEvenlyOverNodes(t *testing.T) {
	nodes := fleet(6, 6)
	groups := firstGroups(nodes)
	require.Len(t, groups, 12)
	for _, group := range groups {
		zones := make(map[string]bool)
		for _, member := range group.Members {
			zones[member.Zone] = true
		}
		require.Len(t, group.Members, maxSeats)
		require.Len(t, zones, maxSeats, "zones apart")
		require.Equal(t, uint32(12), group.Partitions)
	}
	seats := seatsHeld(groups)
	require.Len(t, seats, len(nodes), "no node stands by while others hold two seats")
	for node, held := range seats {
		require.LessOrEqual(t, held, 2, node)
	}
}

func TestSmallSystemHasOnePartition(t *testing.T) {
	for nodes := 1; nodes <= maxSeats; nodes++ {
		require.Equal(t, 1, partitionsFor(nodes))
	}
	require.Equal(t, 3, partitionsFor(9))
	require.Equal(t, 12, partitionsFor(36))
}

func TestSeatGoesToNodeWithFewestSeats(t *testing.T) {
	nodes := fleet(6, 6)
	groups := firstGroups(nodes)
	group := groups[0]
	left := group.Members[0]
	seen := seenAll(group, nodes)
	seen.seats = seatsHeld(groups)
	seen.healthy, seen.settled = except(left.Node), except(left.Node)
	next := nextGroup(seen)
	taken := next.Members[0]
	require.Equal(t, 1, seen.seats[taken.Node], "not one of those that hold two")
	for _, member := range next.Members[1:] {
		require.NotEqual(t, member.Zone, taken.Zone, "zones apart")
	}
}
