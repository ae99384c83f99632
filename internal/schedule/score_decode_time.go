package schedule

import "time"

// decodeTime scores how long decoding the answer takes in the engine's batch, and how
// much longer the other answers in the batch take because of it.
type decodeTime struct{ model *CostModel }

// Name returns "decode-speed".
func (decodeTime) Name() string { return "decode-speed" }

// Score returns the predicted decode time and the delay of the other streams.
func (s decodeTime) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	tokens := time.Duration(s.model.answerTokens(request))
	own := tokens * s.model.stepTime(engine, request)
	others := tokens * s.model.StepPerStream * time.Duration(s.model.batchSize(engine))
	return own + others
}
