package schedule

import "time"

// CostModel holds what the scorers assume of engines. The figures need not be
// exact: they only weigh work against work. docs/design/schedule.md shows how
// the result changes when engines differ from them.
type CostModel struct {
	// StepBase and StepPerStream make up the time of one decode step.
	StepBase      time.Duration
	StepPerStream time.Duration
	// StepPerThousandContext is for each 1,000 tokens of context in the batch.
	StepPerThousandContext time.Duration
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// MovePerToken is the time to copy one token's KV cache to another engine.
	MovePerToken time.Duration
	// MoveSetup is the time to set a copy up.
	MoveSetup time.Duration
	// SwitchMargin is how much leaving the engine with the longest prefix must
	// save: the saving is a prediction from late reports that hold for one call,
	// and a program that changes engines often has its cache nowhere.
	SwitchMargin time.Duration
	// TypicalAnswerTokens is the length of a usual answer.
	TypicalAnswerTokens int64
	// DefaultMaxBatch stands in for engines that report none.
	DefaultMaxBatch int
}

// DefaultCostModel resembles an accelerator with a mid-sized model.
func DefaultCostModel() CostModel {
	return CostModel{
		StepBase:               10 * time.Millisecond,
		StepPerStream:          200 * time.Microsecond,
		StepPerThousandContext: 60 * time.Microsecond,
		PrefillPerToken:        50 * time.Microsecond,
		MovePerToken:           5 * time.Microsecond,
		MoveSetup:              20 * time.Millisecond,
		SwitchMargin:           4 * time.Second,
		TypicalAnswerTokens:    100,
		DefaultMaxBatch:        32,
	}
}

// batchLimit is the largest batch of an engine.
func (m *CostModel) batchLimit(engine *Engine) int {
	if engine.MaxBatch > 0 {
		return engine.MaxBatch
	}
	return m.DefaultMaxBatch
}

// batch is how many streams an engine decodes side by side.
func (m *CostModel) batch(engine *Engine) int {
	return min(streams(engine), m.batchLimit(engine))
}

// answerTokens is the predicted length of the request's answer.
func (m *CostModel) answerTokens(request *Request) int64 {
	return min(m.TypicalAnswerTokens, max(request.MaxAnswerTokens, 1))
}

// step is the predicted time of a decode step with one more stream of the
// request's context. The others are taken to have contexts alike.
func (m *CostModel) step(engine *Engine, request *Request) time.Duration {
	batch := time.Duration(m.batch(engine) + 1)
	perStream := m.StepPerStream + time.Duration(request.PromptTokens)*m.StepPerThousandContext/1_000
	return m.StepBase + batch*perStream
}
