package schedule

import "time"

// sharedPrefix scores engines that are not preferred for the request's shared prefix.
// Keeping a prefix on few engines uses less memory overall.
type sharedPrefix struct {
	model *CostModel
	// tokens is the assumed length of a shared prefix.
	tokens int64
}

// Name returns "shared-prefix".
func (sharedPrefix) Name() string { return "shared-prefix" }

// Score returns the cost of an additional copy of the prefix, on engines on which the
// program has no cache yet. The cost grows with decreasing rendezvous weight, from
// nothing to that of a whole copy.
func (s sharedPrefix) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	if request.SharedPrefix == 0 || request.cachedTokensOn(engine.ID) > 0 {
		return 0
	}
	copyCost := time.Duration(s.tokens) * s.model.PrefillPerToken * time.Duration(1+s.model.batchSize(engine))
	const maxWeight = 1 << 16
	weight := rendezvousWeight(request.SharedPrefix, engine.ID) >> 48
	return copyCost * time.Duration(maxWeight-1-weight) / maxWeight
}
