package program

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func TestStartedCallIsNeverStartedAgain(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, toolCall(id, 1)))
	f.start(id, 1, "first")
	_, err := f.machine.Start(f.now, StartRequest{Program: id, Number: 1, DispatchKey: "second"})
	require.IsType(t, &failure.CallConflict{}, err)
	_, err = f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Attempt: 1, GivenUp: true})
	require.IsType(t, &failure.Malformed{}, err, "a non-repeatable call cannot be given up")
	f.commit(f.machine.RecordOutcomeUnknown(f.now, id, 1, 1, "no answer"))
	result, err := f.machine.CallResult(testTenant, id, 1)
	require.NoError(t, err)
	require.Equal(t, failure.OutcomeUnknown, result.Outcome)
	require.Equal(t, testReserve().Tokens, result.Spent.Tokens, "the whole reservation must count as spent")
	_, runnable := f.machine.RunnableCall(id)
	require.False(t, runnable)
}

func TestCallIsRefusedOnlyWithoutStartedAttempt(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, toolCall(id, 1)))
	f.start(id, 1, "first")
	_, err := f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Final: true})
	require.IsType(t, &failure.CallConflict{}, err)
	f.commit(f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Attempt: 1}))
	f.commit(f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Final: true, FailureType: "engine_unavailable"}))
	result, err := f.machine.CallResult(testTenant, id, 1)
	require.NoError(t, err)
	require.Equal(t, failure.NotRun, result.Outcome)
	_, err = f.machine.Start(f.now, StartRequest{Program: id, Number: 1, DispatchKey: "second"})
	require.IsType(t, &failure.CallConflict{}, err, "no attempt may start after a refusal")
}

func TestGivenUpCallIsReportedAsRan(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	f.start(id, 1, "first")
	f.commit(f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Attempt: 1, GivenUp: true,
		Spent: structs.Amount{Tokens: 30}}))
	f.commit(f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Final: true}))
	result, err := f.machine.CallResult(testTenant, id, 1)
	require.NoError(t, err)
	require.Equal(t, failure.Ran, result.Outcome)
	require.Equal(t, int64(30), f.status(id).Spent.Tokens)
}

func TestSpendingIsLimitedToTheReservation(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	f.start(id, 1, "first")
	f.commit(f.machine.Finish(f.now, FinishRequest{Program: id, Number: 1, Attempt: 1,
		Spent: structs.Amount{Tokens: 1 << 40}}))
	require.Equal(t, testReserve().Tokens, f.status(id).Spent.Tokens)
	require.Equal(t, structs.Amount{}, f.status(id).Reserved)
}

func TestSecondSettlementChangesNothing(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	f.start(id, 1, "first")
	finish, err := f.machine.Finish(f.now, FinishRequest{Program: id, Number: 1, Attempt: 1, Spent: testReserve()})
	f.commit(finish, err)
	f.commit(f.machine.Accept(f.now, modelCall(id, 2)))
	f.start(id, 2, "next")
	f.commit(finish, err)
	require.Equal(t, testReserve().Tokens, f.status(id).Spent.Tokens)
	require.Equal(t, testReserve().Tokens, f.status(id).Reserved.Tokens, "the next call must keep its reservation")
}

func TestEntryIsAppliedOnce(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	var released []byte
	for number := structs.CallNumber(1); number <= 2; number++ {
		f.commit(f.machine.Accept(f.now, modelCall(id, number)))
		f.start(id, number, "k")
		f.finish(id, number, 1, "")
		if number == 1 {
			decision, err := f.machine.RecordHoldReleased(f.now, id, testEngine, 3)
			f.commit(decision, err)
			released, err = proto.Marshal(decision.Batch())
			require.NoError(t, err)
		}
	}
	f.machine.Apply(f.index, released)
	require.Len(t, f.machine.Holds(), 1, "an old release must not remove a new hold")
}

