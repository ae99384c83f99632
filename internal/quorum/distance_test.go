package quorum

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

var threeRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// clientInA1 returns a client in zone a1 that has measured 40 ms to region c and 90 ms to region
// b.
func clientInA1() *Client {
	client := NewClient(singleGroup{}, "a1", http.DefaultClient)
	client.SetTopology(distance.NewTopology("a1", threeRegions))
	for zone, latency := range map[string]time.Duration{"a1": 1, "a2": 3, "b1": 91, "c1": 41, "c2": 42} {
		client.zoneLatencies.Observe(time.Unix(1000, 0), zone, latency*time.Millisecond)
	}
	return client
}

// groupInZones returns a group with one member in each zone. A member's address is its zone.
func groupInZones(zones ...string) *replicav1.Group {
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
	client, group := clientInA1(), groupInZones("b1", "c2", "a2", "c1", "a1")
	first := make(map[string]bool)
	for range 40 {
		zones := zonesOf(client.preferredOrder(group))
		require.Equal(t, []string{"a1", "a2"}, zones[:2])
		require.Equal(t, "b1", zones[4])
		first[zones[2]] = true
	}
	require.Len(t, first, 2, "equally distant zones must share the load")
	require.Equal(t, []string{"a1", "a2", "c2", "c1", "b1"}, zonesOf(client.nearestFirst(group)))
}

func TestDownMemberIsOrderedLast(t *testing.T) {
	client := clientInA1()
	client.reachability.markDown("a1", syscall.ECONNREFUSED)
	zones := zonesOf(client.preferredOrder(groupInZones("a1", "b1", "a2")))
	require.Equal(t, []string{"a2", "b1", "a1"}, zones)
}

func TestOtherZonesRankEquallyWithoutRegions(t *testing.T) {
	client := NewClient(singleGroup{}, "a1", http.DefaultClient)
	second := make(map[string]bool)
	for range 60 {
		zones := zonesOf(client.preferredOrder(groupInZones("b1", "a2", "a1")))
		require.Equal(t, "a1", zones[0])
		second[zones[1]] = true
	}
	require.Len(t, second, 2)
	require.Zero(t, client.extraLatency(groupInZones("b1", "a2").Members...))
}

func TestExtraLatencyIsThatOfFarthestMember(t *testing.T) {
	client := clientInA1()
	require.Equal(t, 40*time.Millisecond, client.extraLatency(groupInZones("a1", "c1", "a2").Members...))
	require.Equal(t, 90*time.Millisecond, client.extraLatency(groupInZones("b1").Members[0]))
	require.Zero(t, client.extraLatency())
}

func TestPollerOrdersReplicasByDistance(t *testing.T) {
	newPoller := func(zones ...string) *DirectoryPoller {
		var sources []directory.Replica
		for _, zone := range zones {
			sources = append(sources, directory.Replica{Address: zone, Zone: zone})
		}
		return NewDirectoryPoller(clientInA1(), directory.NewState(time.Now, nil), DirectoryPollerOptions{
			Sources: func() []directory.Replica { return sources },
		})
	}
	for iteration := range 4 {
		all := newPoller("b1", "c1", "a2", "a1")
		require.Equal(t, []string{"a1", "a2", "c1", "b1"}, all.addressOrder(iteration, 0))
		require.Equal(t, []string{"a2", "a1", "c1", "b1"}, all.addressOrder(iteration, 1))
		withoutLocalReplica := newPoller("b1", "c1", "a2")
		require.Equal(t, []string{"a2", "c1", "b1"}, withoutLocalReplica.addressOrder(iteration, 0))
		require.Equal(t, []string{"c1", "b1", "a2"}, withoutLocalReplica.addressOrder(iteration, 1), "the region has no replica for the second loop")
	}
}
