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

// restartedSeat is the seat of a process of node "d" that has just started on a disk.
func restartedSeat(t *testing.T, disk *recordlogtest.Disk) *seat {
	opened, err := openState(disk)
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	known := directory.NewState(time.Now, nil)
	return &seat{replica: &Replica{
		options: Options{Node: "d"}, state: opened, directory: known, copies: make(chan struct{}, maxCopies),
		quorum: quorum.NewClient(known, "zone-d", http.DefaultClient), peers: newFailureDetector(time.Now),
	}}
}

// TestRestartKeepsAgreedIncarnation: a node received its seat, the group that says
// so was agreed, and its process ended before it knew. Started again it goes on from the group
// on its disk, which is older. A new incarnation there would be one that nobody agreed on: the
// node would count among the members with nothing received, and the loss of another disk
// would leave one whole member of three.
func TestRestartKeepsAgreedIncarnation(t *testing.T) {
	disk := recordlogtest.NewDisk()
	group := transferred()
	taken := &replicav1.Identity{Seat: group.Members[0].Seat, Claim: group.Members[0].Claim, Incarnation: 33}
	before, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, before.write(groupRecord(group), identityRecord(0, taken)))
	before.log.Close()

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	seat := restartedSeat(t, disk)
	seat.fill(ended, group, group.Members[0])
	agreed := receivedGroup(group, taken.Seat, taken.Incarnation)
	require.NoError(t, seat.replica.state.write(groupRecord(agreed)))
	seat.fill(ended, agreed, agreed.Members[0])
	standing := seat.replica.state.standing(0, agreed.Epoch)
	require.True(t, standing.Recovered)
	require.Equal(t, taken.Incarnation, standing.Incarnation)
}

// It would have contradicted itself for ever.
func TestRegainedSeatForgetsSeenIncarnation(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer opened.log.Close()
	held := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 1, Node: "a", Claim: 1}, {Seat: 2, Node: "c", Claim: 1}}}
	passed := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	back := &replicav1.Group{Epoch: 3, Members: held.Members}
	require.NoError(t, opened.write(groupRecord(held), identityRecord(0, &replicav1.Identity{Seat: 1, Claim: 1, Incarnation: 11, Recovered: true})))
	require.NoError(t, opened.write(groupRecord(passed), incarnationRecord(0, 1, 22), groupRecord(back)))
	require.True(t, quorum.Consistent(3, []*replicav1.Standing{opened.standing(0, 3)}))
}