func TestEveryBudgetMemberIsLimited(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	for member, reserve := range map[string]structs.Amount{
		"tokens":       {Tokens: 10_001},
		"costMicros":   {CostMicros: 5_001},
		"milliseconds": {Milliseconds: 60_001},
	} {
		_, err := f.machine.Start(f.now, StartRequest{Program: id, Number: 1, DispatchKey: "k", Reserve: reserve})
		var exceeded *failure.BudgetExceeded
		require.ErrorAs(t, err, &exceeded)
		require.Equal(t, member, exceeded.Member)
	}
	for number := structs.CallNumber(1); number <= 20; number++ {
		if number > 1 {
			f.commit(f.machine.Accept(f.now, modelCall(id, number)))
		}
		f.start(id, number, "k")
		f.finish(id, number, 1, "")
	}
	f.commit(f.machine.Accept(f.now, modelCall(id, 21)))
	result, err := f.machine.CallResult(testTenant, id, 21)
	require.NoError(t, err)
	require.Equal(t, failure.NotRun, result.Outcome, "the refusal is final: a late copy of the request must not run")
	require.Equal(t, failure.Type("budget_exceeded"), result.FailureType)
}

func (f *fixture) openChild(parent structs.ProgramID, key string, budget structs.Amount) (structs.ProgramID, error) {
	f.t.Helper()
	id, err := structs.NewChildID(parent, key)
	require.NoError(f.t, err)
	decision, err := f.machine.Open(f.now, OpenRequest{ID: id, Tenant: testTenant, ProgramName: "check", IdempotencyKey: key,
		Budget: budget, Parent: parent, HistoryZones: []structs.ZoneName{"a", "b"}, Hash: 2})
	if err == nil {
		f.commit(decision, nil)
	}
	return id, err
}

func TestEndedChildReturnsRemainingBudget(t *testing.T) {
	f := newFixture(t)
	parent := f.open("k")
	granted := structs.Amount{Tokens: 4_000, CostMicros: 1_000, Turns: 5, Milliseconds: 9_000}
	child, err := f.openChild(parent, "c", granted)
	require.NoError(t, err)
	require.Equal(t, testBudget().Minus(granted), f.status(parent).Remaining)
	f.commit(f.machine.Accept(f.now, modelCall(child, 1)))
	f.start(child, 1, "c1")
	f.commit(f.machine.End(f.now, testTenant, child, CauseEnded))
	require.Equal(t, granted, f.status(parent).Granted, "a call of the child is not settled yet")
	f.finish(child, 1, 1, "")
	require.Equal(t, structs.Amount{}, f.status(parent).Granted)
	require.Equal(t, int64(40), f.status(parent).Spent.Tokens)
	require.Equal(t, testBudget().Minus(f.status(parent).Spent), f.status(parent).Remaining)
	f.commit(f.machine.Finish(f.now, FinishRequest{Program: child, Number: 1, Attempt: 1}))
	require.Equal(t, testBudget().Minus(f.status(parent).Spent), f.status(parent).Remaining)
}

func TestChildBudgetAboveParentBudgetIsRejected(t *testing.T) {
	f := newFixture(t)
	parent := f.open("k")
	_, err := f.openChild(parent, "c", structs.Amount{Tokens: 10_001, Turns: 1})
	require.IsType(t, &failure.BudgetExceeded{}, err)
}

func TestConcurrentRecordsCannotOverspend(t *testing.T) {
	f := newFixture(t)
	parent := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(parent, 1)))
	reserve := structs.Amount{Tokens: 9_000}
	start, err := f.machine.Start(f.now, StartRequest{Program: parent, Number: 1, DispatchKey: "p1", Reserve: reserve})
	require.NoError(t, err)
	child, err := f.openChild(parent, "c", structs.Amount{Tokens: 2_000, Turns: 1})
	require.NoError(t, err)
	f.commit(start, nil)
	_, dispatched := f.machine.StartedCall(parent, 1, "p1")
	require.False(t, dispatched, "the record was applied too late: the call must not be sent")
	require.Equal(t, []structs.ProgramID{child}, f.status(parent).Children)
}

