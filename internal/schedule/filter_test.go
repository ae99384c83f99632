package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var testNow = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

// idleEngine returns an engine that can serve testRequest.
func idleEngine(id structs.EngineID) Engine {
	return Engine{EngineStatus: structs.EngineStatus{
		ID: id, Incarnation: 3, Zone: "a", Address: "http://" + string(id), Role: structs.RoleMixed,
		Loaded:              []structs.LoadedModel{{Model: "model", Adapters: []string{"adapter"}}},
		CacheCapacityTokens: 100_000, MaxBatch: 16, ReportedAt: testNow,
	}}
}

func testRequest() *Request {
	return &Request{
		Program: "program", Model: "model", Adapter: "adapter", CacheZones: []structs.ZoneName{"a"},
		PromptTokens: 1_000, MaxAnswerTokens: 100, Started: testNow, Deadline: testNow.Add(time.Minute),
	}
}

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func TestFiltersExcludeEngines(t *testing.T) {
	cases := map[string]struct {
		filter Filter
		change func(*Engine, *Request)
	}{
		"zone not permitted":   {permittedZone{}, func(e *Engine, _ *Request) { e.Zone = "b" }},
		"no zone permitted":    {permittedZone{}, func(_ *Engine, r *Request) { r.CacheZones = nil }},
		"leaving":              {acceptsWork{}, func(e *Engine, _ *Request) { e.Leaving = true }},
		"prefill role":         {acceptsWork{}, func(e *Engine, _ *Request) { e.Role = structs.RolePrefill }},
		"excluded":             {acceptsWork{}, func(_ *Engine, r *Request) { r.Excluded = map[structs.EngineID]bool{"one": true} }},
		"model not loaded":     {modelLoaded{}, func(e *Engine, _ *Request) { e.Loaded = nil }},
		"other model loaded":   {modelLoaded{}, func(_ *Engine, r *Request) { r.Model = "other" }},
		"adapter not loaded":   {modelLoaded{}, func(_ *Engine, r *Request) { r.Adapter = "other" }},
		"prompt over capacity": {cacheCapacity{}, func(e *Engine, _ *Request) { e.CacheCapacityTokens = 1_099 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			engine, request := idleEngine("one"), testRequest()
			require.True(t, test.filter.Allow(testNow, &engine, request))
			test.change(&engine, request)
			require.False(t, test.filter.Allow(testNow, &engine, request))
		})
	}
}

func TestErrorsStateTheirCause(t *testing.T) {
	for _, name := range Names() {
		policy, err := New(name)
		require.NoError(t, err)
		request := testRequest()
		request.CacheZones = []structs.ZoneName{"b"}
		snapshot := &Snapshot{Engines: []Engine{idleEngine("one")}}
		_, err = policy.Choose(testNow, snapshot, request, testRandom())
		var notPermitted *failure.NoPermittedPlace
		require.ErrorAs(t, err, &notPermitted, name)
		require.Equal(t, "b", notPermitted.Zones)

		snapshot.Engines[0].Leaving = true
		_, err = policy.Choose(testNow, snapshot, testRequest(), testRandom())
		var unavailable *failure.EngineUnavailable
		require.ErrorAs(t, err, &unavailable, name)
		require.Positive(t, unavailable.Wait)
	}
}

// drawEngine draws an engine that may violate any of the mandatory rules.
func drawEngine(t *rapid.T, index int) Engine {
	engine := idleEngine(structs.EngineID(fmt.Sprintf("engine-%d", index)))
	engine.Zone = rapid.SampledFrom([]structs.ZoneName{"a", "b", "c"}).Draw(t, "zone")
	engine.Leaving = rapid.Bool().Draw(t, "leaving")
	engine.Role = rapid.SampledFrom([]structs.EngineRole{structs.RoleMixed, structs.RolePrefill, structs.RoleDecode}).Draw(t, "role")
	engine.Loaded[0].Model = rapid.SampledFrom([]structs.ModelName{"model", "other"}).Draw(t, "model")
	engine.Loaded[0].Adapters = rapid.SampledFrom([][]string{nil, {"adapter"}, {"x", "adapter"}}).Draw(t, "adapters")
	engine.Running = rapid.IntRange(0, 40).Draw(t, "running")
	engine.Waiting = rapid.IntRange(0, 40).Draw(t, "waiting")
	engine.DispatchedStreams = rapid.IntRange(0, 20).Draw(t, "own")
	engine.QueuedTokens = rapid.Int64Range(0, 1_000_000).Draw(t, "queued")
	engine.DispatchedTokens = rapid.Int64Range(0, 100_000).Draw(t, "own queued")
	engine.CacheUsedTokens = rapid.Int64Range(0, 100_000).Draw(t, "used")
	engine.MaxBatch = rapid.IntRange(0, 32).Draw(t, "batch")
	engine.ReportedAt = testNow.Add(-time.Duration(rapid.IntRange(-10, 100).Draw(t, "age")) * time.Second)
	return engine
}

