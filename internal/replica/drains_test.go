package replica

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
)

func drainedZonesRecord(revision int64, zones ...string) *replicav1.Record {
	list := &replicav1.DrainedZoneList{Revision: revision, Zones: zones}
	return &replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: list}}
}

// newStoppedReplica opens a data folder without running the replica.
func newStoppedReplica(t *testing.T, folder string) *Replica {
	replica, err := New(Options{Node: "n", Zone: "z", DataFolder: folder, WatchZoneDrains: true}, nil)
	require.NoError(t, err)
	return replica
}

func TestOlderDrainedZoneListIsIgnored(t *testing.T) {
	replica := newStoppedReplica(t, t.TempDir())
	defer replica.state.log.Close()
	require.NoError(t, replica.state.write(drainedZonesRecord(9, "a")))
	size := replica.state.log.Size()
	require.NoError(t, replica.state.write(drainedZonesRecord(8), drainedZonesRecord(9, "b")))
	require.Equal(t, size, replica.state.log.Size(), "nothing was written")
	require.Equal(t, []string{"a"}, replica.state.drainedZones.Zones)
}

// A process that receives no updates must apply the drained zones from its data folder.
func TestDrainedZonesSurvivePowerLoss(t *testing.T) {
	folder := t.TempDir()
	replica := newStoppedReplica(t, folder)
	require.False(t, replica.directory.View().Drains.Known())
	for _, drains := range []struct {
		zones    []string
		revision int64
	}{{[]string{"a", "b"}, 4}, {nil, 7}, {[]string{"c"}, 9}} {
		replica.directory.ReplaceZoneDrains(drains.zones, drains.revision)
		persisted := func() bool {
			replica.state.mutex.Lock()
			defer replica.state.mutex.Unlock()
			return replica.state.drainedZones.GetRevision() == drains.revision
		}
		require.Eventually(t, persisted, time.Minute, time.Millisecond)
		require.NoError(t, replica.state.write(), "everything applied is on the disk")
		replica.state.log.Close()
		replica = newStoppedReplica(t, folder)
		require.ElementsMatch(t, drains.zones, replica.directory.View().Drains.Zones())
		require.Equal(t, drains.revision, replica.directory.View().Drains.Revision)
	}
	replica.state.log.Close()
}

// The calls may wait longer than the test may run.
func TestZoneDrainEndsWaitingDirectoryCall(t *testing.T) {
	state := directory.NewState(time.Now, nil)
	server := &service{
		directory: state, gateways: newGatewayRegistry(time.Now), nodes: newNodeRegistry(), workerObservations: newWorkerObservations(time.Now),
		quarantine: newQuarantineHub(quarantine.NewTable(time.Now), time.Now), storeViewAge: func() (time.Duration, bool) { return 0, true },
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	state.ReplaceZoneDrains([]string{"a"}, 3)
	queryDrains := func(revision int64) *replicav1.DrainedZoneList {
		request := &replicav1.DirectoryRequest{DrainedZonesRevision: revision, PatienceMs: uint32(time.Hour.Milliseconds())}
		response, err := server.Directory(ctx, connect.NewRequest(request))
		require.NoError(t, err)
		return response.Msg.DrainedZones
	}
	require.Equal(t, []string{"a"}, queryDrains(0).Zones, "a caller that knows nothing gets the list immediately")
	answers := make(chan *replicav1.DrainedZoneList)
	for _, revision := range []int64{3, 2} {
		go func() { answers <- queryDrains(revision) }()
		if revision == 3 {
			state.ReplaceZoneDrains(nil, 5)
		}
		answer := <-answers
		require.EqualValues(t, 5, answer.Revision)
		require.Empty(t, answer.Zones, "the drain was canceled")
	}
}
