package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func plainTurn(id string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Output: []byte("said " + id)}}, RetentionMs: 60_000}
}

// TestRepeatedWriteToFullDiskIsNotAcknowledged writes the same
// record again, as gateways do, before and after there is room.
func TestRepeatedWriteToFullDiskIsNotAcknowledged(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	disk.SetFreeBytes(10)
	require.Error(t, opened.write(plainTurn("t")))
	require.Error(t, opened.write(plainTurn("t")), "it is not on the disk")
	disk.SetFreeBytes(-1)
	require.NoError(t, opened.write(plainTurn("t")))
	after := disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1)))
	opened.log.Close()
	again, err := openState(after)
	require.NoError(t, err)
	defer again.log.Close()
	turns, err := again.chain(0, "t")
	require.NoError(t, err)
	require.Len(t, turns, 1)
	require.Equal(t, "said t", string(turns[0].Output))
}

// TestPendingBytesAreBoundedOnFullDisk holds that refused records do not fill the memory.
func TestPendingBytesAreBoundedOnFullDisk(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	disk.SetFreeBytes(0)
	for n := range 40 {
		big := plainTurn(string(rune('a' + n)))
		big.GetTurn().Input = make([]byte, maxOwedBytes/4)
		require.Error(t, opened.write(big))
	}
	require.Less(t, opened.log.UnwrittenBytes(), int64(2*maxOwedBytes))
	disk.SetFreeBytes(-1)
	var behind *recordlog.WriteBacklog
	require.ErrorAs(t, opened.write(plainTurn("new")), &behind, "the first one only makes up for the others")
	require.NoError(t, opened.write(plainTurn("new")))
}

// TestUnreadableTurnIsNotReportedAsAbsent damages a turn on the disk.
func TestUnreadableTurnIsNotReportedAsAbsent(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	require.NoError(t, opened.write(plainTurn("t")))
	disk.FlipBit("0000000000000001.log", 20)
	_, err = opened.chain(0, "t")
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
}
