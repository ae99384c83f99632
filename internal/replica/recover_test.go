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

// transferred is a group of three in which seat 0 has moved from "a" to "d".
func transferred() *replicav1.Group {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "d"))
	seen.healthy, seen.settled = except("a"), except("a")
	return nextGroup(seen)
}

func TestSeatIsCopiedOnlyFromFencedPredecessor(t *testing.T) {
	group := transferred()
	member := group.Members[0]
	good := func() *replicav1.Standing {
		return &replicav1.Standing{Epoch: group.Epoch, Seat: member.Seat, Claim: firstEpoch, Recovered: true}
	}
	require.True(t, passesSeatOn(group, member, good()))
	for name, spoil := range map[string]func(*replicav1.Standing){
		"it does not know yet that it has lost the seat": func(s *replicav1.Standing) { s.Epoch-- },
		"it still is a member":                           func(s *replicav1.Standing) { s.Member = true },
		"it had not recovered":                           func(s *replicav1.Standing) { s.Recovered = false },
		"its folder was begun for another seat":          func(s *replicav1.Standing) { s.Seat++ },
		"it held the seat at another time":               func(s *replicav1.Standing) { s.Claim++ },
	} {
		standing := good()
		spoil(standing)
		require.False(t, passesSeatOn(group, member, standing), name)
	}
	received := receivedGroup(group, member.Seat, 5)
	standing := good()
	standing.Epoch = received.Epoch
	require.False(t, passesSeatOn(received, received.Members[0], standing), "the seat's holder may have acknowledged more")
	require.Len(t, recoverySources(received, received.Members[0]), 2)
	require.Len(t, recoverySources(group, member), 3)
}

// TestNewHolderForgetsIncarnationsSeenInItsSeat: it was told of the holder before, kept
// that, and no majority with it ever counted together (RECOVER on hofbauer-nom scale-1,
// after the two other members had lost a disk and a machine).
func TestNewHolderForgetsIncarnationsSeenInItsSeat(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	group := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	require.NoError(t, opened.write(incarnationRecord(0, 1, 11), incarnationRecord(0, 2, 22), groupRecord(group)))
	taken := &replicav1.Identity{Seat: 1, Claim: 2, Incarnation: 33, Recovered: true}
	require.NoError(t, opened.write(identityRecord(0, taken)))
	other := &replicav1.Standing{
		Epoch: 2, Member: true, Recovered: true, Seat: 2, Incarnation: 22, Seen: []*replicav1.SeatIncarnation{{Seat: 1, Incarnation: 33}},
	}
	require.True(t, quorum.Consistent(2, []*replicav1.Standing{opened.standing(0, 2), other}))

	// What is seen of the seat from then on is of a holder after this one.
	require.NoError(t, opened.write(incarnationRecord(0, 1, 44)))
	require.False(t, quorum.Consistent(2, []*replicav1.Standing{opened.standing(0, 2)}))
	opened.log.Close()
	again, err := openState(disk)
	require.NoError(t, err)
	defer again.log.Close()
	require.False(t, quorum.Consistent(2, []*replicav1.Standing{again.standing(0, 2)}), "also after a restart")
}

// TestLateAnnouncementOfFormerHolderIsIgnored: it comes when the seat has moved on, also
// at the node that holds it now.
func TestLateAnnouncementOfFormerHolderIsIgnored(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer opened.log.Close()
	moved := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{{Seat: 1, Node: "d", Claim: 2}, {Seat: 2, Node: "c", Claim: 1}}}
	before := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 1, Node: "a", Claim: 1}, {Seat: 2, Node: "c", Claim: 1}}}
	require.NoError(t, opened.write(groupRecord(moved), identityRecord(0, &replicav1.Identity{Seat: 1, Claim: 2, Incarnation: 33, Recovered: true})))
	holder := &service{state: opened, directory: directory.NewState(time.Now, nil), peers: newFailureDetector(time.Now), roster: newRoster(time.Now)}

	late := &replicav1.AnnounceRequest{Group: before, Node: "a", Seat: 1, Incarnation: 11}
	_, err = holder.Announce(context.Background(), connect.NewRequest(late))
	require.NoError(t, err)
	require.Empty(t, opened.standing(0, 2).Seen)

	_, err = holder.Pull(context.Background(), connect.NewRequest(&replicav1.PullRequest{Epoch: 1, Seat: 1, Incarnation: 11, Claim: 1}))
	var stale *StaleGroup
	require.ErrorAs(t, err, &stale)
	require.Empty(t, opened.standing(0, 2).Seen)
}

// TestGrowingGroupToleratesDiskLoss: a group of two grew to three, one of the two lost
// its disk before the third had copied anything, and two of three were nothing for ever
// (RECOVER on hofbauer-nom scale-1, seconds 21 to 24).
func TestGrowingGroupToleratesDiskLoss(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	removeSeat(group, 0)
	grown := nextGroup(seenAll(group, nodes("b", "c", "d")))
	require.Equal(t, []string{"b", "c", "d"}, memberNames(grown))
	require.Equal(t, 2, quorum.VoterCount(grown), "the new one counts once it has received what the others hold")

	left := &replicav1.Standing{
		Epoch: grown.Epoch, Member: true, Recovered: true, Seat: grown.Members[1].Seat, Incarnation: 7,
	}
	require.NotNil(t, enoughToRecover(grown, grown.Members[0], []*replicav1.Standing{left}), "the emptied one")
	require.NotNil(t, enoughToRecover(grown, grown.Members[2], []*replicav1.Standing{left}), "the new one")
	require.Equal(t, "c", recoverySources(grown, grown.Members[0])[0].Node)
	require.Len(t, recoverySources(grown, grown.Members[0]), 1, "a new one has nothing to give")

	joined := receivedGroup(grown, grown.Members[2].Seat, 9)
	require.Equal(t, 3, quorum.VoterCount(joined))
}