func drawRequest(t *rapid.T, engines []Engine) *Request {
	request := testRequest()
	request.CacheZones = rapid.SampledFrom([][]structs.ZoneName{nil, {"a"}, {"a", "b"}, {"c"}}).Draw(t, "zones")
	request.Adapter = rapid.SampledFrom([]string{"", "adapter"}).Draw(t, "adapter")
	request.PromptTokens = rapid.Int64Range(1, 200_000).Draw(t, "prompt")
	request.CachedTokens = map[structs.EngineID]int64{}
	request.Excluded = map[structs.EngineID]bool{}
	for _, engine := range engines {
		request.CachedTokens[engine.ID] = rapid.Int64Range(0, 200_000).Draw(t, "cached")
		request.Excluded[engine.ID] = rapid.IntRange(0, 3).Draw(t, "exclude") == 0
		request.ParentEngine = engine.ID
	}
	request.EngineTimeUsed = time.Duration(rapid.IntRange(0, 1_000).Draw(t, "received")) * time.Second
	request.Deadline = rapid.SampledFrom([]time.Time{{}, testNow.Add(-time.Minute), testNow.Add(time.Millisecond), testNow.Add(time.Hour)}).Draw(t, "deadline")
	request.ExpectedPause = time.Duration(rapid.IntRange(-1, 600).Draw(t, "pause")) * time.Second
	return request
}

// No policy chooses an engine that a mandatory rule excludes, or a KV cache move from
// an engine outside the permitted zones. Every error has a failure type and states that
// the call did not run.
func TestNoPolicyViolatesMandatoryRules(t *testing.T) {
	for _, name := range append(Names(), Variants()...) {
		policy, err := New(name)
		require.NoError(t, err)
		rapid.Check(t, func(t *rapid.T) {
			count := rapid.IntRange(0, 12).Draw(t, "engines")
			snapshot := &Snapshot{}
			for index := range count {
				snapshot.Engines = append(snapshot.Engines, drawEngine(t, index))
			}
			request := drawRequest(t, snapshot.Engines)
			seed := rapid.Uint64().Draw(t, "seed")
			choice, err := policy.Choose(testNow, snapshot, request, rand.New(rand.NewPCG(seed, 0)))
			again, errAgain := mustNew(t, name).Choose(testNow, snapshot, request, rand.New(rand.NewPCG(seed, 0)))
			if err != nil {
				failed, isFailure := failure.As(err)
				require.True(t, isFailure)
				require.Equal(t, failure.NotRun, failed.Outcome())
				require.Positive(t, failed.Retry().After)
				return
			}
			requireAllowed(t, snapshot, request, choice)
			if name != "round-robin" {
				require.NoError(t, errAgain)
				require.Equal(t, choice, again, "the same seed must give the same choice")
			}
		})
	}
}

func mustNew(t require.TestingT, name string) Policy {
	policy, err := New(name)
	require.NoError(t, err)
	return policy
}

// requireAllowed checks the mandatory rules independently of the filters.
func requireAllowed(t *rapid.T, snapshot *Snapshot, request *Request, choice Choice) {
	index := slices.IndexFunc(snapshot.Engines, func(e Engine) bool { return e.ID == choice.Engine })
	require.GreaterOrEqual(t, index, 0)
	engine := snapshot.Engines[index]
	require.Contains(t, request.CacheZones, engine.Zone)
	require.False(t, engine.Leaving)
	require.False(t, request.Excluded[engine.ID])
	require.NotEqual(t, structs.RolePrefill, engine.Role)
	require.Equal(t, request.Model, engine.Loaded[0].Model)
	if request.Adapter != "" {
		require.Contains(t, engine.Loaded[0].Adapters, request.Adapter)
	}
	require.Equal(t, engine.Address, choice.Address)
	require.Equal(t, engine.Incarnation, choice.Incarnation)
	require.GreaterOrEqual(t, choice.Retain, time.Duration(0))
	if choice.MoveFrom != "" {
		source := slices.IndexFunc(snapshot.Engines, func(e Engine) bool { return e.ID == choice.MoveFrom })
		require.GreaterOrEqual(t, source, 0)
		require.NotEqual(t, choice.Engine, choice.MoveFrom)
		require.Contains(t, request.CacheZones, snapshot.Engines[source].Zone)
		require.Positive(t, request.CachedTokens[choice.MoveFrom])
	}
}
