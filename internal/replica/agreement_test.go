package replica

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// newAcceptor returns the service of a replica that holds the first seat of a group of three.
func newAcceptor(t *testing.T) (*service, *replicav1.Group) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	group.System, group.Agreed = 7, true
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(func() { opened.log.Close() })
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, &replicav1.Identity{Incarnation: 5, Claim: firstEpoch, Recovered: true})))
	known := directory.NewState(time.Now, nil)
	known.ApplyGroup(group, directory.SourceDisk)
	return &service{node: "a", state: opened, directory: known, peers: newFailureDetector(time.Now)}, group
}

// groupAfter returns a group that may follow another one.
func groupAfter(group *replicav1.Group) *replicav1.Group {
	next := proto.CloneOf(group)
	next.Epoch++
	return next
}

func agreeWith(acceptor *service, request *replicav1.AgreeRequest) (*replicav1.AgreeResponse, error) {
	response, err := acceptor.Agree(context.Background(), connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func TestAcceptorRefusesLowerBallotsAndOtherEpochs(t *testing.T) {
	acceptor, group := newAcceptor(t)
	promised, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: group, Ballot: 9})
	require.NoError(t, err)
	require.True(t, promised.Granted)
	for _, ballot := range []uint64{8, 9} {
		again, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: group, Ballot: ballot})
		require.NoError(t, err)
		require.False(t, again.Granted)
		require.Equal(t, uint64(9), again.Agreement.Promised)
	}
	next := groupAfter(group)
	accepted, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: group, Ballot: 9, Next: next})
	require.NoError(t, err)
	require.True(t, accepted.Granted)
	require.Equal(t, uint64(9), accepted.Agreement.Accepted)
	later, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: next, Ballot: 3})
	require.NoError(t, err)
	require.True(t, later.Granted, "the ballots of another epoch do not count")
	earlier, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: group, Ballot: 20})
	require.NoError(t, err)
	require.False(t, earlier.Granted)
}

func TestAcceptorRefusesAcceptThatRestsOnLostPromise(t *testing.T) {
	acceptor, group := newAcceptor(t)
	require.NoError(t, acceptor.state.write(incarnationRecord(0, 1, 11)))
	request := &replicav1.AgreeRequest{Group: group, Ballot: 9, Next: groupAfter(group)}
	request.Promises = []*replicav1.SeatIncarnation{{Seat: 1, Incarnation: 10}}
	refused, err := agreeWith(acceptor, request)
	require.NoError(t, err)
	require.False(t, refused.Granted)
	request.Promises[0].Incarnation = 11
	accepted, err := agreeWith(acceptor, request)
	require.NoError(t, err)
	require.True(t, accepted.Granted)
}

func TestAcceptorRejectsProposalOfAnotherSystemOrWithoutGroup(t *testing.T) {
	acceptor, group := newAcceptor(t)
	foreign := groupAfter(group)
	foreign.System = 8
	for _, sent := range []*replicav1.Group{foreign, nil} {
		_, err := agreeWith(acceptor, &replicav1.AgreeRequest{Group: sent, Ballot: 9})
		require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	}
	require.Equal(t, group.Epoch, acceptor.state.currentGroup(0).Epoch)
	acceptor.directory = directory.NewState(time.Now, nil)
	acceptor.directory.SetUnverifiedGroupHandler(func(*replicav1.Group) {})
	empty, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	defer empty.log.Close()
	acceptor.state = empty
	_, err = agreeWith(acceptor, &replicav1.AgreeRequest{Group: group, Ballot: 9})
	require.Error(t, err)
	require.Nil(t, empty.currentGroup(0), "a group is stored only once its system is known")
}

func TestVotesSurviveRestart(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	group.Agreed = true
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	require.NoError(t, opened.write(groupRecord(group), identityRecord(0, &replicav1.Identity{Incarnation: 5, Claim: firstEpoch, Recovered: true})))
	_, err = opened.answerVote(&replicav1.AgreeRequest{Group: group, Ballot: 9, Next: groupAfter(group)})
	require.NoError(t, err)
	opened.log.Close()
	reopened, err := openState(disk)
	require.NoError(t, err)
	defer reopened.log.Close()
	_, agreement := reopened.agreement(0, group.Epoch)
	require.Equal(t, uint64(9), agreement.Promised)
	require.Equal(t, uint64(9), agreement.Accepted)
}

func TestMemberOfEarlierReleaseHandsGroupToStore(t *testing.T) {
	status := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c"))
	status.agrees = allExcept("b")
	require.Nil(t, groupWithAgreement(status))
	status.agrees = allExcept()
	agreed := groupWithAgreement(status)
	require.True(t, agreed.Agreed)
	status.group = agreed
	require.Nil(t, groupWithAgreement(status))
	status.agrees = allExcept("b")
	require.False(t, groupWithAgreement(status).Agreed)
	status.nodes = nodes("a", "b", "c", "d")
	status.agrees = allExcept("d")
	require.Nil(t, nextGroup(status), "a node of an earlier release gets no seat")
}
