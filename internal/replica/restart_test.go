package replica

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// restartedSeatRecovery returns the seat recovery of a process of node "d" that has just started on
// a disk.
func restartedSeatRecovery(t *testing.T, disk *recordlogtest.Disk) *seatRecovery {
	opened, err := openState(disk)
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	directoryState := directory.NewState(time.Now, nil)
	return &seatRecovery{replica: &Replica{
		options: Options{Node: "d"}, state: opened, directory: directoryState, copySlots: make(chan struct{}, maxConcurrentCopies),
		quorum: quorum.NewClient(directoryState, "zone-d", http.DefaultClient), peers: newFailureDetector(time.Now),
	}}
}

// A node received its seat, the group that says so was agreed, and the node's process ended before
// it learned of the group. After a restart it continues with the older group on its disk. A new
// incarnation would not match the agreed one: the node would vote without having received anything,
// and a further disk loss would leave one recovered member of three.
func TestRestartKeepsAgreedIncarnation(t *testing.T) {
	disk := recordlogtest.NewDisk()
	group := groupInTransfer()
	identity := &replicav1.Identity{Seat: group.Members[0].Seat, Claim: group.Members[0].Claim, Incarnation: 33}
	firstRun, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, firstRun.write(groupRecord(group), identityRecord(0, identity)))
	firstRun.log.Close()

	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	recovery := restartedSeatRecovery(t, disk)
	recovery.step(canceledCtx, group, group.Members[0])
	agreed := groupWithTransferComplete(group, identity.Seat, identity.Incarnation)
	require.NoError(t, recovery.replica.state.write(groupRecord(agreed)))
	recovery.step(canceledCtx, agreed, agreed.Members[0])
	standing := recovery.replica.state.standing(0, agreed.Epoch)
	require.True(t, standing.Recovered)
	require.Equal(t, identity.Incarnation, standing.Incarnation)
}

// The standing would otherwise contradict itself permanently.
func TestRegainedSeatForgetsSeenIncarnation(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer opened.log.Close()
	held := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 1, Node: "a", Claim: 1}, {Seat: 2, Node: "c", Claim: 1}}}
	transferred := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	regained := &replicav1.Group{Epoch: 3, Members: held.Members}
	require.NoError(t, opened.write(groupRecord(held), identityRecord(0, &replicav1.Identity{Seat: 1, Claim: 1, Incarnation: 11, Recovered: true})))
	require.NoError(t, opened.write(groupRecord(transferred), incarnationRecord(0, 1, 22), groupRecord(regained)))
	require.True(t, quorum.Consistent(3, []*replicav1.Standing{opened.standing(0, 3)}))
}
