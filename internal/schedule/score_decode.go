package schedule

import "time"

// decodeSpeed scores how long the answer takes in the engine's batch, and how
// much longer the answers of the others take because of it.
type decodeSpeed struct{ model *CostModel }

// Name returns "decode-speed".
func (decodeSpeed) Name() string { return "decode-speed" }

// Score returns the predicted decode time and the delay of the other streams.
func (s decodeSpeed) Score(_ time.Time, engine *Engine, request *Request) time.Duration {
	tokens := time.Duration(s.model.answerTokens(request))
	own := tokens * s.model.step(engine, request)
	others := tokens * s.model.StepPerStream * time.Duration(s.model.batch(engine))
	return own + others
}
