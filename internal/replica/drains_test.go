package replica

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func drainedZonesRecord(revision int64, zones ...string) *replicav1.Record {
	list := &replicav1.DrainedZoneList{Revision: revision, Zones: zones}
	return &replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: list}}
}

// unstartedReplica opens a folder and follows nothing.
func unstartedReplica(t *testing.T, folder string) *Replica {
	opened, err := New(Options{Node: "n", Zone: "z", DataFolder: folder, WatchZoneDrains: true}, nil)
	require.NoError(t, err)
	return opened
}

func TestOlderDrainedZoneListIsIgnored(t *testing.T) {
	opened := unstartedReplica(t, t.TempDir())
	defer opened.state.log.Close()
	require.NoError(t, opened.state.write(drainedZonesRecord(9, "a")))
	size := opened.state.log.Size()
	require.NoError(t, opened.state.write(drainedZonesRecord(8), drainedZonesRecord(9, "b")))
	require.Equal(t, size, opened.state.log.Size(), "nothing was written")
	require.Equal(t, []string{"a"}, opened.state.drainedZones.Zones)
}

// TestDrainedZonesSurvivePowerLoss offers what the folder holds to a process that
// hears nothing else.
func TestDrainedZonesSurvivePowerLoss(t *testing.T) {
	folder := t.TempDir()
	opened := unstartedReplica(t, folder)
	require.False(t, opened.directory.View().Drains.Known())
	for _, known := range []struct {
		zones    []string
		revision int64
	}{{[]string{"a", "b"}, 4}, {nil, 7}, {[]string{"c"}, 9}} {
		opened.directory.ReplaceZoneDrains(known.zones, known.revision)
		kept := func() bool {
			opened.state.mutex.Lock()
			defer opened.state.mutex.Unlock()
			return opened.state.drainedZones.GetRevision() == known.revision
		}
		require.Eventually(t, kept, time.Minute, time.Millisecond)
		require.NoError(t, opened.state.write(), "all that was applied is on the disk")
		opened.state.log.Close()
		opened = unstartedReplica(t, folder)
		require.ElementsMatch(t, known.zones, opened.directory.View().Drains.Zones())
		require.Equal(t, known.revision, opened.directory.View().Drains.Revision)
	}
	opened.state.log.Close()
}

// TestZoneDrainEndsWaitingDirectoryCall asks with a patience that is longer than the test may
// take.
func TestZoneDrainEndsWaitingDirectoryCall(t *testing.T) {
	state := directory.NewState(time.Now, nil)
	asked := &service{
		directory: state, roster: newRoster(time.Now), followers: newFollowed(), observations: newObservations(time.Now),
		age: func() (time.Duration, bool) { return 0, true },
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	state.ReplaceZoneDrains([]string{"a"}, 3)
	ask := func(revision int64) *replicav1.DrainedZoneList {
		request := &replicav1.DirectoryRequest{DrainedZonesRevision: revision, PatienceMs: uint32(time.Hour.Milliseconds())}
		response, err := asked.Directory(ctx, connect.NewRequest(request))
		require.NoError(t, err)
		return response.Msg.DrainedZones
	}
	require.Equal(t, []string{"a"}, ask(0).Zones, "one that knows nothing is told at once")
	answers := make(chan *replicav1.DrainedZoneList)
	for _, revision := range []int64{3, 2} {
		go func() { answers <- ask(revision) }()
		if revision == 3 {
			state.ReplaceZoneDrains(nil, 5)
		}
		answer := <-answers
		require.EqualValues(t, 5, answer.Revision)
		require.Empty(t, answer.Zones, "taken back")
	}
}
