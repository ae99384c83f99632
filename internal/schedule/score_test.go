package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Each scorer is given a change that must make the engine dearer.
func TestScoresRiseWithCost(t *testing.T) {
	model := DefaultCostModel()
	cases := map[string]struct {
		scorer Scorer
		worse  func(*Engine, *Request)
	}{
		"wait: full batch":          {predictedWait{&model}, func(e *Engine, _ *Request) { e.Running, e.Waiting = 16, 5 }},
		"wait: own dispatches":      {predictedWait{&model}, func(e *Engine, _ *Request) { e.DispatchedTokens = 10_000 }},
		"decode: more streams":      {decodeSpeed{&model}, func(e *Engine, _ *Request) { e.Running = 10 }},
		"decode: longer context":    {decodeSpeed{&model}, func(_ *Engine, r *Request) { r.PromptTokens *= 20 }},
		"cache: not held":           {cacheAffinity{&model, false}, func(_ *Engine, r *Request) { r.CachedTokens = nil }},
		"cache: delays a batch":     {cacheAffinity{&model, false}, func(e *Engine, _ *Request) { e.Running = 10 }},
		"cache: move costs":         {cacheAffinity{&model, true}, func(_ *Engine, r *Request) { r.CachedTokens = map[structs.EngineID]int64{"two": 900} }},
		"room: evicts others":       {cacheRoom{&model}, func(e *Engine, _ *Request) { e.CacheUsedTokens = 99_990 }},
		"prefix: not a home":        {sharedPrefix{&model, 4_000}, func(e *Engine, r *Request) { makeStranger(e, r) }},
		"prefix: longer to prefill": {sharedPrefix{&model, 4_000}, func(e *Engine, r *Request) { makeStranger(e, r); e.Running = 10 }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			engine, request := idleEngine("one"), testRequest()
			request.CachedTokens = map[structs.EngineID]int64{"one": 900}
			before := test.scorer.Score(testNow, &engine, request)
			test.worse(&engine, request)
			require.Greater(t, test.scorer.Score(testNow, &engine, request), before)
		})
	}
}

// makeStranger gives the request a shared prefix and no cache on the engine.
func makeStranger(engine *Engine, request *Request) {
	request.SharedPrefix = 42
	request.CachedTokens = nil
	engine.ID = "three"
}

func TestMoveIsCheaperThanRecomputing(t *testing.T) {
	model, engine, request := DefaultCostModel(), idleEngine("one"), testRequest()
	request.PromptTokens = 20_000
	request.CachedTokens = map[structs.EngineID]int64{"two": 19_900}
	engine.Running = 10
	without := cacheAffinity{&model, false}.Score(testNow, &engine, request)
	with := cacheAffinity{&model, true}.Score(testNow, &engine, request)
	require.Less(t, with-model.SwitchMargin, (without-model.SwitchMargin)/2)
	request.CachedTokens["two"] = 10
	require.Equal(t, cacheAffinity{&model, false}.Score(testNow, &engine, request), cacheAffinity{&model, true}.Score(testNow, &engine, request), "too little to move")
}

func TestSharedPrefixKeyAndWeightsAreDeterministic(t *testing.T) {
	first := make([]byte, SharedPrefixBytes)
	key := SharedPrefixKey("model", "adapter", first)
	require.NotZero(t, key)
	require.Equal(t, key, SharedPrefixKey("model", "adapter", append(first, "the rider's own words"...)))
	require.NotEqual(t, key, SharedPrefixKey("model", "other", first), "an adapter changes the cache")
	require.Zero(t, SharedPrefixKey("model", "adapter", first[:100]))
	require.Equal(t, rendezvous(key, "one"), rendezvous(key, "one"))
	require.NotEqual(t, rendezvous(key, "one"), rendezvous(key, "two"))
}

func TestEarlierProgramsHaveEnginePriority(t *testing.T) {
	early, late, urgent := testRequest(), testRequest(), testRequest()
	late.Started = testNow.Add(5 * time.Second)
	urgent.Started = late.Started
	urgent.Priority = 1
	require.Less(t, enginePriority(early), enginePriority(late))
	require.Less(t, enginePriority(urgent), enginePriority(late))
	require.Less(t, enginePriority(urgent), enginePriority(early), "a step of priority is worth more than five seconds")
}

