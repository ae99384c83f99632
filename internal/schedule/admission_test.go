package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func TestNewProgramsNeedMemoryForGrowth(t *testing.T) {
	engine, request := idleEngine("one"), testRequest()
	engine.CacheUsedTokens = 80_000
	require.True(t, hasMemoryFor(&engine, request))
	request.ExpectedGrowth = 20_000
	require.False(t, hasMemoryFor(&engine, request), "the expected growth exceeds the free cache")
	request.ExpectedGrowth = 0
	engine.CacheUsedTokens = 90_000
	require.False(t, hasMemoryFor(&engine, request))
	engine.DispatchedTokens, engine.CacheUsedTokens = 90_000, 0
	require.False(t, hasMemoryFor(&engine, request), "dispatches since the report count")
	engine.CacheCapacityTokens = 0
	require.True(t, hasMemoryFor(&engine, request), "the engine does not report its capacity")
}

// fullEngines returns engines without memory for a new program.
func fullEngines() *Snapshot {
	snapshot := threeEngines()
	for index := range snapshot.Engines {
		snapshot.Engines[index].CacheUsedTokens = snapshot.Engines[index].CacheCapacityTokens
	}
	return snapshot
}

func TestNewProgramsAreDeferredOnlyIfNoEngineHasMemory(t *testing.T) {
	snapshot := fullEngines()
	require.Equal(t, admissionInterval, mustChoose(t, "program-aware", snapshot, testRequest()).Defer)
	snapshot.Engines[1].CacheUsedTokens = 0
	snapshot.Engines[1].Running = 15
	choice := mustChoose(t, "program-aware", snapshot, testRequest())
	require.Zero(t, choice.Defer)
	require.Equal(t, structs.EngineID("two"), choice.Engine)
	for _, baseline := range []string{"affinity", "least-loaded", "random-two", "round-robin"} {
		require.Zero(t, mustChoose(t, baseline, fullEngines(), testRequest()).Defer, baseline)
	}
}

func TestRunningProgramsAreNeverDeferred(t *testing.T) {
	changes := map[string]func(*Request){
		"served before":      func(r *Request) { r.EngineTimeUsed = time.Second },
		"sub-agent":          func(r *Request) { r.ParentEngine = "two" },
		"cached":             func(r *Request) { r.CachedTokens = map[structs.EngineID]int64{"two": 5} },
		"without a deadline": func(r *Request) { r.Deadline = time.Time{} },
	}
	for name, change := range changes {
		request := testRequest()
		change(request)
		require.Zero(t, mustChoose(t, "program-aware", fullEngines(), request).Defer, name)
	}
}

func TestDeferralEndsBeforeDeadline(t *testing.T) {
	request := testRequest()
	halfway := request.Started.Add(request.Deadline.Sub(request.Started) / 2)
	for at, expected := range map[time.Time]time.Duration{halfway.Add(-time.Millisecond): admissionInterval, halfway: 0} {
		choice, err := mustNew(t, "program-aware").Choose(at, fullEngines(), request, testRandom())
		require.NoError(t, err)
		require.Equal(t, expected, choice.Defer)
	}
}
