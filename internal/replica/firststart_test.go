package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// Guards against seats that wait for ever for records that nobody has, and against emptied ones that wait for none.
func TestOnlyAFolderFromTheFirstStartStartsItsFirstSeatWithoutACopy(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	successor := &replicav1.Member{Seat: 0, Node: "a", Claim: firstEpoch + 1}
	disk := recordlogtest.NewDisk()
	open := func(files *recordlogtest.Disk, bootstrap bool) *Replica {
		opened, err := openState(files)
		require.NoError(t, err)
		opened.minCompactBytes = 1
		replica := &Replica{options: Options{Node: "a", Bootstrap: bootstrap}, state: opened, writeFailures: newWriteFailures(time.Now)}
		replica.markFirstStart()
		return replica
	}
	first := open(disk, true)
	require.True(t, first.hasNothingToRecover(group, group.Members[0], nil))
	first.state.log.Close()

	restarted := open(disk, false)
	require.NoError(t, restarted.state.compact(time.Now()))
	require.True(t, restarted.hasNothingToRecover(group, group.Members[0], nil), "the folder remembers it")
	require.False(t, restarted.hasNothingToRecover(group, successor, nil), "the seat was another's before")
	restarted.state.log.Close()

	emptied := open(recordlogtest.NewDisk(), false)
	defer emptied.state.log.Close()
	require.False(t, emptied.hasNothingToRecover(group, group.Members[0], nil), "the folder may have held records")
	require.False(t, emptied.state.isFromFirstStart())
}
