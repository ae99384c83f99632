package schedule

import "time"

// queueWait scores the time until the engine starts the call: the streams that must
// leave a full batch before it, and the prompt tokens queued before it. The report is
// delayed, so this daemon's dispatches since then are added.
type queueWait struct{ model *CostModel }

// Name returns "predicted-wait".
func (queueWait) Name() string { return "predicted-wait" }

// Score returns the predicted wait in the engine's queue.
func (s queueWait) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	wait := time.Duration(engine.DispatchedTokens) * s.model.PrefillPerToken
	batchLimit := s.model.maxBatchSize(engine)
	ahead := streamCount(engine) - batchLimit + 1
	if ahead <= 0 {
		return wait
	}
	answerTime := time.Duration(s.model.answerTokens(request)) * s.model.stepTime(engine, request)
	return wait + time.Duration(ahead)*answerTime/time.Duration(batchLimit)
}
