package schedule

import "time"

// Admission of new programs: how often a held one is looked at again, and which
// share of its time to the deadline it may be held at most.
const (
	admissionInterval = 250 * time.Millisecond
	admissionShare    = 0.5
	// unknownGrowth is the room, in tokens, that a program needs beyond its first
	// call, where nothing has been learned of its name.
	unknownGrowth = 6_000
	// admissionFill is how full an engine's memory may be made by new programs.
	admissionFill = 0.95
)

// deferral returns how long the first call of a program waits before it is
// placed, or zero. A program that has cache nowhere yet is held back while the
// engine has no room for it: admitted, it would push out the cache of programs
// under way, which then compute it again.
func deferral(now time.Time, engine *Engine, request *Request) time.Duration {
	if request.underWay() || engine.CacheCapacityTokens == 0 {
		return 0
	}
	held := now.Sub(request.Started)
	limit := time.Duration(admissionShare * float64(request.Deadline.Sub(request.Started)))
	if request.Deadline.IsZero() || held >= limit {
		return 0
	}
	growth := request.ExpectedGrowth
	if growth == 0 {
		growth = unknownGrowth
	}
	need := request.PromptTokens + request.MaxAnswerTokens + growth + engine.OwnQueuedTokens
	if float64(engine.CacheUsedTokens+need) <= admissionFill*float64(engine.CacheCapacityTokens) {
		return 0
	}
	return admissionInterval
}
