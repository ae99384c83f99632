package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func smallTurnRecord(id string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Output: []byte("said " + id)}}, RetentionMs: 60_000}
}

// Gateways repeat a write. The repeated record must not be acknowledged before the disk has room
// for it.
func TestRepeatedWriteToFullDiskIsNotAcknowledged(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	disk.SetFreeBytes(10)
	require.Error(t, opened.write(smallTurnRecord("t")))
	require.Error(t, opened.write(smallTurnRecord("t")), "the record is not on the disk")
	disk.SetFreeBytes(-1)
	require.NoError(t, opened.write(smallTurnRecord("t")))
	after := disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1)))
	opened.log.Close()
	reopened, err := openState(after)
	require.NoError(t, err)
	defer reopened.log.Close()
	turns, err := reopened.turnChain(0, "t")
	require.NoError(t, err)
	require.Len(t, turns, 1)
	require.Equal(t, "said t", string(turns[0].Output))
}

// Refused records must not fill the memory.
func TestPendingBytesAreBoundedOnFullDisk(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	disk.SetFreeBytes(0)
	for n := range 40 {
		big := smallTurnRecord(string(rune('a' + n)))
		big.GetTurn().Input = make([]byte, maxPendingBytes/4)
		require.Error(t, opened.write(big))
	}
	require.Less(t, opened.log.UnwrittenBytes(), int64(2*maxPendingBytes))
	disk.SetFreeBytes(-1)
	var behind *recordlog.WriteBacklog
	require.ErrorAs(t, opened.write(smallTurnRecord("new")), &behind, "the first write only flushes the pending records")
	require.NoError(t, opened.write(smallTurnRecord("new")))
}

// The test damages a turn on the disk.
func TestUnreadableTurnIsNotReportedAsAbsent(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	require.NoError(t, opened.write(smallTurnRecord("t")))
	disk.FlipBit("0000000000000001.log", 20)
	_, err = opened.turnChain(0, "t")
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
}

// A member whose disk took nothing was as healthy to the others as one that stores records.
func TestMemberWhoseDiskIsUnavailableFailsLikeASilentOne(t *testing.T) {
	now := time.Unix(1000, 0)
	detector := newFailureDetector(func() time.Time { return now })
	detector.observe("full")
	for range int(failedAfter / announceInterval) {
		now = now.Add(announceInterval)
		detector.observeDiskUnavailable("full")
	}
	require.False(t, detector.isHealthy("full"))
	require.False(t, detector.hasFailed("full"), "it may still recover")
	now = now.Add(announceInterval)
	require.True(t, detector.hasFailed("full"))
	require.True(t, detector.report("full", 0).DiskUnavailable)
	detector.observe("full")
	require.True(t, detector.isHealthy("full"))
	require.False(t, detector.report("full", 0).DiskUnavailable)
}

func TestDiskIsUnavailableWhileItRejectsWrites(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	require.False(t, opened.diskUnavailable())
	disk.SetFreeBytes(10)
	require.Error(t, opened.write(smallTurnRecord("t")))
	require.True(t, opened.diskUnavailable())
	disk.SetFreeBytes(-1)
	require.NoError(t, opened.write())
	require.False(t, opened.diskUnavailable())
}
