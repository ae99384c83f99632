package executor

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// scriptedPolicy gives its choices in turn, one a call; a choice without an engine and a delay is
// the failure to find one.
type scriptedPolicy struct {
	schedule.Policy
	choices []schedule.Choice
}

func (p *scriptedPolicy) Choose(time.Time, *schedule.Snapshot, *schedule.Request, *rand.Rand) (schedule.Choice, error) {
	next := p.choices[0]
	p.choices = p.choices[1:]
	if next.Engine == "" && next.Defer == 0 {
		return next, &failure.EngineUnavailable{}
	}
	return next, nil
}

// fixedEngines is a view of one engine.
type fixedEngines struct {
	Engines
	engine structs.EngineStatus
}

func (f fixedEngines) Snapshot() *schedule.Snapshot {
	return &schedule.Snapshot{Engines: []schedule.Engine{{EngineStatus: f.engine}}}
}

func (f fixedEngines) RequestEngines([]structs.ZoneName, structs.ModelName) {}

// A call that had been deferred for longer than the search may take was rejected at the first look that found no engine.
func TestADeferredCallStillSearchesForAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shard, _, id, _ := newLedShard(t)
		policy := &scriptedPolicy{choices: []schedule.Choice{{Defer: engineSearchTimeout + time.Second}, {}, {Engine: "e"}}}
		shard.executor.options.Policy = func() schedule.Policy { return policy }
		shard.executor.options.Engines = fixedEngines{engine: structs.EngineStatus{ID: "e", Zone: "z"}}
		worker := &worker{shard: shard, tenant: testTenant, program: id, context: t.Context()}
		status, err := worker.status()
		require.NoError(t, err)
		status.CacheZones = []structs.ZoneName{"z"}
		attempt := &modelAttempt{call: &program.Call{Program: id, Number: 1}, segments: [][]byte{{}}}

		require.NoError(t, worker.findEngine(attempt, status, nil))
		require.Equal(t, structs.EngineID("e"), attempt.choice.Engine)
	})
}
