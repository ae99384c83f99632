package quorum

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// newTestPoller returns a poller for a process in zone "z" with the given sources.
func newTestPoller(sources ...directory.Replica) *DirectoryPoller {
	return NewDirectoryPoller(NewClient(nil, "z", http.DefaultClient), directory.NewState(time.Now, nil), DirectoryPollerOptions{
		Seeds: []string{"seed"}, Sources: func() []directory.Replica { return sources },
	})
}

func TestStaleReplicasAreAvoided(t *testing.T) {
	poller := newTestPoller()
	require.Equal(t, "b", poller.nextAddress([]string{"b", "c", "a"}))
	poller.recordStaleness("b", true)
	require.Equal(t, "c", poller.nextAddress([]string{"b", "c", "a"}))
	poller.recordStaleness("c", true)
	require.Equal(t, "a", poller.nextAddress([]string{"b", "c", "a"}))
	poller.recordStaleness("a", true)
	require.Equal(t, "b", poller.nextAddress([]string{"b", "c", "a"}), "if all are stale, the first one is returned")
	poller.recordStaleness("c", false)
	require.Equal(t, "c", poller.nextAddress([]string{"b", "c", "a"}))
}

func TestReplicasOfOwnZoneArePolledFirst(t *testing.T) {
	local, secondLocal, remote := directory.Replica{Address: "near", Zone: "z"}, directory.Replica{Address: "other", Zone: "z"}, directory.Replica{Address: "far", Zone: "y"}
	for iteration := range 4 {
		twoLocal := newTestPoller(remote, local, secondLocal)
		first, second := twoLocal.addressOrder(iteration, 0), twoLocal.addressOrder(iteration, 1)
		require.ElementsMatch(t, []string{"near", "other"}, first[:2])
		require.Equal(t, "far", first[2])
		require.NotEqual(t, first[0], second[0], "two loops must start with different replicas")

		oneLocal := newTestPoller(remote, local)
		require.Equal(t, "near", oneLocal.addressOrder(iteration, 0)[0])
		require.Equal(t, "far", oneLocal.addressOrder(iteration, 1)[0], "a loop without a local replica must start with another one")
	}
	require.Equal(t, []string{"seed"}, newTestPoller().addressOrder(3, 1), "seeds are polled while no group is known")
}

// TestRelayedUpdateDoesNotBecomeFresh checks that replicas which pass an old update to each other
// do not treat it as a fresh answer of the store.
func TestRelayedUpdateDoesNotBecomeFresh(t *testing.T) {
	poller := newTestPoller()
	now := time.Unix(100, 0)
	poller.now = func() time.Time { return now }
	_, known := poller.UpdateAge()
	require.False(t, known)
	require.False(t, poller.FreshWithin(time.Hour))
	require.False(t, poller.AnsweredWithin(time.Hour))

	poller.recordResponse(&replicav1.DirectoryResponse{Heard: true, AgeMs: 500})
	require.True(t, poller.FreshWithin(time.Second))
	now = now.Add(time.Second)
	age, known := poller.UpdateAge()
	require.True(t, known)
	require.Equal(t, 1500*time.Millisecond, age, "the age must increase with time")

	poller.recordResponse(&replicav1.DirectoryResponse{Heard: true, AgeMs: uint32(age.Milliseconds())})
	require.True(t, poller.AnsweredWithin(time.Millisecond), "the replica has answered")
	require.False(t, poller.FreshWithin(time.Second), "repeating an old update must not make it fresh")
	poller.recordResponse(&replicav1.DirectoryResponse{})
	require.False(t, poller.FreshWithin(time.Second))
}

func TestGatewayCountDecreasesAfterTTL(t *testing.T) {
	poller := newTestPoller()
	now := time.Unix(100, 0)
	poller.now = func() time.Time { return now }
	poller.recordResponse(&replicav1.DirectoryResponse{Gateways: 40})
	poller.recordResponse(&replicav1.DirectoryResponse{Gateways: 2})
	require.Equal(t, 40, poller.GatewayCount(), "a replica that has just started knows few gateways")
	now = now.Add(gatewayCountTTL + 1)
	poller.recordResponse(&replicav1.DirectoryResponse{Gateways: 3})
	require.Equal(t, 3, poller.GatewayCount())
}

// TestPollerIgnoresOlderDrainedZoneLists applies the updates of two replicas, one of which has an
// older list.
func TestPollerIgnoresOlderDrainedZoneLists(t *testing.T) {
	poller := newTestPoller()
	poller.apply("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 8, Zones: []string{"a"}}})
	require.True(t, poller.state.View().Drains.Has("a"))
	poller.apply("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 7}})
	poller.apply("", &replicav1.DirectoryResponse{})
	require.True(t, poller.state.View().Drains.Has("a"))
	poller.apply("", &replicav1.DirectoryResponse{DrainedZones: &replicav1.DrainedZoneList{Revision: 9}})
	require.Empty(t, poller.state.View().Drains.Zones())
}

// TestStartupRequestsWorkerListOnce checks that starting processes do not all request the whole
// worker list from the seed replicas, and that each process requests it from one replica, not
// from two.
func TestStartupRequestsWorkerListOnce(t *testing.T) {
	poller := newTestPoller()
	now := time.Unix(100, 0)
	poller.now = func() time.Time { return now }
	poller.startedAt = now
	require.EqualValues(t, skipWorkersRevision, poller.requestedWorkersRevision(0), "only groups are requested from seeds at first")
	poller.state.ApplyPeerGroup(&replicav1.Group{Epoch: 1}, "")
	require.Zero(t, poller.requestedWorkersRevision(0))
	require.EqualValues(t, skipWorkersRevision, poller.requestedWorkersRevision(1), "only the first loop requests workers at first")
	now = now.Add(workersDelayOtherLoops)
	require.Zero(t, poller.requestedWorkersRevision(1), "the second loop requests workers if the first one is late")
	poller.state.ReplaceWorkers(nil, 7)
	require.EqualValues(t, 7, poller.requestedWorkersRevision(0))
	require.EqualValues(t, 7, poller.requestedWorkersRevision(1))

	withoutGroup := newTestPoller()
	withoutGroup.now, withoutGroup.startedAt = poller.now, now
	now = now.Add(workersDelayWithoutGroup)
	require.Zero(t, withoutGroup.requestedWorkersRevision(0), "workers are requested after the delay even without a group")
}
