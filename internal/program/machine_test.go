package program

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var (
	testDomain = structs.Domain{Name: "test", FirstShard: 7, ShardCount: 1}
	testStart  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

const (
	testTenant = structs.TenantID("rider-app")
	testShard  = structs.ShardID(7)
	testEngine = structs.EngineID("engine-1")
)

// fixture wraps a machine and commits its proposals immediately.
type fixture struct {
	t       *testing.T
	machine *Machine
	now     time.Time
	index   uint64
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, machine: NewMachine(testShard), now: testStart}
}

// commit applies the decision's records as one journal entry.
func (f *fixture) commit(decision Decision, err error) {
	f.t.Helper()
	require.NoError(f.t, err)
	data, err := proto.Marshal(decision.Batch())
	require.NoError(f.t, err)
	f.index++
	f.machine.Apply(f.index, data)
}

func testBudget() structs.Amount {
	return structs.Amount{Tokens: 10_000, CostMicros: 5_000, Turns: 20, Milliseconds: 60_000}
}

func (f *fixture) open(key string) structs.ProgramID {
	f.t.Helper()
	id := structs.NewProgramID(testDomain, testTenant, key)
	f.commit(f.machine.Open(f.now, OpenRequest{ID: id, Tenant: testTenant, ProgramName: "door", IdempotencyKey: key,
		Budget: testBudget(), IdleTimeout: time.Minute, HistoryZones: []structs.ZoneName{"a"}, Hash: 1}))
	return id
}

func modelCall(id structs.ProgramID, number structs.CallNumber) CallRequest {
	return CallRequest{Program: id, Tenant: testTenant, Number: number, Kind: ModelCall, Target: "swap",
		Repeatable: true, Input: []byte("why is the door stuck?"), MaxAnswerTokens: 50, Hash: uint64(number)}
}

func toolCall(id structs.ProgramID, number structs.CallNumber) CallRequest {
	request := modelCall(id, number)
	request.Kind, request.Target, request.Repeatable = ToolCall, "cabinet-release", false
	return request
}

func testReserve() structs.Amount {
	return structs.Amount{Tokens: 100, CostMicros: 10, Milliseconds: 1000}
}

func (f *fixture) start(id structs.ProgramID, number structs.CallNumber, key string) {
	f.t.Helper()
	f.commit(f.machine.Start(f.now, StartRequest{Program: id, Number: number, TargetID: string(testEngine),
		TargetIncarnation: 3, DispatchKey: key, Reserve: testReserve(), MayCache: true}))
	_, dispatched := f.machine.StartedCall(id, number, key)
	require.True(f.t, dispatched)
}

func (f *fixture) finish(id structs.ProgramID, number structs.CallNumber, attempt uint32, answer string) {
	f.t.Helper()
	f.commit(f.machine.Finish(f.now, FinishRequest{Program: id, Number: number, Attempt: attempt,
		Answer: []byte(answer), Spent: structs.Amount{Tokens: 40, CostMicros: 4, Milliseconds: 200}}))
}

func (f *fixture) status(id structs.ProgramID) Status {
	f.t.Helper()
	status, err := f.machine.Status(testTenant, id)
	require.NoError(f.t, err)
	return status
}

func TestCallsRunInOrder(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 2)))
	_, runnable := f.machine.RunnableCall(id)
	require.False(t, runnable, "call 2 must wait for call 1")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	_, err := f.machine.Start(f.now, StartRequest{Program: id, Number: 2, DispatchKey: "x"})
	require.IsType(t, &failure.WrongOrder{}, err)
	f.start(id, 1, "k1")
	_, runnable = f.machine.RunnableCall(id)
	require.False(t, runnable, "only one call may be started at a time")
	f.finish(id, 1, 1, "pull the lever")
	next, runnable := f.machine.RunnableCall(id)
	require.True(t, runnable)
	require.Equal(t, structs.CallNumber(2), next.Number)
	turns, err := f.machine.History(id)
	require.NoError(t, err)
	require.Equal(t, []Turn{{Number: 1, Kind: ModelCall, Target: "swap",
		Input: []byte("why is the door stuck?"), Answer: []byte("pull the lever")}}, turns)
}

func TestEarlyCallsAreBounded(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	_, err := f.machine.Accept(f.now, modelCall(id, MaxEarlyCalls+2))
	require.Equal(t, &failure.WrongOrder{Got: MaxEarlyCalls + 2, Next: 1}, err)
	f.commit(f.machine.Accept(f.now, modelCall(id, MaxEarlyCalls+1)))
}

func TestAcceptDetectsRepeatsAndConflicts(t *testing.T) {
	f := newFixture(t)
	id := f.open("k")
	f.commit(f.machine.Accept(f.now, modelCall(id, 1)))
	decision, err := f.machine.Accept(f.now, modelCall(id, 1))
	require.NoError(t, err)
	require.True(t, decision.Repeat)
	other := modelCall(id, 1)
	other.Hash = 99
	_, err = f.machine.Accept(f.now, other)
	require.IsType(t, &failure.CallConflict{}, err)
	_, err = f.machine.Status("someone-else", id)
	require.IsType(t, &failure.UnknownProgram{}, err)
}
