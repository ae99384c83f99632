package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// Writes many records that expire, and compares the state before and after a compaction and a
// restart.
func TestCompactionKeepsLiveRecords(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	opened.minCompactBytes = 1
	identity := &replicav1.Identity{Seat: 1, Incarnation: 7, Recovered: true, Claim: 2}
	group := &replicav1.Group{Epoch: 4, Members: []*replicav1.Member{{Seat: 1, Node: "a", Claim: 2}}}
	workers := &replicav1.WorkerList{Revision: 9, Workers: []*replicav1.Worker{{Id: "i-1"}}}
	require.NoError(t, opened.write(identityRecord(0, identity), groupRecord(group), incarnationRecord(0, 2, 33),
		&replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: &replicav1.Configuration{Version: 5}}},
		&replicav1.Record{Kind: &replicav1.Record_Workers{Workers: workers}},
		&replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: &replicav1.DrainedZoneList{Revision: 12, Zones: []string{"z"}}}}))
	for n := range 300 {
		turn := &replicav1.Turn{Id: fmt.Sprintf("t%d", n), Input: make([]byte, 500)}
		retention := time.Hour
		if n > 0 {
			retention = 0
		}
		record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: turn}, RetentionMs: retention.Milliseconds()}
		require.NoError(t, opened.write(record))
	}
	before := opened.log.Size()
	require.NoError(t, opened.compact(time.Now().Add(time.Minute)))
	require.Less(t, opened.log.Size(), before/10)
	opened.log.Close()

	reopened, err := openState(disk)
	require.NoError(t, err)
	defer reopened.log.Close()
	turns, err := reopened.turnChain(0, "t0")
	require.NoError(t, err)
	require.Len(t, turns, 1)
	require.Len(t, turns[0].Input, 500, "the turn is complete")
	turns, err = reopened.turnChain(0, "t1")
	require.NoError(t, err)
	require.Empty(t, turns)
	require.Equal(t, uint64(7), reopened.partition(0).identity.Incarnation)
	require.True(t, reopened.partition(0).identity.Recovered)
	require.Equal(t, uint64(4), reopened.partition(0).group.Epoch)
	require.Equal(t, uint64(33), reopened.partition(0).seenIncarnations[2])
	require.Equal(t, uint64(5), reopened.configuration.Version)
	require.Equal(t, int64(9), reopened.workers.revision)
	require.Equal(t, int64(12), reopened.drainedZones.Revision)
	require.Equal(t, []string{"z"}, reopened.drainedZones.Zones)
}
