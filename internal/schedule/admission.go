package schedule

import "time"

// Admission of new programs. A deferred call is retried after admissionInterval. It is
// deferred for at most maxDeferFraction of the time from the program's start to its
// deadline.
const (
	admissionInterval = 250 * time.Millisecond
	maxDeferFraction  = 0.5
	// defaultGrowthTokens is the assumed growth of a program's prompt after its first
	// call if no growth has been observed for its name.
	defaultGrowthTokens = 6_000
	// maxAdmissionFill is the fraction of an engine's cache that new programs may fill.
	maxAdmissionFill = 0.95
)

// admissible returns the candidates that a program may be placed on: all of them for a
// running program, and those with memory for its expected growth for a new one. Without
// that memory a new program would evict the cache of running programs, which would then
// have to recompute it. A new program that has been deferred for its maximum time may
// be placed on any candidate.
func admissible(now time.Time, snapshot *Snapshot, request *Request, candidates []int) []int {
	deferLimit := time.Duration(maxDeferFraction * float64(request.Deadline.Sub(request.Started)))
	if request.isRunning() || request.Deadline.IsZero() || now.Sub(request.Started) >= deferLimit {
		return candidates
	}
	var withMemory []int
	for _, index := range candidates {
		if hasMemoryFor(&snapshot.Engines[index], request) {
			withMemory = append(withMemory, index)
		}
	}
	return withMemory
}

// hasMemoryFor reports whether the engine's cache can hold a new program until the
// program ends. An engine that does not report its capacity is assumed to have enough.
func hasMemoryFor(engine *Engine, request *Request) bool {
	if engine.CacheCapacityTokens == 0 {
		return true
	}
	growth := request.ExpectedGrowth
	if growth == 0 {
		growth = defaultGrowthTokens
	}
	need := request.PromptTokens + request.MaxAnswerTokens + growth + engine.DispatchedTokens
	return float64(engine.CacheUsedTokens+need) <= maxAdmissionFill*float64(engine.CacheCapacityTokens)
}
