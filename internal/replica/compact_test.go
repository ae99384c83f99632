package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// TestCompactionKeepsLiveRecords writes much that expires, and
// compares the state before and after a compaction and a restart.
func TestCompactionKeepsLiveRecords(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	opened.compactFrom = 1
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

	again, err := openState(disk)
	require.NoError(t, err)
	defer again.log.Close()
	turns, err := again.chain(0, "t0")
	require.NoError(t, err)
	require.Len(t, turns, 1)
	require.Len(t, turns[0].Input, 500, "the whole turn is there")
	turns, err = again.chain(0, "t1")
	require.NoError(t, err)
	require.Empty(t, turns)
	require.Equal(t, uint64(7), again.partition(0).identity.Incarnation)
	require.True(t, again.partition(0).identity.Recovered)
	require.Equal(t, uint64(4), again.partition(0).group.Epoch)
	require.Equal(t, uint64(33), again.partition(0).seen[2])
	require.Equal(t, uint64(5), again.configuration.Version)
	require.Equal(t, int64(9), again.workers.revision)
	require.Equal(t, int64(12), again.drainedZones.Revision)
	require.Equal(t, []string{"z"}, again.drainedZones.Zones)
}
