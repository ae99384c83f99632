package schedule

import "github.com/barleyshelf/barleyshelf/internal/structs"

// parentShare is the share of a sub-agent's first prompt that is taken to be its
// parent's history, where nothing is known of its own cache yet.
const parentShare = 0.75

// cachedOn is the number of the prompt's tokens believed to be cached on an
// engine: the program's own, or its parent's before its first call.
func (r *Request) cachedOn(engine structs.EngineID) int64 {
	if len(r.CachedTokens) == 0 && engine == r.ParentEngine && engine != "" {
		return int64(parentShare * float64(r.PromptTokens))
	}
	return min(r.CachedTokens[engine], r.PromptTokens)
}

// missing is the number of prompt tokens that the engine is believed to lack.
func missing(engine *Engine, request *Request) int64 {
	return request.PromptTokens - request.cachedOn(engine.ID)
}

// longestCached is the longest prefix that an engine other than the given one is
// believed to hold; zero where the given one holds as much.
func (r *Request) longestCached(except *Engine) int64 {
	longest := int64(0)
	for id := range r.CachedTokens {
		if id != except.ID {
			longest = max(longest, r.cachedOn(id))
		}
	}
	if longest <= r.cachedOn(except.ID) {
		return 0
	}
	return longest
}

// isUnderWay reports whether the program or its parent has been served before.
func (r *Request) isUnderWay() bool {
	return r.EngineTimeUsed > 0 || r.ParentEngine != "" || len(r.CachedTokens) > 0
}
