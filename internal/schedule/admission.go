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

// admitting returns the candidates that a program may be placed on: all of them
// for a program under way, and those with room for what it will grow to for a
// new one. Admitted without room, it would push out the cache of programs under
// way, which then compute it again. A program that was held for its share of the
// time to its deadline is let in anywhere.
func admitting(now time.Time, snapshot *Snapshot, request *Request, drawn []int) []int {
	limit := time.Duration(admissionShare * float64(request.Deadline.Sub(request.Started)))
	if request.isUnderWay() || request.Deadline.IsZero() || now.Sub(request.Started) >= limit {
		return drawn
	}
	var found []int
	for _, index := range drawn {
		if hasRoom(&snapshot.Engines[index], request) {
			found = append(found, index)
		}
	}
	return found
}

// hasRoom reports whether the engine's memory holds a new program of the
// request's name until its end. What an engine does not report is taken to do.
func hasRoom(engine *Engine, request *Request) bool {
	if engine.CacheCapacityTokens == 0 {
		return true
	}
	growth := request.ExpectedGrowth
	if growth == 0 {
		growth = unknownGrowth
	}
	need := request.PromptTokens + request.MaxAnswerTokens + growth + engine.DispatchedTokens
	return float64(engine.CacheUsedTokens+need) <= admissionFill*float64(engine.CacheCapacityTokens)
}
