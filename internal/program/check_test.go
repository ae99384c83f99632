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
	for _, held := range m.machine.Holds() {
		require.True(t, m.oracle[held.Program].holds[held.Engine])
		require.Equal(t, m.oracle[held.Program].ended, held.ProgramEnded)
	}
	m.checkDuties(t)
	return histories
}

func (m *model) checkProgram(t require.TestingT, id structs.ProgramID, p *oracleProgram) {
	status, err := m.machine.Status(testTenant, id)
	require.NoError(t, err)
	require.Equal(t, p.spent(), status.Spent)
	require.Equal(t, p.left(), status.Remaining)
	require.Equal(t, p.activity, status.LastActivityAt)
	used := status.Spent.Plus(status.Reserved).Plus(status.Granted)
	require.True(t, used.Within(status.Budget), "spent and reserved stay within the budget")
	require.Equal(t, p.ended, status.State != Open)
	require.Equal(t, p.next(func(*oracleCall) bool { return true }), status.NextCall)
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
	answer, err := m.machine.CallResult(testTenant, id, number)
	require.NoError(t, err)
	require.Equal(t, call.state, answer.State)
	require.Equal(t, call.spent, answer.Spent)
	require.Equal(t, string(call.answer), string(answer.Answer))
	if answer.Outcome == failure.NotRun {
		require.Contains(t, []CallState{Refused, Cancelled}, call.state)
		require.False(t, call.mayHaveRun)
	}
	view, dispatched := m.machine.StartedCall(id, number, call.key)
	require.Equal(t, call.state == Started, dispatched)
	if dispatched {
		require.Equal(t, call.abandon, view.AbandonRequested)
		require.Equal(t, call.reserve, view.Reserved)
	}
}

// checkDuties compares what a replica that has just taken over would do.
func (m *model) checkDuties(t require.TestingT) {
	data, err := m.machine.Snapshot()
	require.NoError(t, err)
	successor := NewMachine(testShard)
	require.NoError(t, successor.Restore(data))
	var duties []string
	for _, duty := range successor.DueTasks(m.now) {
		duties = append(duties, string(duty.Kind)+string(duty.Program)+string(duty.Hold.Engine)+duty.Cause)
	}
	var expected []string
	for id, p := range m.oracle {
		if !p.removed {
			expected = append(expected, m.dutiesOf(id, p)...)
		}
	}
	slices.Sort(duties)
	slices.Sort(expected)
	require.Equal(t, expected, duties)
}

func (m *model) dutiesOf(id structs.ProgramID, p *oracleProgram) (duties []string) {
	idle := p.started() == nil && !slices.ContainsFunc(p.children, func(c *oracleProgram) bool { return !c.settled() })
	idleAt, deadline := p.activity.Add(p.request.IdleTimeout), p.request.Deadline
	late := !deadline.IsZero() && !m.now.Before(deadline)
	idle = idle && !m.now.Before(idleAt)
	if p.started() != nil {
		duties = append(duties, string(TaskResumeCall)+string(id))
	}
	switch {
	case !p.ended && idle && (deadline.IsZero() || idleAt.Before(deadline)):
		return append(duties, string(TaskEndProgram)+string(id)+CauseIdle)
	case !p.ended && late:
		return append(duties, string(TaskEndProgram)+string(id)+CauseDeadline)
	case p.ended && p.started() == nil:
		for engine := range p.holds {
			duties = append(duties, string(TaskReleaseHold)+string(id)+string(engine))
		}
		if p.settled() && len(p.holds) == 0 && !m.now.Before(p.endedAt.Add(RetentionTime)) {
			duties = append(duties, string(TaskRemoveProgram)+string(id))
		}
	}
	return duties
}
