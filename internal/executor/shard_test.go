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

// localReplicator applies what is proposed to its shard at once.
type localReplicator struct {
	Replicator
	shard *shard
	index uint64
	// before runs once, before the next record is applied.
	before func()
}

func (l *localReplicator) ProposeInTerm(_ context.Context, _ structs.ShardID, _ uint64, data []byte) error {
	if first := l.before; first != nil {
		l.before = nil
		first()
	}
	l.index++
	l.shard.Apply(l.index, data)
	return nil
}

// ledShard returns a shard that this daemon leads, with a program and a
// sub-agent of it.
func ledShard(t *testing.T) (held *shard, local *localReplicator, parent, child structs.ProgramID) {
	local = &localReplicator{}
	held = newShard(testExecutor(local, nil), 1)
	local.shard = held
	held.lead(1)
	parent = testProgram
	child, err := structs.NewChildID(parent, "child")
	require.NoError(t, err)
	budget := structs.Amount{Tokens: 1000, CostMicros: 1000, Turns: 10, Milliseconds: 1000}
	openOne(t, held, program.OpenRequest{ID: parent, Tenant: testTenant, IdempotencyKey: "parent", Budget: budget})
	budget.Turns = 5
	openOne(t, held, program.OpenRequest{ID: child, Tenant: testTenant, IdempotencyKey: "child", Budget: budget, Parent: parent})
	return held, local, parent, child
}

func openOne(t *testing.T, held *shard, request program.OpenRequest) {
	_, err := held.mutate(t.Context(), func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Open(now, request)
	}, request.ID)
	require.NoError(t, err)
}

// The end of a parent may be committed between the decision to take its
// sub-agent's call and that record. The caller is told that the program has
// ended, not that its call is unknown.
func TestCallReportsProgramEndedWhenParentEndsFirst(t *testing.T) {
	held, local, parent, child := ledShard(t)
	accept := func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Accept(now, callRequest(operation{tenant: testTenant, program: child},
			caller.CallRequest{Number: 1, Kind: caller.CallTool, Target: "tool"}, 1))
	}
	local.before = func() {
		_, err := held.mutate(t.Context(), func(now time.Time, machine *program.Machine) (program.Decision, error) {
			return machine.End(now, testTenant, parent, program.CauseEnded)
		}, parent)
		require.NoError(t, err)
	}
	_, err := held.mutate(t.Context(), accept, child)
	require.NoError(t, err)
	err = held.tookEffect(accept)
	require.True(t, failure.IsType(err, "program_ended"), "%v", err)
}

// A caller that goes away leaves its proposal under way; the program takes no
// other decision before that one's fate is known.
func TestProgramStaysLockedUntilProposalOutcomeIsKnown(t *testing.T) {
	held, local, parent, _ := ledShard(t)
	proposed, release := make(chan struct{}), make(chan struct{})
	local.before = func() {
		close(proposed)
		<-release
	}
	end := func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, testTenant, parent, program.CauseEnded)
	}
	leaving, leave := context.WithCancel(t.Context())
	go func() {
		<-proposed
		leave()
	}()
	_, err := held.mutate(leaving, end, parent)
	require.True(t, failure.IsType(err, "proposal_unknown"), "%v", err)
	_, err = held.mutate(leaving, end, parent)
	require.True(t, failure.IsType(err, "shard_unavailable"), "%v", err)
	close(release)
	decision, err := held.mutate(t.Context(), end, parent)
	require.NoError(t, err)
	require.True(t, decision.Repeat)
}
