package replication

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// inGroup runs a test on a group of three whose first daemon leads.
func inGroup(t *testing.T, test func(t *testing.T, n *network, group []*daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		group := startGroup(t, n, 3)
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		defer n.closeAll(t)
		test(t, n, group)
	})
}

func suspectAt(id structs.NodeID, daemons ...*daemon) {
	for _, d := range daemons {
		d.SuspectNode(id)
	}
}

func TestWipedMemberNeverVotes(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 3)
		genesis := InitialGroup{Shard: testShard, Members: members(group...)}
		n.kill(t, group[2])
		wiped := n.start(t, "c", 2, nil)
		require.NoError(t, wiped.CreateReplica(genesis))
		_, held := wiped.Status(testShard)
		require.False(t, held, "the old genesis must make no replica")

		// The other two are a majority; without one of them there is none,
		// whatever the wiped one is asked.
		n.kill(t, group[0])
		suspectAt("a", group[1], wiped)
		_, err := group[1].EnsureLeader(context.Background(), testShard)
		require.Error(t, err)
		_, held = wiped.Status(testShard)
		require.False(t, held, "a vote for another incarnation must be dropped")
	})
}

func TestWipedMemberIsAdmittedCaughtUpAndPromoted(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 30)
		n.kill(t, group[2])
		suspectAt("c", group[0])
		wiped := n.start(t, "c", 2, nil)
		wanted := members(group[0], group[1], wiped)
		group[0].ReconcileMembers(testShard, wanted)
		time.Sleep(2 * flagLifetime)
		require.Equal(t, group[0].records(testShard), wiped.records(testShard))
		status, _ := group[0].Status(testShard)
		require.Len(t, status.Members, 3)
		for _, member := range status.Members {
			require.False(t, member.Learner)
		}

		// It counts now: with it, the group goes on without the leader.
		n.kill(t, group[0])
		suspectAt("a", group[1], wiped)
		_, err := wiped.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		leaders := 0
		for _, d := range []*daemon{group[1], wiped} {
			if d.Propose(context.Background(), testShard, []byte("y")) == nil {
				leaders++
			}
		}
		require.Equal(t, 1, leaders)
	})
}

func TestRemovedMemberReportsLastKnownMembers(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 3)
		fresh := n.start(t, "d", 1, nil)
		wanted := members(group[1], group[2], fresh)
		for _, d := range group {
			d.ReconcileMembers(testShard, wanted)
		}
		time.Sleep(2 * time.Second)
		status, known := group[0].Status(testShard)
		require.True(t, known)
		require.True(t, status.Removed)
		require.Len(t, status.Members, 3)
		require.Equal(t, structs.NodeID("d"), status.Members[2].Node)
		require.Empty(t, group[0].Statuses())
		require.Error(t, group[0].Propose(context.Background(), testShard, []byte("z")))
		require.Len(t, fresh.records(testShard), 3)
	})
}

func TestLearnerCatchesUpFromChunkedSnapshot(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		// 3 MiB of records that do not compress: the log in memory is compacted
		// and only a snapshot of many chunks can bring the learner up.
		for i := range 24 {
			require.NoError(t, group[0].Propose(context.Background(), testShard, noise(i, 128<<10)))
		}
		fresh := n.start(t, "d", 1, nil)
		group[0].ReconcileMembers(testShard, members(group[0], group[1], fresh))
		time.Sleep(3 * time.Second)
		require.Equal(t, group[0].records(testShard), fresh.records(testShard))
		status, _ := fresh.Status(testShard)
		require.Len(t, status.Members, 3)
	})
}

func TestDrainTransfersLeadershipAndReplicas(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 5)
		fresh := n.start(t, "d", 1, nil)
		for _, d := range group {
			d.ReconcileMembers(testShard, members(group[1], group[2], fresh))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.NoError(t, group[0].Drain(ctx))
		n.kill(t, group[0])
		leader, err := group[1].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.NotEqual(t, structs.NodeID("a"), leader)
		status, _ := group[1].Status(testShard)
		require.Len(t, status.Members, 3)
	})
}

