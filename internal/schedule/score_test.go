package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Each change must raise the cost that the scorer predicts for the engine.
func TestScoresRiseWithCost(t *testing.T) {
	model := DefaultCostModel()
	cases := map[string]struct {
		scorer Scorer
		worse  func(*Engine, *Request)
	}{
		"wait: full batch":          {queueWait{&model}, func(e *Engine, _ *Request) { e.Running, e.Waiting = 16, 5 }},
		"wait: dispatched work":     {queueWait{&model}, func(e *Engine, _ *Request) { e.DispatchedTokens = 10_000 }},
		"decode: more streams":      {decodeTime{&model}, func(e *Engine, _ *Request) { e.Running = 10 }},
		"decode: longer context":    {decodeTime{&model}, func(_ *Engine, r *Request) { r.PromptTokens *= 20 }},
		"cache: no prefix":          {cacheAffinity{&model, false}, func(_ *Engine, r *Request) { r.CachedTokens = nil }},
		"cache: delays a batch":     {cacheAffinity{&model, false}, func(e *Engine, _ *Request) { e.Running = 10 }},
		"cache: prefix moved":       {cacheAffinity{&model, true}, func(_ *Engine, r *Request) { r.CachedTokens = map[structs.EngineID]int64{"two": 900} }},
		"eviction: full cache":      {cacheEviction{&model}, func(e *Engine, _ *Request) { e.CacheUsedTokens = 99_990 }},
		"prefix: not preferred":     {sharedPrefix{&model, 4_000}, func(e *Engine, r *Request) { makeNonPreferred(e, r) }},
		"prefix: longer to prefill": {sharedPrefix{&model, 4_000}, func(e *Engine, r *Request) { makeNonPreferred(e, r); e.Running = 10 }},
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

// makeNonPreferred gives the request a shared prefix for which the engine is not
// preferred, and no cache on the engine.
func makeNonPreferred(engine *Engine, request *Request) {
	request.SharedPrefix = 42
	request.CachedTokens = nil
	engine.ID = "three"
}

func TestMoveIsCheaperThanRecomputing(t *testing.T) {
	model, engine, request := DefaultCostModel(), idleEngine("one"), testRequest()
	request.PromptTokens = 20_000
	request.CachedTokens = map[structs.EngineID]int64{"two": 19_900}
	engine.Running = 10
	withoutMove := cacheAffinity{&model, false}.Score(testNow, &engine, request)
	withMove := cacheAffinity{&model, true}.Score(testNow, &engine, request)
	require.Less(t, withMove-model.SwitchMargin, (withoutMove-model.SwitchMargin)/2)
	request.CachedTokens["two"] = 10
	require.Equal(t, cacheAffinity{&model, false}.Score(testNow, &engine, request), cacheAffinity{&model, true}.Score(testNow, &engine, request), "the cached prefix is too short to move")
}

func TestSharedPrefixKeyAndWeightsAreDeterministic(t *testing.T) {
	first := make([]byte, SharedPrefixBytes)
	key := SharedPrefixKey("model", "adapter", first)
	require.NotZero(t, key)
	require.Equal(t, key, SharedPrefixKey("model", "adapter", append(first, "the rider's own words"...)))
	require.NotEqual(t, key, SharedPrefixKey("model", "other", first), "the adapter is part of the key")
	require.Zero(t, SharedPrefixKey("model", "adapter", first[:100]))
	require.Equal(t, rendezvousWeight(key, "one"), rendezvousWeight(key, "one"))
	require.NotEqual(t, rendezvousWeight(key, "one"), rendezvousWeight(key, "two"))
}

func TestEarlierProgramsHaveEnginePriority(t *testing.T) {
	early, late, urgent := testRequest(), testRequest(), testRequest()
	late.Started = testNow.Add(5 * time.Second)
	urgent.Started = late.Started
	urgent.Priority = 1
	require.Less(t, enginePriority(early), enginePriority(late))
	require.Less(t, enginePriority(urgent), enginePriority(late))
	require.Less(t, enginePriority(urgent), enginePriority(early), "one step of priority outweighs five seconds")
}

func TestRetentionCoversExpectedPause(t *testing.T) {
	request := testRequest()
	require.Equal(t, defaultRetention, cacheRetention(request))
	request.ExpectedPause = 20 * time.Second
	require.Greater(t, cacheRetention(request), 20*time.Second)
	request.ExpectedPause = time.Hour
	require.Equal(t, maxRetention, cacheRetention(request))
	request.ExpectedPause = -1
	require.Zero(t, cacheRetention(request))
}

func TestCallsThatCannotStartInTimeAreRejected(t *testing.T) {
	snapshot := threeEngines()
	for index := range snapshot.Engines {
		snapshot.Engines[index].Waiting = 500
	}
	request := testRequest()
	request.Deadline = testNow.Add(2 * time.Second)
	_, err := mustNew(t, "program-aware").Choose(testNow, snapshot, request, testRandom())
	var overloaded *failure.Overloaded
	require.ErrorAs(t, err, &overloaded)
	require.Positive(t, overloaded.Wait)
	request.Deadline = testNow.Add(time.Hour)
	require.Positive(t, mustChoose(t, "program-aware", snapshot, request).PredictedWait)
	request.Deadline = testNow.Add(-time.Second)
	require.NotEmpty(t, mustChoose(t, "program-aware", snapshot, request).Engine, "a program past its deadline is still served")
}

func TestCandidatesAlwaysIncludeEnginesWithCache(t *testing.T) {
	snapshot := &Snapshot{}
	request := testRequest()
	request.CachedTokens = map[structs.EngineID]int64{"engine-90": 900}
	request.ParentEngine = "engine-70"
	for index := range 100 {
		snapshot.Engines = append(snapshot.Engines, idleEngine(structs.EngineID("engine-"+string(rune('0'+index/10))+string(rune('0'+index%10)))))
	}
	eligible, err := eligibleEngines(testNow, snapshot, request)
	require.NoError(t, err)
	candidates := candidateEngines(snapshot, request, eligible, testRandom())
	require.Len(t, candidates, sampledEngines+2)
	require.Contains(t, candidates, 90)
	require.Contains(t, candidates, 70)
}

func BenchmarkChoose(b *testing.B) {
	snapshot, request, random := &Snapshot{}, testRequest(), testRandom()
	for index := range 64 {
		snapshot.Engines = append(snapshot.Engines, idleEngine(structs.EngineID("engine-"+string(rune('A'+index)))))
	}
	for _, name := range Names() {
		policy := mustNew(b, name)
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
	choice := mustChoose(t, "program-aware", snapshot, request)
	require.NotEqual(t, structs.EngineID("one"), choice.Engine)
	require.Equal(t, structs.EngineID("one"), choice.MoveFrom)
	snapshot.Engines[0].Zone = "b"
	require.Empty(t, mustChoose(t, "program-aware", snapshot, request).MoveFrom, "the source is in a zone in which the cache is not permitted")
}

func TestSubAgentsStartOnParentEngine(t *testing.T) {
	snapshot, request := threeEngines(), testRequest()
	request.PromptTokens = 10_000
	request.ParentEngine = "three"
	snapshot.Engines[2].Running = 12
	require.Equal(t, structs.EngineID("three"), mustChoose(t, "program-aware", snapshot, request).Engine)
	require.Equal(t, structs.EngineID("three"), mustChoose(t, "affinity", snapshot, request).Engine)
	request.CachedTokens = map[structs.EngineID]int64{"one": 9_000}
	require.Equal(t, structs.EngineID("one"), mustChoose(t, "program-aware", snapshot, request).Engine, "its own cache has precedence over its parent's")
}

func TestProgramsLeaveTheirCacheOnlyForLargeSavings(t *testing.T) {
	snapshot, request := threeEngines(), testRequest()
	request.CachedTokens = map[structs.EngineID]int64{"one": 900}
	snapshot.Engines[0].Running = 14
	snapshot.Engines[1].Running = 1
	require.Equal(t, structs.EngineID("one"), mustChoose(t, "program-aware", snapshot, request).Engine)
	snapshot.Engines[0].Waiting = 200
	require.Equal(t, structs.EngineID("two"), mustChoose(t, "program-aware", snapshot, request).Engine)
}
