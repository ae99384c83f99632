package schedule

import "time"

// cacheAffinity scores the prompt tokens that the engine would have to compute: the
// call waits for them, and so does every stream of the same batch. If moving the KV
// cache is cheaper than computing, the move is scored instead.
type cacheAffinity struct {
	model *CostModel
	// moves enables KV cache moves.
	moves bool
}

// Name returns "cache-affinity".
func (cacheAffinity) Name() string { return "cache-affinity" }

// Score returns the cost of making the program's prefix available on the engine. Any
// engine other than the one with the longest prefix also costs the model's
// SwitchMargin.
func (s cacheAffinity) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	cost := s.computeCost(engine, uncachedTokens(engine, request))
	source := request.longestCachedElsewhere(engine)
	if source == 0 {
		return cost
	}
	if s.moves {
		cost = min(cost, s.moveCost(engine, request, source))
	}
	return cost + s.model.SwitchMargin
}

// computeCost returns the cost of prefilling tokens on the engine.
func (s cacheAffinity) computeCost(engine *Engine, tokens int64) time.Duration {
	return time.Duration(tokens) * s.model.PrefillPerToken * time.Duration(1+s.model.batchSize(engine))
}

// moveCost returns the cost of copying what another engine holds and computing the
// rest.
func (s cacheAffinity) moveCost(engine *Engine, request *Request, source int64) time.Duration {
	copied := max(0, source-request.cachedTokensOn(engine.ID))
	transfer := s.model.MoveSetup + time.Duration(copied)*s.model.MovePerToken
	return transfer + s.computeCost(engine, max(0, request.PromptTokens-source))
}
