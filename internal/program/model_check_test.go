package program

import (
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// check compares the whole state with the oracle and returns the number of
// histories compared.
func (m *model) check(t require.TestingT) int {
	holds, histories := 0, 0
	for id, p := range m.oracle {
		if p.removed {
			_, err := m.machine.Status(testTenant, id)
			require.IsType(t, &failure.UnknownProgram{}, err)
			continue
		}
		holds += len(p.holds)
		m.checkProgram(t, id, p)
		histories++
	}
	require.Len(t, m.machine.Holds(), holds)
	for _, hold := range m.machine.Holds() {
		require.True(t, m.oracle[hold.Program].holds[hold.Engine])
		require.Equal(t, m.oracle[hold.Program].ended, hold.ProgramEnded)
	}
	m.checkTasks(t)
	return histories
}

func (m *model) checkProgram(t require.TestingT, id structs.ProgramID, p *oracleProgram) {
	status, err := m.machine.Status(testTenant, id)
	require.NoError(t, err)
	require.Equal(t, p.spent(), status.Spent)
	require.Equal(t, p.remaining(), status.Remaining)
	require.Equal(t, p.lastActivity, status.LastActivityAt)
	used := status.Spent.Plus(status.Reserved).Plus(status.Granted)
	require.True(t, used.Within(status.Budget), "spent, reserved and granted must stay within the budget")
	require.Equal(t, p.ended, status.State != Open)
	require.Equal(t, p.firstNumberNot(func(*oracleCall) bool { return true }), status.NextCall)
	require.Equal(t, p.settled(), status.State == Ended)
	var history []Turn
	for number := structs.CallNumber(1); number < p.cursor(); number++ {
		if call := p.calls[number]; call.state == Finished {
			history = append(history, Turn{number, call.request.Kind, call.request.Target, call.request.Input, call.answer})
		}
	}
	turns, err := m.machine.History(id)
	require.NoError(t, err)
	require.Equal(t, history, turns)
	for number, call := range p.calls {
		m.checkCall(t, id, number, call)
	}
	next, runnable := m.machine.RunnableCall(id)
	call := p.calls[p.cursor()]
	require.Equal(t, !p.ended && call != nil && call.state == Accepted, runnable)
	require.True(t, !runnable || next.Number == p.cursor())
}

func (m *model) checkCall(t require.TestingT, id structs.ProgramID, number structs.CallNumber, call *oracleCall) {
	result, err := m.machine.CallResult(testTenant, id, number)
	require.NoError(t, err)
	require.Equal(t, call.state, result.State)
	require.Equal(t, call.spent, result.Spent)
	require.Equal(t, string(call.answer), string(result.Answer))
	if result.Outcome == failure.NotRun {
		require.Contains(t, []CallState{Refused, Cancelled}, call.state)
		require.False(t, call.mayHaveRun)
	}
	view, dispatched := m.machine.StartedCall(id, number, call.key)
	require.Equal(t, call.state == Started, dispatched)
	if dispatched {
		require.Equal(t, call.abandonRequested, view.AbandonRequested)
		require.Equal(t, call.reserve, view.Reserved)
	}
}

// checkTasks compares the leader tasks of a replica that has just become
// leader with those that the oracle expects.
func (m *model) checkTasks(t require.TestingT) {
	data, err := m.machine.Snapshot()
	require.NoError(t, err)
	successor := NewMachine(testShard)
	require.NoError(t, successor.Restore(data))
	var tasks []string
	for _, task := range successor.DueTasks(m.now) {
		tasks = append(tasks, string(task.Kind)+string(task.Program)+string(task.Hold.Engine)+task.Cause)
	}
	var expected []string
	for id, p := range m.oracle {
		if !p.removed {
			expected = append(expected, m.expectedTasks(id, p)...)
		}
	}
	slices.Sort(tasks)
	slices.Sort(expected)
	require.Equal(t, expected, tasks)
}

func (m *model) expectedTasks(id structs.ProgramID, p *oracleProgram) (tasks []string) {
	idle := p.startedCall() == nil && !slices.ContainsFunc(p.children, func(c *oracleProgram) bool { return !c.settled() })
	idleAt, deadline := p.lastActivity.Add(p.request.IdleTimeout), p.request.Deadline
	late := !deadline.IsZero() && !m.now.Before(deadline)
	idle = idle && !m.now.Before(idleAt)
	if p.startedCall() != nil {
		tasks = append(tasks, string(TaskResumeCall)+string(id))
	}
	switch {
	case !p.ended && idle && (deadline.IsZero() || idleAt.Before(deadline)):
		return append(tasks, string(TaskEndProgram)+string(id)+CauseIdle)
	case !p.ended && late:
		return append(tasks, string(TaskEndProgram)+string(id)+CauseDeadline)
	case p.ended && p.startedCall() == nil:
		for engine := range p.holds {
			tasks = append(tasks, string(TaskReleaseHold)+string(id)+string(engine))
		}
		if p.settled() && len(p.holds) == 0 && !m.now.Before(p.endedAt.Add(RetentionTime)) {
			tasks = append(tasks, string(TaskRemoveProgram)+string(id))
		}
	}
	return tasks
}
