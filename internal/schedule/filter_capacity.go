package schedule

import "time"

// cacheCapacity allows engines whose cache is large enough for the call.
type cacheCapacity struct{}

// Name returns "room".
func (cacheCapacity) Name() string { return "room" }

// Allow reports whether the prompt and the answer together fit into the engine's cache.
// An engine that reports no capacity is assumed to have enough.
func (cacheCapacity) Allow(_ time.Time, engine *Engine, request *Request) bool {
	if engine.CacheCapacityTokens == 0 {
		return true
	}
	return request.PromptTokens+request.MaxAnswerTokens <= engine.CacheCapacityTokens
}
