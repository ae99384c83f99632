package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func TestNewProgramsAreHeldWhileMemoryIsFull(t *testing.T) {
	engine, request := idleEngine("one"), testRequest()
	require.Zero(t, deferral(testNow, &engine, request), "there is room")
	engine.CacheUsedTokens = 90_000
	require.Equal(t, admissionInterval, deferral(testNow, &engine, request))
	engine.CacheUsedTokens = 80_000
	require.Zero(t, deferral(testNow, &engine, request))
	request.ExpectedGrowth = 20_000
	require.Equal(t, admissionInterval, deferral(testNow, &engine, request), "programs of its name grow long")
	engine.OwnQueuedTokens, engine.CacheUsedTokens = 90_000, 0
	require.Equal(t, admissionInterval, deferral(testNow, &engine, request), "what was sent since the report counts")
	engine.CacheCapacityTokens = 0
	require.Zero(t, deferral(testNow, &engine, request), "nothing is known of the engine's memory")
}

func TestProgramsUnderWayAreNeverHeld(t *testing.T) {
	engine := idleEngine("one")
	engine.CacheUsedTokens = engine.CacheCapacityTokens
	changes := map[string]func(*Request){
		"served before":      func(r *Request) { r.Received = time.Second },
		"sub-agent":          func(r *Request) { r.ParentEngine = "two" },
		"cached":             func(r *Request) { r.Cached = map[structs.EngineID]int64{"two": 5} },
		"without a deadline": func(r *Request) { r.Deadline = time.Time{} },
	}
	for name, change := range changes {
		request := testRequest()
		require.Positive(t, deferral(testNow, &engine, request))
		change(request)
		require.Zero(t, deferral(testNow, &engine, request), name)
	}
}

func TestHoldingEndsBeforeTheDeadline(t *testing.T) {
	engine, request := idleEngine("one"), testRequest()
	engine.CacheUsedTokens = engine.CacheCapacityTokens
	half := request.Started.Add(request.Deadline.Sub(request.Started) / 2)
	require.Positive(t, deferral(half.Add(-time.Millisecond), &engine, request))
	require.Zero(t, deferral(half, &engine, request))
}
