// Package schedule chooses the engine that serves a model call. It is pure: a
// policy takes a snapshot of the engines, one request, the time and a source of
// randomness, and gives back a choice. It does no I/O, holds no goroutine and
// reads no clock, so the simulator and the daemon run the same code.
//
// A policy is built of filters, which rule engines out, and scorers, which
// predict what an engine costs the whole program, in time. The engine with the
// lowest sum is chosen among a few sampled candidates.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Engine is one engine as this daemon sees it: its last report, which is late,
// and what this daemon dispatched since.
type Engine struct {
	structs.EngineStatus
	// DispatchedStreams counts streams this daemon dispatched after the report.
	DispatchedStreams int
	// DispatchedTokens are prompt tokens of those streams.
	DispatchedTokens int64
}

// Snapshot is the engines known at one moment. It is immutable.
type Snapshot struct {
	Engines []Engine
}

// Request is what a policy knows of the call to place. The shape of the rest of
// the program is not known to anyone.
type Request struct {
	Program structs.ProgramID
	// Model and Adapter must be loaded on the engine; Adapter may be empty.
	Model   structs.ModelName
	Adapter string
	// CacheZones are where the program's cache may rest. An empty list permits
	// no zone.
	CacheZones []structs.ZoneName
	// CallerZone is where this daemon stands; empty means unknown.
	CallerZone structs.ZoneName
	// PromptTokens is the length of the whole prompt, history included.
	PromptTokens    int64
	MaxAnswerTokens int64
	// CachedTokens holds the tokens of this program's prefix believed to be cached on
	// an engine. It is a belief: engines evict without telling at once.
	CachedTokens map[structs.EngineID]int64
	// ParentEngine holds the prefix that a sub-agent shares with its parent.
	ParentEngine structs.EngineID
	// SharedPrefix names the long start of the prompt that programs share, as
	// SharedPrefixKey gives it; zero means none.
	SharedPrefix uint64
	// EngineTimeUsed is the engine time that the whole program has already got. For a
	// sub-agent this member, Started, Deadline and Priority are those of the
	// outermost program: its latency is the one that counts.
	EngineTimeUsed time.Duration
	// Started is when the program was opened.
	Started time.Time
	// Deadline is the wanted end of the whole program; zero means none.
	Deadline time.Time
	// Priority is the declared priority of the program; higher goes first.
	Priority int
	// ExpectedPause is how long after this call the program's next call is
	// expected; zero means unknown, a negative value that none will come.
	ExpectedPause time.Duration
	// ExpectedGrowth is by how many tokens the program's prompt will grow, as a
	// GrowthEstimator learned it; zero means unknown.
	ExpectedGrowth int64
	// Excluded holds engines that already failed this call.
	Excluded map[structs.EngineID]bool
}

// Choice is where and how a call runs.
type Choice struct {
	Engine      structs.EngineID
	Address     string
	Incarnation structs.Incarnation
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// MoveFrom names an engine whose KV cache of this program is to be moved to
	// Engine before the call; empty means no move.
	MoveFrom structs.EngineID
	// Retain is how long the engine should keep the cache after the call.
	Retain time.Duration
	// Defer asks the caller of Choose to hold the call back and to choose again
	// after this time; zero means to dispatch now. Only the first call of a
	// program is held, while there is no memory for it.
	Defer time.Duration
	// PredictedWait is the predicted time to the first token.
	PredictedWait time.Duration
}

// Policy chooses engines. It is safe for concurrent use, with a random source
// for each goroutine.
type Policy interface {
	// Name returns the name under which New gives the policy.
	Name() string
	// Choose returns the choice for the request. The error is a
	// *failure.NoPermittedPlace where no known engine stands in a permitted
	// zone, a *failure.EngineUnavailable where none of those can serve the call,
	// and a *failure.Overloaded where they can, but not before the deadline.
	Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error)
}
