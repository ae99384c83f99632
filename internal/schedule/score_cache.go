package schedule

import "time"

// cacheAffinity scores the prompt tokens that the engine would have to compute:
// the call waits for them, and so does every stream of the same batch. A move
// of the KV cache stands in for computing where it is cheaper.
type cacheAffinity struct {
	model *CostModel
	// moves allows KV moves.
	moves bool
}

// Name returns "cache-affinity".
func (cacheAffinity) Name() string { return "cache-affinity" }

// Score returns the cost of bringing the program's prefix to the engine. Leaving
// the engine that holds the longest prefix costs the model's margin besides.
func (s cacheAffinity) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	cost := s.compute(engine, missing(engine, request))
	source := request.longestCached(engine)
	if source == 0 {
		return cost
	}
	if s.moves {
		cost = min(cost, s.move(engine, request, source))
	}
	return cost + s.model.SwitchMargin
}

// compute is the cost of prefilling tokens on the engine.
func (s cacheAffinity) compute(engine *Engine, tokens int64) time.Duration {
	return time.Duration(tokens) * s.model.PrefillPerToken * time.Duration(1+s.model.batch(engine))
}

// move is the cost of copying what another engine holds and computing the rest.
func (s cacheAffinity) move(engine *Engine, request *Request, source int64) time.Duration {
	copied := max(0, source-request.cachedOn(engine.ID))
	transfer := s.model.MoveSetup + time.Duration(copied)*s.model.MovePerToken
	return transfer + s.compute(engine, max(0, request.PromptTokens-source))
}
