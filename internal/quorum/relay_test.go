package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// relayOf returns a relay of a process in zone "z" that may ask the sources.
func relayOf(sources ...directory.Replica) *DirectoryPoller {
	return NewDirectoryPoller(NewClient(nil, "z", nil), directory.NewState(time.Now, nil), DirectoryPollerOptions{
		Seeds: []string{"seed"}, Sources: func() []directory.Replica { return sources },
	})
}

func TestStaleReplicasAreAvoided(t *testing.T) {
	relay := relayOf()
	require.Equal(t, "b", relay.next([]string{"b", "c", "a"}))
	relay.passOver("b", true)
	require.Equal(t, "c", relay.next([]string{"b", "c", "a"}))
	relay.passOver("c", true)
	require.Equal(t, "a", relay.next([]string{"b", "c", "a"}))
	relay.passOver("a", true)
	require.Equal(t, "b", relay.next([]string{"b", "c", "a"}), "where none hears anything they are asked in turn")
	relay.passOver("c", false)
	require.Equal(t, "c", relay.next([]string{"b", "c", "a"}))
}

func TestReplicasOfOwnZoneArePolledFirst(t *testing.T) {
	near, other, far := directory.Replica{Address: "near", Zone: "z"}, directory.Replica{Address: "other", Zone: "z"}, directory.Replica{Address: "far", Zone: "y"}
	for turn := range 4 {
		both := relayOf(far, near, other)
		first, second := both.order(turn, 0), both.order(turn, 1)
		require.ElementsMatch(t, []string{"near", "other"}, first[:2])
		require.Equal(t, "far", first[2])
		require.NotEqual(t, first[0], second[0], "two lanes ask two replicas")

		one := relayOf(far, near)
		require.Equal(t, "near", one.order(turn, 0)[0])
		require.Equal(t, "far", one.order(turn, 1)[0], "a lane without a near replica asks another")
	}
	require.Equal(t, []string{"seed"}, relayOf().order(3, 1), "while no group is known")
}

// TestRelayedUpdateDoesNotBecomeFresh holds that replicas which pass on to each other what
// they once heard do not take that for the store's own word.
func TestRelayedUpdateDoesNotBecomeFresh(t *testing.T) {
	relay := relayOf()
	now := time.Unix(100, 0)
	relay.now = func() time.Time { return now }
	_, heard := relay.UpdateAge()
	require.False(t, heard)
	require.False(t, relay.FreshWithin(time.Hour))
	require.False(t, relay.AnsweredWithin(time.Hour))

	relay.note(&replicav1.DirectoryResponse{Heard: true, AgeMs: 500})
	require.True(t, relay.FreshWithin(time.Second))
	now = now.Add(time.Second)
	age, heard := relay.UpdateAge()
	require.True(t, heard)
	require.Equal(t, 1500*time.Millisecond, age, "the age goes on with the time")

	relay.note(&replicav1.DirectoryResponse{Heard: true, AgeMs: uint32(age.Milliseconds())})
	require.True(t, relay.AnsweredWithin(time.Millisecond), "the replica answered")
	require.False(t, relay.FreshWithin(time.Second), "an old word does not become fresh by being told again")
	relay.note(&replicav1.DirectoryResponse{})
	require.False(t, relay.FreshWithin(time.Second))
}

func TestGatewayCountDecreasesAfterTTL(t *testing.T) {
	relay := relayOf()
	now := time.Unix(100, 0)
	relay.now = func() time.Time { return now }
	relay.note(&replicav1.DirectoryResponse{Gateways: 40})
	relay.note(&replicav1.DirectoryResponse{Gateways: 2})
	require.Equal(t, 40, relay.GatewayCount(), "a replica that has just started has heard few")
	now = now.Add(gatewaysMemory + 1)
	relay.note(&replicav1.DirectoryResponse{Gateways: 3})
	require.Equal(t, 3, relay.GatewayCount())
}

// TestPollerIgnoresOlderDrainedZoneLists hears two replicas, of which one is behind.
func TestPollerIgnoresOlderDrainedZoneLists(t *testing.T) {
	relay := relayOf()
	relay.take("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 8, Zones: []string{"a"}}})
	require.True(t, relay.state.View().Drains.Has("a"))
	relay.take("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 7}})
	relay.take("", &replicav1.DirectoryResponse{})
	require.True(t, relay.state.View().Drains.Has("a"))
	relay.take("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 9}})
	require.Empty(t, relay.state.View().Drains.Zones())
}

// TestStartupRequestsWorkerListOnce holds that the replicas which all processes ask first are not
// asked for the whole list by each, and that it comes from one replica, not from two.
func TestStartupRequestsWorkerListOnce(t *testing.T) {
	relay := relayOf()
	now := time.Unix(100, 0)
	relay.now = func() time.Time { return now }
	relay.began = now
	require.EqualValues(t, noWorkers, relay.workersKnown(0), "seeds tell of the groups first")
	relay.state.ApplyPeerGroup(&replicav1.Group{Epoch: 1}, "")
	require.Zero(t, relay.workersKnown(0))
	require.EqualValues(t, noWorkers, relay.workersKnown(1), "one lane is enough")
	now = now.Add(oneLaneFirst)
	require.Zero(t, relay.workersKnown(1), "where the first one is late")
	relay.state.ReplaceWorkers(nil, 7)
	require.EqualValues(t, 7, relay.workersKnown(0))
	require.EqualValues(t, 7, relay.workersKnown(1))

	alone := relayOf()
	alone.now, alone.began = relay.now, now
	now = now.Add(groupsFirst)
	require.Zero(t, alone.workersKnown(0), "where no group forms")
}
