package program

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func startRequest(key string) StartRequest {
	return StartRequest{TargetID: string(testEngine), TargetIncarnation: 3, DispatchKey: key, Reserve: testReserve(), MayCache: true}
}

// TestAcceptAndStartEqualsAcceptThenStart checks that the single entry leads
// to the same state as the two entries that it replaces.
func TestAcceptAndStartEqualsAcceptThenStart(t *testing.T) {
	combined, separate := newFixture(t), newFixture(t)
	id := combined.open("p")
	require.Equal(t, id, separate.open("p"))
	combined.commit(combined.machine.AcceptAndStart(combined.now, modelCall(id, 1), startRequest("k")))
	separate.commit(separate.machine.Accept(separate.now, modelCall(id, 1)))
	separate.start(id, 1, "k")
	combinedCall, found := combined.machine.Call(id, 1)
	require.True(t, found)
	separateCall, _ := separate.machine.Call(id, 1)
	require.Equal(t, separateCall, combinedCall)
	require.Equal(t, separate.machine.ProgramHolds(id), combined.machine.ProgramHolds(id))
	combinedStatus, _ := combined.machine.StatusForAnyTenant(id)
	separateStatus, _ := separate.machine.StatusForAnyTenant(id)
	require.Equal(t, separateStatus, combinedStatus)
}

// TestAcceptAndStartStartsOnlyTheNextCallWithinTheBudget checks that a call
// that may not start immediately is only accepted: one that is out of order,
// over the budget, or repeated.
func TestAcceptAndStartStartsOnlyTheNextCallWithinTheBudget(t *testing.T) {
	f := newFixture(t)
	id := f.open("p")
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 2), startRequest("early")))
	require.False(t, f.machine.CanStartOnAccept(id, 2))
	overBudget := startRequest("dear")
	overBudget.Reserve.Tokens = testBudget().Tokens + 1
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 1), overBudget))
	for _, number := range []structs.CallNumber{1, 2} {
		call, found := f.machine.Call(id, number)
		require.True(t, found)
		require.Equal(t, Accepted, call.State)
	}
	require.Empty(t, f.machine.ProgramHolds(id))
	decision, err := f.machine.AcceptAndStart(f.now, modelCall(id, 1), startRequest("again"))
	require.NoError(t, err)
	require.True(t, decision.Repeat)
	f.start(id, 1, "k")
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 3), startRequest("third")))
	third, _ := f.machine.Call(id, 3)
	require.Equal(t, Accepted, third.State, "call 1 is still started")
}
