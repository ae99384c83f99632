package replica

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// groupInTransfer returns a group of three in which seat 0 was transferred from "a" to "d".
func groupInTransfer() *replicav1.Group {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "d"))
	status.isHealthy, status.isInSync = allExcept("a"), allExcept("a")
	return nextGroup(status)
}

func TestSeatIsCopiedOnlyFromFencedPredecessor(t *testing.T) {
	group := groupInTransfer()
	member := group.Members[0]
	validStanding := func() *replicav1.Standing {
		return &replicav1.Standing{Epoch: group.Epoch, Seat: member.Seat, Claim: firstEpoch, Recovered: true}
	}
	require.True(t, isPreviousHolder(group, member, validStanding()))
	for name, modify := range map[string]func(*replicav1.Standing){
		"it does not know that it has lost the seat": func(s *replicav1.Standing) { s.Epoch-- },
		"it is still a member":                       func(s *replicav1.Standing) { s.Member = true },
		"it is not recovered":                        func(s *replicav1.Standing) { s.Recovered = false },
		"its identity is for another seat":           func(s *replicav1.Standing) { s.Seat++ },
		"its claim is another one":                   func(s *replicav1.Standing) { s.Claim++ },
	} {
		standing := validStanding()
		modify(standing)
		require.False(t, isPreviousHolder(group, member, standing), name)
	}
	received := groupWithTransferComplete(group, member.Seat, 5)
	standing := validStanding()
	standing.Epoch = received.Epoch
	require.False(t, isPreviousHolder(received, received.Members[0], standing), "the seat's holder may have acknowledged more")
	require.Len(t, recoverySources(received, received.Members[0]), 2)
	require.Len(t, recoverySources(group, member), 3)
}

// The node kept the incarnation of the previous holder, and no majority that included the node ever
// counted together (test RECOVER on hofbauer-nom scale-1, after the two other members had lost a
// disk and a machine).
func TestNewHolderForgetsIncarnationsSeenInItsSeat(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	group := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	require.NoError(t, opened.write(incarnationRecord(0, 1, 11), incarnationRecord(0, 2, 22), groupRecord(group)))
	identity := &replicav1.Identity{Seat: 1, Claim: 2, Incarnation: 33, Recovered: true}
	require.NoError(t, opened.write(identityRecord(0, identity)))
	other := &replicav1.Standing{
		Epoch: 2, Member: true, Recovered: true, Seat: 2, Incarnation: 22, Seen: []*replicav1.SeatIncarnation{{Seat: 1, Incarnation: 33}},
	}
	require.True(t, quorum.Consistent(2, []*replicav1.Standing{opened.standing(0, 2), other}))

	// Incarnations seen in the seat from now on belong to a later holder.
	require.NoError(t, opened.write(incarnationRecord(0, 1, 44)))
	require.False(t, quorum.Consistent(2, []*replicav1.Standing{opened.standing(0, 2)}))
	opened.log.Close()
	reopened, err := openState(disk)
	require.NoError(t, err)
	defer reopened.log.Close()
	require.False(t, quorum.Consistent(2, []*replicav1.Standing{reopened.standing(0, 2)}), "also after a restart")
}

// The announcement arrives after the seat was transferred, also at the node that now holds it.
func TestLateAnnouncementOfFormerHolderIsIgnored(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer opened.log.Close()
	transferred := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	earlier := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 1, Node: "a", Claim: 1}, {Seat: 2, Node: "c", Claim: 1}}}
	require.NoError(t, opened.write(groupRecord(transferred), identityRecord(0, &replicav1.Identity{Seat: 1, Claim: 2, Incarnation: 33, Recovered: true})))
	server := &service{state: opened, directory: directory.NewState(time.Now, nil), peers: newFailureDetector(time.Now), gateways: newGatewayRegistry(time.Now)}

	late := &replicav1.AnnounceRequest{Group: earlier, Node: "a", Seat: 1, Incarnation: 11}
	_, err = server.Announce(context.Background(), connect.NewRequest(late))
	require.NoError(t, err)
	require.Empty(t, opened.standing(0, 2).Seen)

	_, err = server.Pull(context.Background(), connect.NewRequest(&replicav1.PullRequest{Epoch: 1, Seat: 1, Incarnation: 11, Claim: 1}))
	var stale *StaleGroup
	require.ErrorAs(t, err, &stale)
	require.Empty(t, opened.standing(0, 2).Seen)
}

// A group of two grew to three. One of the two lost its disk before the third had copied anything,
// and two of three members could never recover (test RECOVER on hofbauer-nom scale-1, seconds 21 to
// 24).
func TestGrowingGroupToleratesDiskLoss(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	removeSeat(group, 0)
	grown := nextGroup(statusAllInSync(group, nodes("b", "c", "d")))
	require.Equal(t, []string{"b", "c", "d"}, memberNames(grown))
	require.Equal(t, 2, quorum.VoterCount(grown), "the new member cannot vote before it has received the records")

	remaining := &replicav1.Standing{
		Epoch: grown.Epoch, Member: true, Recovered: true, Seat: grown.Members[1].Seat, Incarnation: 7,
	}
	require.NotNil(t, sufficientSources(grown, grown.Members[0], []*replicav1.Standing{remaining}), "the member that lost its disk")
	require.NotNil(t, sufficientSources(grown, grown.Members[2], []*replicav1.Standing{remaining}), "the new member")
	require.Equal(t, "c", recoverySources(grown, grown.Members[0])[0].Node)
	require.Len(t, recoverySources(grown, grown.Members[0]), 1, "a new member has no records to copy")

	joined := groupWithTransferComplete(grown, grown.Members[2].Seat, 9)
	require.Equal(t, 3, quorum.VoterCount(joined))
}