func TestDrainOfFollowerWaitsForReplacement(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 5)
		fresh := n.start(t, "d", 1, nil)
		// Only the leader's daemon knows yet that c leaves.
		group[0].ReconcileMembers(testShard, members(group[0], group[1], fresh))
		require.NoError(t, group[2].Drain(context.Background()))
		status, _ := group[2].Status(testShard)
		require.True(t, status.Removed)
		require.Len(t, fresh.records(testShard), 5)
	})
}

func TestDrainWithoutReplacementDoesNotWait(t *testing.T) {
	inGroup(t, func(t *testing.T, _ *network, group []*daemon) {
		group[0].ReconcileMembers(testShard, members(group...))
		began := time.Now()
		require.NoError(t, group[2].Drain(context.Background()))
		require.Less(t, time.Since(began), 2*time.Second)
		status, _ := group[2].Status(testShard)
		require.False(t, status.Removed)
	})
}

func TestReplicasCreatedByMessagesLearnMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		defer n.closeAll(t)
		a, b, c := n.start(t, "a", 1, nil), n.start(t, "b", 1, nil), n.start(t, "c", 1, nil)
		// Only a hears of the genesis.
		require.NoError(t, a.CreateReplica(InitialGroup{Shard: testShard, Members: members(a, b, c)}))
		_, err := a.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		proposeMany(t, a, "x", 1)
		n.kill(t, a)
		suspectAt("a", b, c)
		leader, err := b.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		require.Len(t, b.records(testShard), 1)
	})
}

func TestEnsureLeaderAtLaggingMemberElectsAnother(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		n.isolate(group[2], true)
		proposeMany(t, group[0], "x", 3)
		n.kill(t, group[0])
		n.isolate(group[2], false)
		suspectAt("a", group[1:]...)
		leader, err := group[2].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
	})
}

func TestIdleShardsSendNothing(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 5)
		time.Sleep(5 * time.Second)
		n.mutex.Lock()
		before := n.batches
		n.mutex.Unlock()
		time.Sleep(time.Hour)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		require.Equal(t, before, n.batches)
	})
}

func TestIsolatedLeaderCannotCommitAfterReconnecting(t *testing.T) {
	inGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 2)
		n.isolate(group[0], true)
		suspectAt("a", group[1], group[2])
		_, err := group[1].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		proposeMany(t, group[1], "y", 2)

		// The former leader still believes in itself.
		status, _ := group[0].Status(testShard)
		require.True(t, status.Serving)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, group[0].ConfirmLeadership(ctx, testShard))
		n.isolate(group[0], false)
		require.Error(t, group[0].Propose(context.Background(), testShard, []byte("stale")))
		time.Sleep(time.Second)
		require.Equal(t, []string{"x-0", "x-1", "y-0", "y-1"}, group[0].records(testShard))
	})
}

func TestMessagesToAnotherIncarnationAreDropped(t *testing.T) {
	inGroup(t, func(t *testing.T, _ *network, group []*daemon) {
		vote := &journalv1.Message{
			Shard: uint32(testShard) + 1, Type: journalv1.MessageType_MESSAGE_TYPE_VOTE, Term: 9,
		}
		for _, incarnation := range []uint64{2, 1} {
			group[0].Receive(&journalv1.Batch{
				Messages: []*journalv1.Message{vote}, FromNode: "z", FromIncarnation: 1, ToIncarnation: incarnation,
			})
			synctest.Wait()
			_, held := group[0].Status(testShard + 1)
			require.Equal(t, incarnation == 1, held)
		}
	})
}

func TestLeadershipChangesAreReportedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		var told []leadershipNotice
		d := n.start(t, "a", 1, func(o *Options) {
			o.OnLeadershipChange = func(shard structs.ShardID, leading bool, term uint64) {
				told = append(told, leadershipNotice{shard: shard, leading: leading, term: term})
			}
		})
		other := n.start(t, "b", 1, nil)
		for _, each := range []*daemon{d, other} {
			require.NoError(t, each.CreateReplica(InitialGroup{Shard: testShard, Members: members(d, other)}))
		}
		_, err := d.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.NoError(t, d.Drain(context.Background()))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []leadershipNotice{
			{shard: testShard, leading: true, term: 1}, {shard: testShard, leading: false, term: 1},
		}, told)
		status, _ := other.Status(testShard)
		require.Equal(t, journal.Leader, status.Role)
		n.closeAll(t)
	})
}
