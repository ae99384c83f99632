package schedule

import "time"

// predictedWait scores the time until the engine starts the call: the streams
// ahead of it that must leave a full batch, and the prompt tokens before it. The
// report is late; what this daemon sent since is added to it.
type predictedWait struct{ model *CostModel }

// Name returns "predicted-wait".
func (predictedWait) Name() string { return "predicted-wait" }

// Score returns the predicted wait in the engine's queue.
func (s predictedWait) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	wait := time.Duration(engine.DispatchedTokens) * s.model.PrefillPerToken
	limit := s.model.batchLimit(engine)
	ahead := streams(engine) - limit + 1
	if ahead <= 0 {
		return wait
	}
	answer := time.Duration(s.model.answerTokens(request)) * s.model.step(engine, request)
	return wait + time.Duration(ahead)*answer/time.Duration(limit)
}
