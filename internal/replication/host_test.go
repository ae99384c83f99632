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

func TestGroupOfOneCommitsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 1)
		leader, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("a"), leader)
		proposeMany(t, group[0], "x", 3)
		require.Equal(t, []string{"x-0", "x-1", "x-2"}, group[0].records(testShard))
		require.NoError(t, group[0].ConfirmLeadership(context.Background(), testShard))
		require.NoError(t, group[0].Close())
	})
}

func TestGroupOfThreeReplicatesAndFailsOver(t *testing.T) {
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
		group[1].NodeSuspected("a")
		group[2].NodeSuspected("a")
		leader, err = group[1].EnsureLeader(ctx, testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		proposeMany(t, group[1], "y", 5)
		require.Len(t, group[1].records(testShard), 25)
		require.NoError(t, group[1].Close())
		require.NoError(t, group[2].Close())
	})
}

func TestProposeWithoutMajorityAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 3)
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		n.isolate(group[0], true)
		group[0].NodeSuspected("b")
		group[0].NodeSuspected("c")
		time.Sleep(time.Second)
		began := time.Now()
		err = group[0].Propose(context.Background(), testShard, []byte("x"))
		require.True(t, failure.IsType(err, "shard_unavailable"), "%v", err)
		require.Zero(t, time.Since(began))
		for _, d := range group {
			require.NoError(t, d.Close())
		}
	})
}
