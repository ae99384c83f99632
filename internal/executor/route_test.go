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

// fakeReplicator holds what a daemon knows of one shard.
type fakeReplicator struct {
	Replicator
	status replication.Status
	held   bool
}

func (f fakeReplicator) Status(structs.ShardID) (replication.Status, bool) { return f.status, f.held }

func (f fakeReplicator) EnsureLeader(_ context.Context, shard structs.ShardID) (structs.NodeID, error) {
	if f.status.Leader == "" {
		return "", &failure.NotLeader{Shard: uint32(shard)}
	}
	return f.status.Leader, nil
}

type fakeDirectory []structs.NodeID

func (f fakeDirectory) Members(structs.ShardID) []structs.NodeID { return f }

// fakeForwarder answers at the nodes that it names; at others a request hangs
// until its context ends, as at a daemon that is frozen.
type fakeForwarder struct {
	answering map[structs.NodeID]bool
	asked     chan structs.NodeID
}

func (f fakeForwarder) Forward(ctx context.Context, node structs.NodeID, _ *peerv1.ForwardRequest, receive func(*peerv1.ForwardEvent) error) error {
	f.asked <- node
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

// A request that a frozen daemon works on is given up when that daemon is
// suspected, and answered elsewhere.
func TestSuspectedNodeRequestIsRetriedElsewhere(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, asked: make(chan structs.NodeID)}
	e := testExecutor(fakeReplicator{}, forwarder, "frozen", "b")
	answered := make(chan error)
	go func() {
		_, err := e.Status(t.Context(), "tenant", testProgram)
		answered <- err
	}()
	require.Equal(t, structs.NodeID("frozen"), <-forwarder.asked)
	e.CancelForwardsTo("frozen")
	require.Equal(t, structs.NodeID("b"), <-forwarder.asked)
	require.NoError(t, <-answered)
}

// A request that a daemon does not acknowledge is answered elsewhere, without a
// suspicion.
func TestUnacknowledgedRequestIsRetriedElsewhere(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, asked: make(chan structs.NodeID, 2)}
	e := testExecutor(fakeReplicator{}, forwarder, "frozen", "b")
	status, err := e.Status(t.Context(), "tenant", testProgram)
	require.NoError(t, err)
	require.Equal(t, testProgram, status.ID)
	require.Equal(t, structs.NodeID("frozen"), <-forwarder.asked)
}

// A daemon whose replica was removed asks the members, not its former replica.
func TestRemovedReplicaForwardsToMembers(t *testing.T) {
	forwarder := fakeForwarder{answering: map[structs.NodeID]bool{"b": true}, asked: make(chan structs.NodeID, 1)}
	e := testExecutor(fakeReplicator{status: replication.Status{Removed: true}, held: true}, forwarder, "b")
	status, err := e.Status(t.Context(), "tenant", testProgram)
	require.NoError(t, err)
	require.Equal(t, testProgram, status.ID)
}

// A search during which an attempt may have taken effect does not end as not run.
func TestSearchReportsUnknownOutcomeAfterAmbiguousAttempt(t *testing.T) {
	unavailable := &failure.ShardUnavailable{Shard: 1}
	unreached := &failure.Relayed{Kind: peerUnreachableType, Effect: failure.OutcomeUnknown}
	clean, doubtful := newSearch(1), newSearch(1)
	require.True(t, clean.again(t.Context(), unavailable, replySink{}))
	require.True(t, doubtful.again(t.Context(), unreached, replySink{}))
	require.Equal(t, failure.NotRun, failure.Classify(clean.verdict(unavailable)).Outcome())
	require.Equal(t, failure.OutcomeUnknown, failure.Classify(doubtful.verdict(unavailable)).Outcome())
	final := &failure.BudgetExceeded{Member: "tokens"}
	require.Equal(t, error(final), doubtful.verdict(final))
}
