package schedule

import "time"

// cacheRoom scores the cached tokens of other programs that the call would push
// out, and which they would have to compute again.
type cacheRoom struct{ model *CostModel }

// Name returns "cache-room".
func (cacheRoom) Name() string { return "cache-room" }

// Score returns the predicted cost of the evictions that the call causes.
func (s cacheRoom) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	if engine.CacheCapacityTokens == 0 {
		return 0
	}
	need := missing(engine, request) + request.MaxAnswerTokens + engine.DispatchedTokens
	free := engine.CacheCapacityTokens - engine.CacheUsedTokens
	evicted := max(0, need-max(free, 0))
	return time.Duration(evicted) * s.model.PrefillPerToken * time.Duration(1+s.model.batch(engine))
}
