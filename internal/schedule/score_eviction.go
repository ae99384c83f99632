package schedule

import "time"

// cacheEviction scores the cached tokens of other programs that the call would evict
// and that would have to be computed again.
type cacheEviction struct{ model *CostModel }

// Name returns "cache-room".
func (cacheEviction) Name() string { return "cache-room" }

// Score returns the predicted cost of the evictions that the call causes.
func (s cacheEviction) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	if engine.CacheCapacityTokens == 0 {
		return 0
	}
	need := uncachedTokens(engine, request) + request.MaxAnswerTokens + engine.DispatchedTokens
	free := engine.CacheCapacityTokens - engine.CacheUsedTokens
	evicted := max(0, need-max(free, 0))
	return time.Duration(evicted) * s.model.PrefillPerToken * time.Duration(1+s.model.batchSize(engine))
}
