package quorum

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

var threeRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// clientInA1 returns a client in zone a1 that has measured 40 ms to region c and 90 ms to b.
func clientInA1() *Client {
	client := NewClient(oneGroup{}, "a1", http.DefaultClient)
	client.SetTopology(distance.NewTopology("a1", threeRegions))
	for zone, took := range map[string]time.Duration{"a1": 1, "a2": 3, "b1": 91, "c1": 41, "c2": 42} {
		client.ways.Observe(time.Unix(1000, 0), zone, took*time.Millisecond)
	}
	return client
}

// groupIn returns a group with a member in each of some zones, whose address is the zone.
func groupIn(zones ...string) *replicav1.Group {
	group := &replicav1.Group{Epoch: 1}
	for seat, zone := range zones {
		group.Members = append(group.Members, &replicav1.Member{Address: zone, Zone: zone, Seat: uint32(seat)})
	}
	return group
}

func zonesOf(members []*replicav1.Member) (zones []string) {
	for _, member := range members {
		zones = append(zones, member.Zone)
	}
	return zones
}

func TestMembersAreOrderedByDistance(t *testing.T) {
	client, group := clientInA1(), groupIn("b1", "c2", "a2", "c1", "a1")
	first := make(map[string]bool)
	for range 40 {
		zones := zonesOf(client.preferred(group))
		require.Equal(t, []string{"a1", "a2"}, zones[:2])
		require.Equal(t, "b1", zones[4])
		first[zones[2]] = true
	}
	require.Len(t, first, 2, "zones that are equally far share the work")
	require.Equal(t, []string{"a1", "a2", "c2", "c1", "b1"}, zonesOf(client.nearestFirst(group)))
}

func TestDownMemberIsOrderedLast(t *testing.T) {
	client := clientInA1()
	client.reach.mark("a1", true)
	zones := zonesOf(client.preferred(groupIn("a1", "b1", "a2")))
	require.Equal(t, []string{"a2", "b1", "a1"}, zones)
}

func TestOtherZonesRankEquallyWithoutRegions(t *testing.T) {
	client := NewClient(oneGroup{}, "a1", http.DefaultClient)
	second := make(map[string]bool)
	for range 60 {
		zones := zonesOf(client.preferred(groupIn("b1", "a2", "a1")))
		require.Equal(t, "a1", zones[0])
		second[zones[1]] = true
	}
	require.Len(t, second, 2)
	require.Zero(t, client.wayTo(groupIn("b1", "a2").Members...))
}

func TestExtraLatencyIsThatOfFarthestMember(t *testing.T) {
	client := clientInA1()
	require.Equal(t, 40*time.Millisecond, client.wayTo(groupIn("a1", "c1", "a2").Members...))
	require.Equal(t, 90*time.Millisecond, client.wayTo(groupIn("b1").Members[0]))
	require.Zero(t, client.wayTo())
}

func TestPollerOrdersReplicasByDistance(t *testing.T) {
	relay := func(zones ...string) *DirectoryPoller {
		var sources []directory.Replica
		for _, zone := range zones {
			sources = append(sources, directory.Replica{Address: zone, Zone: zone})
		}
		return NewDirectoryPoller(clientInA1(), directory.NewState(time.Now, nil), DirectoryPollerOptions{
			Sources: func() []directory.Replica { return sources },
		})
	}
	for turn := range 4 {
		all := relay("b1", "c1", "a2", "a1")
		require.Equal(t, []string{"a1", "a2", "c1", "b1"}, all.order(turn, 0))
		require.Equal(t, []string{"a2", "a1", "c1", "b1"}, all.order(turn, 1))
		alone := relay("b1", "c1", "a2")
		require.Equal(t, []string{"a2", "c1", "b1"}, alone.order(turn, 0))
		require.Equal(t, []string{"c1", "b1", "a2"}, alone.order(turn, 1), "a lane that the region has none for")
	}
}
