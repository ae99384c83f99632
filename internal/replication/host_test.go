package replication

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func TestSingleMemberGroupCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 1)
		leader, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("a"), leader)
		proposeMany(t, group[0], "x", 3)
		require.Equal(t, []string{"x-0", "x-1", "x-2"}, group[0].records(testShard))
		require.NoError(t, group[0].ConfirmLeadership(context.Background(), testShard))
		n.closeAll(t)
	})
}

func TestThreeMemberGroupReplicatesAndFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 3)
		ctx := context.Background()
		leader, err := group[0].EnsureLeader(ctx, testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("a"), leader)
		proposeMany(t, group[0], "x", 20)
		require.Error(t, group[1].Propose(ctx, testShard, []byte("refused")))
		time.Sleep(time.Second)
		require.Len(t, group[2].records(testShard), 20)

		n.kill(t, group[0])
		group[1].SuspectNode("a")
		group[2].SuspectNode("a")
		leader, err = group[1].EnsureLeader(ctx, testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		proposeMany(t, group[1], "y", 5)
		require.Len(t, group[1].records(testShard), 25)
		n.closeAll(t)
	})
}

func TestProposeInTermRejectsOtherTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 1)
		defer n.closeAll(t)
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.NoError(t, group[0].ProposeInTerm(context.Background(), testShard, 1, []byte("x")))
		err = group[0].ProposeInTerm(context.Background(), testShard, 2, []byte("y"))
		require.True(t, failure.IsType(err, "not_leader"), "%v", err)
		require.Equal(t, []string{"x"}, group[0].records(testShard))
	})
}

func TestRejectedSnapshotDropsReplica(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		for i := range 24 {
			require.NoError(t, group[0].Propose(context.Background(), testShard, incompressibleBytes(i, 128<<10)))
		}
		broken := n.start(t, "d", 1, func(o *Options) {
			o.NewStateMachine = func(structs.ShardID) StateMachine { return &rejectingMachine{} }
		})
		group[0].ReconcileMembers(testShard, members(group[0], group[1], broken))
		time.Sleep(3 * time.Second)
		status, found := broken.Status(testShard)
		require.True(t, found && status.Removed)
		require.Empty(t, broken.Statuses())
		require.NoError(t, group[0].Propose(context.Background(), testShard, []byte("after the rejection")))
	})
}

type rejectingMachine struct{ recordingMachine }

func (r *rejectingMachine) Restore([]byte) error { return &DecodeError{Reason: "test"} }

func TestProposeWithoutMajorityFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 3)
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		n.setIsolated(group[0], true)
		group[0].SuspectNode("b")
		group[0].SuspectNode("c")
		time.Sleep(time.Second)
		startTime := time.Now()
		err = group[0].Propose(context.Background(), testShard, []byte("x"))
		require.True(t, failure.IsType(err, "shard_unavailable"), "%v", err)
		require.Zero(t, time.Since(startTime))
		n.closeAll(t)
	})
}