func TestRetentionCoversExpectedPause(t *testing.T) {
	request := testRequest()
	require.Equal(t, retainUnknown, retention(request))
	request.ExpectedPause = 20 * time.Second
	require.Greater(t, retention(request), 20*time.Second)
	request.ExpectedPause = time.Hour
	require.Equal(t, retainMost, retention(request))
	request.ExpectedPause = -1
	require.Zero(t, retention(request))
}

func TestCallsThatCannotStartInTimeAreRejected(t *testing.T) {
	snapshot := threeEngines()
	for index := range snapshot.Engines {
		snapshot.Engines[index].Waiting = 500
	}
	request := testRequest()
	request.Deadline = testNow.Add(2 * time.Second)
	_, err := policyOf(t, "program-aware").Choose(testNow, snapshot, request, testRandom())
	var overloaded *failure.Overloaded
	require.ErrorAs(t, err, &overloaded)
	require.Positive(t, overloaded.Wait)
	request.Deadline = testNow.Add(time.Hour)
	require.Positive(t, chosen(t, "program-aware", snapshot, request).PredictedWait)
	request.Deadline = testNow.Add(-time.Second)
	require.NotEmpty(t, chosen(t, "program-aware", snapshot, request).Engine, "a program that is late already goes on")
}

func TestCandidatesAlwaysIncludeEnginesWithCache(t *testing.T) {
	snapshot := &Snapshot{}
	request := testRequest()
	request.CachedTokens = map[structs.EngineID]int64{"engine-90": 900}
	request.ParentEngine = "engine-70"
	for index := range 100 {
		snapshot.Engines = append(snapshot.Engines, idleEngine(structs.EngineID("engine-"+string(rune('0'+index/10))+string(rune('0'+index%10)))))
	}
	passed, err := eligible(testNow, snapshot, request)
	require.NoError(t, err)
	drawn := candidates(snapshot, request, passed, testRandom())
	require.Len(t, drawn, sampledEngines+2)
	require.Contains(t, drawn, 90)
	require.Contains(t, drawn, 70)
}

func BenchmarkChoose(b *testing.B) {
	snapshot, request, random := &Snapshot{}, testRequest(), testRandom()
	for index := range 64 {
		snapshot.Engines = append(snapshot.Engines, idleEngine(structs.EngineID("engine-"+string(rune('A'+index)))))
	}
	for _, name := range Names() {
		policy := policyOf(b, name)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, err := policy.Choose(testNow, snapshot, request, random)
				require.NoError(b, err)
			}
		})
	}
}

func TestCacheOfLeavingEngineIsMoved(t *testing.T) {
	snapshot, request := threeEngines(), testRequest()
	snapshot.Engines[0].Leaving = true
	request.PromptTokens = 20_000
	request.CachedTokens = map[structs.EngineID]int64{"one": 19_000}
	choice := chosen(t, "program-aware", snapshot, request)
	require.NotEqual(t, structs.EngineID("one"), choice.Engine)
	require.Equal(t, structs.EngineID("one"), choice.MoveFrom)
	snapshot.Engines[0].Zone = "b"
	require.Empty(t, chosen(t, "program-aware", snapshot, request).MoveFrom, "the source stands where the cache may not rest")
}

func TestSubAgentsStartOnParentEngine(t *testing.T) {
	snapshot, request := threeEngines(), testRequest()
	request.PromptTokens = 10_000
	request.ParentEngine = "three"
	snapshot.Engines[2].Running = 12
	require.Equal(t, structs.EngineID("three"), chosen(t, "program-aware", snapshot, request).Engine)
	require.Equal(t, structs.EngineID("three"), chosen(t, "affinity", snapshot, request).Engine)
	request.CachedTokens = map[structs.EngineID]int64{"one": 9_000}
	require.Equal(t, structs.EngineID("one"), chosen(t, "program-aware", snapshot, request).Engine, "its own cache counts more")
}

func TestProgramsLeaveTheirCacheOnlyForLargeSavings(t *testing.T) {
	snapshot, request := threeEngines(), testRequest()
	request.CachedTokens = map[structs.EngineID]int64{"one": 900}
	snapshot.Engines[0].Running = 14
	snapshot.Engines[1].Running = 1
	require.Equal(t, structs.EngineID("one"), chosen(t, "program-aware", snapshot, request).Engine)
	snapshot.Engines[0].Waiting = 200
	require.Equal(t, structs.EngineID("two"), chosen(t, "program-aware", snapshot, request).Engine)
}
