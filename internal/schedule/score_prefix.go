package schedule

import "time"

// sharedPrefix scores engines that are not a home of the request's shared
// prefix. Kept on few engines, a prefix takes less of the memory of all.
type sharedPrefix struct {
	model *CostModel
	// tokens is what a shared prefix is taken to be long.
	tokens int64
}

// Name returns "shared-prefix".
func (sharedPrefix) Name() string { return "shared-prefix" }

// Score returns the cost of one more copy of the prefix, on engines where the
// program has no cache yet. The last of all engines by rendezvous costs a whole
// copy, the first nothing.
func (s sharedPrefix) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	if request.SharedPrefix == 0 || request.cachedOn(engine.ID) > 0 {
		return 0
	}
	copyCost := time.Duration(s.tokens) * s.model.PrefillPerToken * time.Duration(1+s.model.batch(engine))
	const unit = 1 << 16
	rank := rendezvous(request.SharedPrefix, engine.ID) >> 48
	return copyCost * time.Duration(unit-1-rank) / unit
}
