// Package schedule chooses the engine that serves a model call. It is pure: a policy
// takes a snapshot of the engines, a request, the time and a source of randomness, and
// returns a choice. It does no I/O, starts no goroutines and reads no clock, so the
// simulator and the daemon run the same code.
//
// A policy consists of filters, which exclude engines, and scorers, which predict what
// an engine costs the whole program, as a duration. Among a few sampled candidates, the
// engine with the lowest total cost is chosen.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Engine is an engine as this daemon sees it: its last report, which is delayed, and
// what this daemon has dispatched since then.
type Engine struct {
	structs.EngineStatus
	// DispatchedStreams counts the streams that this daemon dispatched after the
	// report.
	DispatchedStreams int
	// DispatchedTokens counts the prompt tokens of those streams.
	DispatchedTokens int64
}

// Snapshot is the set of engines known at one moment. It is immutable.
type Snapshot struct {
	Engines []Engine
}

// Request describes the call to place. The further calls of the program are unknown.
type Request struct {
	Program structs.ProgramID
	// Model and Adapter must be loaded on the engine; Adapter may be empty.
	Model   structs.ModelName
	Adapter string
	// CacheZones are the zones in which the program's cache may be stored. An empty
	// list permits no zone.
	CacheZones []structs.ZoneName
	// CallerZone is the zone of this daemon; empty means unknown.
	CallerZone structs.ZoneName
	// PromptTokens is the length of the whole prompt, including the history.
	PromptTokens    int64
	MaxAnswerTokens int64
	// CachedTokens maps engines to the number of tokens of this program's prefix that are
	// assumed to be cached there. It is an estimate, because engines do not report
	// evictions immediately.
	CachedTokens map[structs.EngineID]int64
	// ParentEngine is the engine that caches the prefix which a sub-agent shares with
	// its parent.
	ParentEngine structs.EngineID
	// SharedPrefix is the key of a long prompt prefix that programs share, as returned
	// by SharedPrefixKey; zero means none.
	SharedPrefix uint64
	// EngineTimeUsed is the engine time that the whole program has already used. For a
	// sub-agent, this field, Started, Deadline and Priority are those of the outermost
	// program, because its latency is the one that matters.
	EngineTimeUsed time.Duration
	// Started is the time at which the program started.
	Started time.Time
	// Deadline is the time by which the whole program should end; zero means none.
	Deadline time.Time
	// Priority is the declared priority of the program; higher values go first.
	Priority int
	// ExpectedPause is the expected time from the end of this call to the program's
	// next call; zero means unknown, a negative value means that no call will follow.
	ExpectedPause time.Duration
	// ExpectedGrowth is the number of tokens by which the program's prompt is expected
	// to grow, as estimated by a GrowthEstimator; zero means unknown.
	ExpectedGrowth int64
	// Excluded is the set of engines that already failed this call.
	Excluded map[structs.EngineID]bool
}

// Choice is the engine for a call, with hints on how to run it.
type Choice struct {
	Engine      structs.EngineID
	Address     string
	Incarnation structs.Incarnation
	// Priority is the position in the engine's queue; lower values run first.
	Priority int
	// MoveFrom is the engine from which the program's KV cache is moved to Engine
	// before the call; empty means no move.
	MoveFrom structs.EngineID
	// Retain is how long the engine should keep the cache after the call.
	Retain time.Duration
	// Defer tells the caller of Choose to delay the call and to choose again after this
	// time; zero means to dispatch now. Only the first call of a program is deferred,
	// while no engine has memory for the program.
	Defer time.Duration
	// PredictedWait is the predicted time to the first token.
	PredictedWait time.Duration
}

// Policy chooses engines. It is safe for concurrent use if each goroutine uses its own
// random source.
type Policy interface {
	// Name returns the name by which New returns the policy.
	Name() string
	// Choose returns the choice for the request. The error is a
	// *failure.NoPermittedPlace if no known engine is in a permitted zone, a
	// *failure.EngineUnavailable if none of the permitted engines can serve the call,
	// and a *failure.Overloaded if they can, but not before the deadline.
	Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error)
}
