package executor

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// mortalEngine is an engine whose process ends under its first stream, after one chunk.
type mortalEngine struct {
	listener net.Listener

	mutex sync.Mutex
	ended bool
}

func newMortalEngine(t *testing.T) *mortalEngine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	started := &mortalEngine{listener: listener}
	go started.serve()
	return started
}

func (e *mortalEngine) serve() {
	connection, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	chunk := `{"offset":0,"text":"a"}` + "\n"
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(chunk), chunk)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ended = true
	e.listener.Close()
}

func (e *mortalEngine) hasEnded() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.ended
}

// mortalEngines is the scheduler's view of engines that end. It implements Engines and schedule.Policy.
type mortalEngines struct {
	schedule.Policy
	engines []*mortalEngine
}

func (m *mortalEngines) id(i int) structs.EngineID { return structs.EngineID(fmt.Sprint("e", i)) }

func (m *mortalEngines) Snapshot() *schedule.Snapshot {
	snapshot := &schedule.Snapshot{}
	for i, each := range m.engines {
		snapshot.Engines = append(snapshot.Engines, schedule.Engine{EngineStatus: structs.EngineStatus{ID: m.id(i), Zone: "z", Address: "http://" + each.listener.Addr().String()}})
	}
	return snapshot
}

func (m *mortalEngines) StreamStarted(structs.EngineID, int64) func()         { return func() {} }
func (m *mortalEngines) ReportFailure(structs.EngineID)                       {}
func (m *mortalEngines) RequestEngines([]structs.ZoneName, structs.ModelName) {}
func (m *mortalEngines) choice(i int) schedule.Choice {
	return schedule.Choice{Engine: m.id(i), Address: "http://" + m.engines[i].listener.Addr().String(), Incarnation: 1}
}

func (m *mortalEngines) Choose(_ time.Time, _ *schedule.Snapshot, request *schedule.Request, _ *rand.Rand) (schedule.Choice, error) {
	for i := range m.engines {
		if !request.Excluded[m.id(i)] {
			return m.choice(i), nil
		}
	}
	return schedule.Choice{}, &failure.EngineUnavailable{}
}

// runLethalCall runs a model call whose engines end under it, and returns them with the call's result.
func runLethalCall(t *testing.T, repeatable bool) ([]*mortalEngine, program.CallResult) {
	const engineCount = 6
	shard, _, _, id := newLedShard(t)
	id, err := structs.NewChildID(id, "lethal")
	require.NoError(t, err)
	openProgram(t, shard, program.OpenRequest{
		ID: id, Tenant: testTenant, IdempotencyKey: "lethal", CacheZones: []structs.ZoneName{"z"}, HistoryZones: []structs.ZoneName{"z"},
		Budget: structs.Amount{Tokens: 100000, CostMicros: 100000, Turns: 20, Milliseconds: 100000},
	})
	engines := &mortalEngines{}
	for range engineCount {
		engines.engines = append(engines.engines, newMortalEngine(t))
	}
	options := &shard.executor.options
	options.Engines, options.Policy = engines, func() schedule.Policy { return engines }
	options.EngineClient = engine.NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	options.Configuration = func() *structs.Configuration { return nil }
	request := callRequest(operation{tenant: testTenant, program: id},
		caller.CallRequest{Number: 1, Kind: caller.CallModel, Target: "m", MaxAnswerTokens: 10, Repeatable: repeatable}, 1)
	_, err = shard.proposeDecision(t.Context(), func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Accept(now, request)
	}, id)
	require.NoError(t, err)
	call, _ := shard.machine.RunnableCall(id)
	require.NotNil(t, call)
	worker := &worker{shard: shard, tenant: testTenant, program: id, context: t.Context()}
	for range 3 * engineCount {
		runnable, found := shard.machine.RunnableCall(id)
		if !found {
			break
		}
		require.NoError(t, worker.runModel(runnable, false))
	}
	result, err := shard.machine.CallResult(testTenant, id, 1)
	require.NoError(t, err)
	return engines.engines, result
}

func endedEngines(engines []*mortalEngine) (ended int) {
	for _, each := range engines {
		if each.hasEnded() {
			ended++
		}
	}
	return ended
}

func TestCallThatEndsItsEnginesIsSentToThreeAtMost(t *testing.T) {
	engines, result := runLethalCall(t, true)
	require.Equal(t, 3, endedEngines(engines))
	require.True(t, result.State.Final(), "%+v", result)
}

// TestCallWhoseEngineEndedHasRun has the engine of a call end that must not be repeated.
func TestCallWhoseEngineEndedHasRun(t *testing.T) {
	engines, result := runLethalCall(t, false)
	require.Equal(t, 1, endedEngines(engines), "%+v", result)
	require.Equal(t, program.OutcomeUnknown, result.State)
}
