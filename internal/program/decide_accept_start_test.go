package program

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func startOf(key string) StartRequest {
	return StartRequest{TargetID: string(testEngine), TargetIncarnation: 3, DispatchKey: key, Reserve: testReserve(), MayCache: true}
}

// One entry leads to the same state as the two that it takes the place of.
func TestAcceptAndStartEqualsAcceptThenStart(t *testing.T) {
	together, apart := newFixture(t), newFixture(t)
	id := together.open("p")
	require.Equal(t, id, apart.open("p"))
	together.commit(together.machine.AcceptAndStart(together.now, modelCall(id, 1), startOf("k")))
	apart.commit(apart.machine.Accept(apart.now, modelCall(id, 1)))
	apart.start(id, 1, "k")
	one, found := together.machine.Call(id, 1)
	require.True(t, found)
	two, _ := apart.machine.Call(id, 1)
	require.Equal(t, two, one)
	require.Equal(t, apart.machine.ProgramHolds(id), together.machine.ProgramHolds(id))
	first, _ := together.machine.StatusForAnyTenant(id)
	second, _ := apart.machine.StatusForAnyTenant(id)
	require.Equal(t, second, first)
}

// A call that may not start at once is accepted alone: out of turn, beyond the
// budget, or repeated.
func TestAcceptAndStartStartsOnlyTheNextCallWithinTheBudget(t *testing.T) {
	f := newFixture(t)
	id := f.open("p")
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 2), startOf("early")))
	require.False(t, f.machine.CanStartOnAccept(id, 2))
	dear := startOf("dear")
	dear.Reserve.Tokens = testBudget().Tokens + 1
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 1), dear))
	for _, number := range []structs.CallNumber{1, 2} {
		call, found := f.machine.Call(id, number)
		require.True(t, found)
		require.Equal(t, Accepted, call.State)
	}
	require.Empty(t, f.machine.ProgramHolds(id))
	decision, err := f.machine.AcceptAndStart(f.now, modelCall(id, 1), startOf("again"))
	require.NoError(t, err)
	require.True(t, decision.Repeat)
	f.start(id, 1, "k")
	f.commit(f.machine.AcceptAndStart(f.now, modelCall(id, 3), startOf("third")))
	third, _ := f.machine.Call(id, 3)
	require.Equal(t, Accepted, third.State, "call 1 is under way")
}