func TestEndCascadesAndCancelsUnsentCalls(t *testing.T) {
	f := newFixture(t)
	parent := f.open("k")
	child, err := f.openChild(parent, "c", structs.Amount{Tokens: 4_000, CostMicros: 100, Turns: 5, Milliseconds: 9_000})
	require.NoError(t, err)
	grandchild, err := f.openChild(child, "g", structs.Amount{Tokens: 1_000, CostMicros: 50, Turns: 2, Milliseconds: 4_000})
	require.NoError(t, err)
	f.commit(f.machine.Accept(f.now, toolCall(grandchild, 1)))
	f.commit(f.machine.Accept(f.now, modelCall(grandchild, 2)))
	f.start(grandchild, 1, "g1")
	f.commit(f.machine.End(f.now, testTenant, parent, CauseEnded))
	require.Equal(t, CauseParent, f.status(grandchild).Cause)
	require.Equal(t, Ending, f.status(parent).State)
	started, found := f.machine.StartedCall(grandchild, 1, "g1")
	require.True(t, found, "a started non-repeatable call must run to its end")
	require.False(t, started.AbandonRequested)
	result, err := f.machine.CallResult(testTenant, grandchild, 2)
	require.NoError(t, err)
	require.Equal(t, failure.NotRun, result.Outcome)
	f.finish(grandchild, 1, 1, "released")
	require.Equal(t, Ended, f.status(parent).State)
	require.Equal(t, int64(40), f.status(parent).Spent.Tokens)
}

func TestCancelAbandonsStartedModelCall(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	f.start(id, 1, "k1")
	f.commit(f.machine.Cancel(f.now, testTenant, id, 1))
	tasks := f.machine.DueTasks(f.now)
	require.Len(t, tasks, 1)
	require.True(t, tasks[0].Call.AbandonRequested)
	f.commit(f.machine.RecordNotRun(f.now, NotRunRequest{Program: id, Number: 1, Attempt: 1, GivenUp: true}))
	_, runnable := f.machine.RunnableCall(id)
	require.False(t, runnable, "a cancelled call must not start again")
}

func TestHoldsAreReleasedOnlyAfterTheEnd(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	f.start(id, 1, "k1")
	require.Len(t, f.machine.Holds(), 1, "the hold must be recorded with the start")
	_, err := f.machine.RecordHoldReleased(f.now, id, testEngine, 3)
	require.IsType(t, &failure.CallConflict{}, err)
	f.finish(id, 1, 1, "")
	require.Empty(t, f.machine.DueTasks(f.now))
	f.commit(f.machine.End(f.now, testTenant, id, CauseEnded))
	f.now = f.now.Add(RetentionTime)
	_, err = f.machine.Remove(f.now, id)
	require.IsType(t, &failure.CallConflict{}, err, "a program with a hold must not be removed")
	tasks := f.machine.DueTasks(f.now)
	require.Len(t, tasks, 1)
	require.Equal(t, TaskReleaseHold, tasks[0].Kind)
	require.Empty(t, f.machine.DueTasks(f.now), "a task must not be returned again immediately")
	require.Len(t, f.machine.DueTasks(f.now.Add(taskRetryInterval)), 1, "a task must be returned again until it is completed")
	f.commit(f.machine.RecordHoldReleased(f.now, id, testEngine, 3))
	require.Equal(t, TaskRemoveProgram, f.machine.DueTasks(f.now)[0].Kind)
}

func TestRemovedProgramIsNotOpenedAgain(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.End(f.now, testTenant, id, CauseEnded))
	_, err := f.machine.Remove(f.now, id)
	require.IsType(t, &failure.CallConflict{}, err, "repeated requests must be answered during the retention time")
	f.now = f.now.Add(RetentionTime)
	f.commit(f.machine.Remove(f.now, id))
	_, err = f.machine.Open(f.now, OpenRequest{ID: id, Tenant: testTenant, Hash: 1})
	require.Equal(t, &failure.ProgramOver{Cause: "removed"}, err)
}

func TestIdleAndDeadlineEndPrograms(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	require.Empty(t, f.machine.DueTasks(f.now.Add(59*time.Second)))
	tasks := f.machine.DueTasks(f.now.Add(time.Minute))
	require.Equal(t, []LeaderTask{{Kind: TaskEndProgram, Program: id, Tenant: testTenant, Cause: CauseIdle}}, tasks)
	f.now = f.now.Add(30 * time.Second)
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	require.Empty(t, f.machine.DueTasks(testStart.Add(time.Minute+taskRetryInterval)), "a call must count as activity")

	urgent := structs.NewProgramID(testDomain, testTenant, "urgent")
	f.commit(f.machine.Open(f.now, OpenRequest{ID: urgent, Tenant: testTenant, Budget: testBudget(),
		Deadline: f.now.Add(5 * time.Second)}))
	tasks = f.machine.DueTasks(f.now.Add(5 * time.Second))
	require.Equal(t, []LeaderTask{{Kind: TaskEndProgram, Program: urgent, Tenant: testTenant, Cause: CauseDeadline}}, tasks)
}
