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

// runInGroup runs a test with a group of three members whose first member leads.
func runInGroup(t *testing.T, test func(t *testing.T, n *network, group []*daemon)) {
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

func suspectNodeAt(id structs.NodeID, daemons ...*daemon) {
	for _, d := range daemons {
		d.SuspectNode(id)
	}
}

func TestWipedMemberNeverVotes(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 3)
		initial := InitialGroup{Shard: testShard, Members: members(group...)}
		n.kill(t, group[2])
		wiped := n.start(t, "c", 2, nil)
		require.NoError(t, wiped.CreateReplica(initial))
		_, found := wiped.Status(testShard)
		require.False(t, found, "the initial group of an earlier incarnation must not create a replica")

		// The other two members are a majority. Without one of them there is no
		// majority, whatever the restarted member is asked.
		n.kill(t, group[0])
		suspectNodeAt("a", group[1], wiped)
		_, err := group[1].EnsureLeader(context.Background(), testShard)
		require.Error(t, err)
		_, found = wiped.Status(testShard)
		require.False(t, found, "a vote request to another incarnation must be dropped")
	})
}

func TestWipedMemberIsAdmittedCaughtUpAndPromoted(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 30)
		n.kill(t, group[2])
		suspectNodeAt("c", group[0])
		wiped := n.start(t, "c", 2, nil)
		desired := members(group[0], group[1], wiped)
		group[0].ReconcileMembers(testShard, desired)
		time.Sleep(2 * suspicionTTL)
		require.Equal(t, group[0].records(testShard), wiped.records(testShard))
		status, _ := group[0].Status(testShard)
		require.Len(t, status.Members, 3)
		for _, member := range status.Members {
			require.False(t, member.Learner)
		}

		// The new member now counts for the majority, so the group continues
		// without its leader.
		n.kill(t, group[0])
		suspectNodeAt("a", group[1], wiped)
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
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 3)
		added := n.start(t, "d", 1, nil)
		desired := members(group[1], group[2], added)
		for _, d := range group {
			d.ReconcileMembers(testShard, desired)
		}
		time.Sleep(2 * time.Second)
		status, found := group[0].Status(testShard)
		require.True(t, found)
		require.True(t, status.Removed)
		require.Len(t, status.Members, 3)
		require.Equal(t, structs.NodeID("d"), status.Members[2].Node)
		require.Empty(t, group[0].Statuses())
		require.Error(t, group[0].Propose(context.Background(), testShard, []byte("z")))
		require.Len(t, added.records(testShard), 3)
	})
}

func TestLearnerCatchesUpFromChunkedSnapshot(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		// 3 MiB of incompressible records cause the log in memory to be
		// compacted. Only a snapshot of many chunks can then catch the learner up.
		for i := range 24 {
			require.NoError(t, group[0].Propose(context.Background(), testShard, incompressibleBytes(i, 128<<10)))
		}
		added := n.start(t, "d", 1, nil)
		group[0].ReconcileMembers(testShard, members(group[0], group[1], added))
		time.Sleep(3 * time.Second)
		require.Equal(t, group[0].records(testShard), added.records(testShard))
		status, _ := added.Status(testShard)
		require.Len(t, status.Members, 3)
	})
}

func TestDrainTransfersLeadershipAndReplicas(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 5)
		added := n.start(t, "d", 1, nil)
		for _, d := range group {
			d.ReconcileMembers(testShard, members(group[1], group[2], added))
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
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 5)
		added := n.start(t, "d", 1, nil)
		// Only the leader's daemon knows that c is to be replaced.
		group[0].ReconcileMembers(testShard, members(group[0], group[1], added))
		require.NoError(t, group[2].Drain(context.Background()))
		status, _ := group[2].Status(testShard)
		require.True(t, status.Removed)
		require.Len(t, added.records(testShard), 5)
	})
}

func TestDrainWithoutReplacementDoesNotWait(t *testing.T) {
	runInGroup(t, func(t *testing.T, _ *network, group []*daemon) {
		group[0].ReconcileMembers(testShard, members(group...))
		startTime := time.Now()
		require.NoError(t, group[2].Drain(context.Background()))
		require.Less(t, time.Since(startTime), 2*time.Second)
		status, _ := group[2].Status(testShard)
		require.False(t, status.Removed)
	})
}

func TestReplicasCreatedByMessagesLearnMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		defer n.closeAll(t)
		a, b, c := n.start(t, "a", 1, nil), n.start(t, "b", 1, nil), n.start(t, "c", 1, nil)
		// Only a is created with the initial group.
		require.NoError(t, a.CreateReplica(InitialGroup{Shard: testShard, Members: members(a, b, c)}))
		_, err := a.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		proposeMany(t, a, "x", 1)
		n.kill(t, a)
		suspectNodeAt("a", b, c)
		leader, err := b.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		require.Len(t, b.records(testShard), 1)
	})
}

func TestEnsureLeaderAtLaggingMemberElectsAnother(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		n.setIsolated(group[2], true)
		proposeMany(t, group[0], "x", 3)
		n.kill(t, group[0])
		n.setIsolated(group[2], false)
		suspectNodeAt("a", group[1:]...)
		leader, err := group[2].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
	})
}

func TestIdleShardsSendNothing(t *testing.T) {
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
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
	runInGroup(t, func(t *testing.T, n *network, group []*daemon) {
		proposeMany(t, group[0], "x", 2)
		n.setIsolated(group[0], true)
		suspectNodeAt("a", group[1], group[2])
		_, err := group[1].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		proposeMany(t, group[1], "y", 2)

		// The former leader does not know yet that it was replaced.
		status, _ := group[0].Status(testShard)
		require.True(t, status.Serving)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, group[0].ConfirmLeadership(ctx, testShard))
		n.setIsolated(group[0], false)
		require.Error(t, group[0].Propose(context.Background(), testShard, []byte("stale")))
		time.Sleep(time.Second)
		require.Equal(t, []string{"x-0", "x-1", "y-0", "y-1"}, group[0].records(testShard))
	})
}

func TestMessagesToAnotherIncarnationAreDropped(t *testing.T) {
	runInGroup(t, func(t *testing.T, _ *network, group []*daemon) {
		vote := &journalv1.Message{
			Shard: uint32(testShard) + 1, Type: journalv1.MessageType_MESSAGE_TYPE_VOTE, Term: 9,
		}
		for _, incarnation := range []uint64{2, 1} {
			group[0].Receive(&journalv1.Batch{
				Messages: []*journalv1.Message{vote}, FromNode: "z", FromIncarnation: 1, ToIncarnation: incarnation,
			})
			synctest.Wait()
			_, found := group[0].Status(testShard + 1)
			require.Equal(t, incarnation == 1, found)
		}
	})
}

func TestLeadershipChangesAreReportedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		var changes []leadershipChange
		d := n.start(t, "a", 1, func(o *Options) {
			o.OnLeadershipChange = func(shard structs.ShardID, leading bool, term uint64) {
				changes = append(changes, leadershipChange{shard: shard, leading: leading, term: term})
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
		require.Equal(t, []leadershipChange{
			{shard: testShard, leading: true, term: 1}, {shard: testShard, leading: false, term: 1},
		}, changes)
		status, _ := other.Status(testShard)
		require.Equal(t, journal.Leader, status.Role)
		n.closeAll(t)
	})
}
