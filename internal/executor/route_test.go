package executor

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const testProgram = structs.ProgramID("00000001-00000000000000000000000000000001")

// fakeReplicator has a fixed status of one shard.
type fakeReplicator struct {
	Replicator
	status     replication.Status
	hasReplica bool
}

func (f fakeReplicator) Status(structs.ShardID) (replication.Status, bool) {
	return f.status, f.hasReplica
}

func (f fakeReplicator) EnsureLeader(_ context.Context, shard structs.ShardID) (structs.NodeID, error) {
	if f.status.Leader == "" {
		return "", &failure.NotLeader{Shard: uint32(shard)}
	}
	return f.status.Leader, nil
}

type fakeDirectory []structs.NodeID

func (f fakeDirectory) Members(structs.ShardID) []structs.NodeID { return f }

// fakeForwarder answers for the nodes in answering. A request to any other node blocks
// until its context ends, as with a frozen daemon.
type fakeForwarder struct {
	answering map[structs.NodeID]bool
	requested chan structs.NodeID
}

func (f fakeForwarder) Forward(ctx context.Context, node structs.NodeID, _ *peerv1.ForwardRequest, receive func(*peerv1.ForwardEvent) error) error {
	f.requested <- node
	if f.answering[node] {
		body := encodeBody(caller.ProgramStatus{ID: testProgram})
		return receive(&peerv1.ForwardEvent{Event: &peerv1.ForwardEvent_Body{Body: body}})
	}
	<-ctx.Done()
	return &failure.Relayed{Kind: peerUnreachableType, Effect: failure.OutcomeUnknown}
}

func testExecutor(replicator Replicator, forwarder Forwarder, members ...structs.NodeID) *Executor {
	return New(Options{
		Self: structs.Node{ID: "self"}, Replicator: replicator, Forwarder: forwarder, Directory: fakeDirectory(members),
	})
}

// A request that was forwarded to a frozen daemon is cancelled when that daemon is
// suspected, and sent to another member.
func TestSuspectedNodeRequestIsRetriedElsewhere(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, requested: make(chan structs.NodeID)}
	e := testExecutor(fakeReplicator{}, forwarder, "frozen", "b")
	answered := make(chan error)
	go func() {
		_, err := e.Status(t.Context(), "tenant", testProgram)
		answered <- err
	}()
	require.Equal(t, structs.NodeID("frozen"), <-forwarder.requested)
	e.CancelForwardsTo("frozen")
	require.Equal(t, structs.NodeID("b"), <-forwarder.requested)
	require.NoError(t, <-answered)
}

// A request that a daemon does not acknowledge is sent to another member, without a
// suspicion.
func TestUnacknowledgedRequestIsRetriedElsewhere(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, requested: make(chan structs.NodeID, 2)}
	e := testExecutor(fakeReplicator{}, forwarder, "frozen", "b")
	status, err := e.Status(t.Context(), "tenant", testProgram)
	require.NoError(t, err)
	require.Equal(t, testProgram, status.ID)
	require.Equal(t, structs.NodeID("frozen"), <-forwarder.requested)
}

// A daemon whose replica was removed forwards to the members and ignores its former
// replica.
func TestRemovedReplicaForwardsToMembers(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, requested: make(chan structs.NodeID, 1)}
	e := testExecutor(fakeReplicator{status: replication.Status{Removed: true}, hasReplica: true}, forwarder, "b")
	status, err := e.Status(t.Context(), "tenant", testProgram)
	require.NoError(t, err)
	require.Equal(t, testProgram, status.ID)
}

// A search in which an attempt may have taken effect must not report the operation as
// not run.
func TestSearchReportsUnknownOutcomeAfterAmbiguousAttempt(t *testing.T) {
	unavailable := &failure.ShardUnavailable{Shard: 1}
	unreachable := &failure.Relayed{Kind: peerUnreachableType, Effect: failure.OutcomeUnknown}
	unambiguous, ambiguous := newLeaderSearch(1), newLeaderSearch(1)
	require.True(t, unambiguous.awaitRetry(t.Context(), unavailable, replySink{}))
	require.True(t, ambiguous.awaitRetry(t.Context(), unreachable, replySink{}))
	require.Equal(t, failure.NotRun, failure.Classify(unambiguous.finalError(unavailable)).Outcome())
	require.Equal(t, failure.OutcomeUnknown, failure.Classify(ambiguous.finalError(unavailable)).Outcome())
	final := &failure.BudgetExceeded{Member: "tokens"}
	require.Equal(t, error(final), ambiguous.finalError(final))
}
