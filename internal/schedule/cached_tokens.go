package schedule

import "github.com/barleyshelf/barleyshelf/internal/structs"

// parentPrefixFraction is the fraction of a sub-agent's first prompt that is assumed to
// be its parent's history, as long as the sub-agent has no cache of its own.
const parentPrefixFraction = 0.75

// cachedTokensOn returns the number of prompt tokens assumed to be cached on an engine:
// the program's own cache or, before its first call, its parent's.
func (r *Request) cachedTokensOn(engine structs.EngineID) int64 {
	if len(r.CachedTokens) == 0 && engine == r.ParentEngine && engine != "" {
		return int64(parentPrefixFraction * float64(r.PromptTokens))
	}
	return min(r.CachedTokens[engine], r.PromptTokens)
}

// uncachedTokens returns the number of prompt tokens that are assumed not to be cached
// on the engine.
func uncachedTokens(engine *Engine, request *Request) int64 {
	return request.PromptTokens - request.cachedTokensOn(engine.ID)
}

// longestCachedElsewhere returns the length of the longest prefix assumed to be cached
// on an engine other than the given one; zero if the given engine holds at least as
// much.
func (r *Request) longestCachedElsewhere(engine *Engine) int64 {
	longest := int64(0)
	for id := range r.CachedTokens {
		if id != engine.ID {
			longest = max(longest, r.cachedTokensOn(id))
		}
	}
	if longest <= r.cachedTokensOn(engine.ID) {
		return 0
	}
	return longest
}

// isRunning reports whether the program or its parent has been served before.
func (r *Request) isRunning() bool {
	return r.EngineTimeUsed > 0 || r.ParentEngine != "" || len(r.CachedTokens) > 0
}
