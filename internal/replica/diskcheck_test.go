package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func TestDiskCheckFindsAFullDiskThatNothingElseIsWrittenTo(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	defer opened.log.Close()
	disk.SetFreeBytes(0)
	time.Sleep(diskCheckInterval)
	require.False(t, opened.diskUnavailable())
	require.Error(t, opened.checkDisk())
	require.True(t, opened.diskUnavailable())
	disk.SetFreeBytes(-1)
	require.NoError(t, opened.checkDisk())
	require.False(t, opened.diskUnavailable())
}

func TestDiskCheckWritesNothingBesideOtherWrites(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer opened.log.Close()
	require.NoError(t, opened.write(smallTurnRecord("t")))
	size := opened.log.Size()
	require.NoError(t, opened.checkDisk())
	require.Equal(t, size, opened.log.Size())
}

func TestDiskChecksAreNoRecordsOfTheState(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, opened.write(smallTurnRecord("t")))
	time.Sleep(diskCheckInterval)
	size := opened.log.Size()
	require.NoError(t, opened.checkDisk())
	require.Greater(t, opened.log.Size(), size)
	opened.log.Close()
	reopened, err := openState(disk)
	require.NoError(t, err)
	defer reopened.log.Close()
	require.Equal(t, 1, reopened.recordCount())
}
