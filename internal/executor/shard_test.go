package executor

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const testTenant = structs.TenantID("tenant")

// applyingReplicator applies proposals to its shard immediately.
type applyingReplicator struct {
	Replicator
	shard *shard
	index uint64
	// beforeApply runs once, before the next record is applied.
	beforeApply func()
}

func (r *applyingReplicator) ProposeInTerm(_ context.Context, _ structs.ShardID, _ uint64, data []byte) error {
	if beforeApply := r.beforeApply; beforeApply != nil {
		r.beforeApply = nil
		beforeApply()
	}
	r.index++
	r.shard.Apply(r.index, data)
	return nil
}

// newLedShard returns a shard that this daemon leads, with an open program and a
// sub-agent of it.
func newLedShard(t *testing.T) (shard *shard, replicator *applyingReplicator, parent, child structs.ProgramID) {
	replicator = &applyingReplicator{}
	shard = newShard(testExecutor(replicator, nil), 1)
	replicator.shard = shard
	shard.becomeLeader(1)
	parent = testProgram
	child, err := structs.NewChildID(parent, "child")
	require.NoError(t, err)
	budget := structs.Amount{Tokens: 1000, CostMicros: 1000, Turns: 10, Milliseconds: 1000}
	openProgram(t, shard, program.OpenRequest{ID: parent, Tenant: testTenant, IdempotencyKey: "parent", Budget: budget})
	budget.Turns = 5
	openProgram(t, shard, program.OpenRequest{ID: child, Tenant: testTenant, IdempotencyKey: "child", Budget: budget, Parent: parent})
	return shard, replicator, parent, child
}

func openProgram(t *testing.T, shard *shard, request program.OpenRequest) {
	_, err := shard.proposeDecision(t.Context(), func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Open(now, request)
	}, request.ID)
	require.NoError(t, err)
}

// The end of a parent may be committed between the decision to accept its sub-agent's
// call and the record of that call. The caller must be told that the program has
// ended, not that its call is unknown.
func TestCallReportsProgramEndedWhenParentEndsFirst(t *testing.T) {
	shard, replicator, parent, child := newLedShard(t)
	accept := func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Accept(now, callRequest(operation{tenant: testTenant, program: child},
			caller.CallRequest{Number: 1, Kind: caller.CallTool, Target: "tool"}, 1))
	}
	replicator.beforeApply = func() {
		_, err := shard.proposeDecision(t.Context(), func(now time.Time, machine *program.Machine) (program.Decision, error) {
			return machine.End(now, testTenant, parent, program.CauseEnded)
		}, parent)
		require.NoError(t, err)
	}
	_, err := shard.proposeDecision(t.Context(), accept, child)
	require.NoError(t, err)
	err = shard.checkTookEffect(accept)
	require.True(t, failure.IsType(err, "program_ended"), "%v", err)
}

// After a caller has gone, its proposal remains outstanding. The program must accept
// no other decision until the outcome of that proposal is known.
func TestProgramStaysLockedUntilProposalOutcomeIsKnown(t *testing.T) {
	shard, replicator, parent, _ := newLedShard(t)
	proposed, release := make(chan struct{}), make(chan struct{})
	replicator.beforeApply = func() {
		close(proposed)
		<-release
	}
	end := func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, testTenant, parent, program.CauseEnded)
	}
	callerContext, cancelCaller := context.WithCancel(t.Context())
	go func() {
		<-proposed
		cancelCaller()
	}()
	_, err := shard.proposeDecision(callerContext, end, parent)
	require.True(t, failure.IsType(err, "proposal_unknown"), "%v", err)
	_, err = shard.proposeDecision(callerContext, end, parent)
	require.True(t, failure.IsType(err, "shard_unavailable"), "%v", err)
	close(release)
	decision, err := shard.proposeDecision(t.Context(), end, parent)
	require.NoError(t, err)
	require.True(t, decision.Repeat)
}
