package schedule

import "time"

// CostModel holds the engine parameters that the scorers assume. They need not be
// exact, because they only weigh costs against each other. docs/design/schedule.md
// shows how the result changes if engines differ from them.
type CostModel struct {
	// StepBase and StepPerStream add up to the duration of one decode step.
	StepBase      time.Duration
	StepPerStream time.Duration
	// StepPerThousandContext is the additional duration of a decode step per 1,000
	// context tokens in the batch.
	StepPerThousandContext time.Duration
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// MovePerToken is the time to copy one token's KV cache to another engine.
	MovePerToken time.Duration
	// MoveSetup is the time to set up a copy.
	MoveSetup time.Duration
	// SwitchMargin is the minimum saving that justifies leaving the engine with the
	// longest prefix. The saving is predicted from delayed reports and applies to one
	// call only, and a program that changes engines often has a useful cache on none of
	// them.
	SwitchMargin time.Duration
	// TypicalAnswerTokens is the assumed length of an answer.
	TypicalAnswerTokens int64
	// DefaultMaxBatch is used for engines that report no maximum batch size.
	DefaultMaxBatch int
}

// DefaultCostModel approximates an accelerator that serves a mid-sized model.
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

// maxBatchSize returns the maximum batch size of an engine.
func (m *CostModel) maxBatchSize(engine *Engine) int {
	if engine.MaxBatch > 0 {
		return engine.MaxBatch
	}
	return m.DefaultMaxBatch
}

// batchSize returns the number of streams that an engine decodes concurrently.
func (m *CostModel) batchSize(engine *Engine) int {
	return min(streamCount(engine), m.maxBatchSize(engine))
}

// answerTokens returns the predicted length of the request's answer.
func (m *CostModel) answerTokens(request *Request) int64 {
	return min(m.TypicalAnswerTokens, max(request.MaxAnswerTokens, 1))
}

// stepTime returns the predicted duration of a decode step with one additional stream
// of the request's context length. The other streams are assumed to have the same
// context length.
func (m *CostModel) stepTime(engine *Engine, request *Request) time.Duration {
	streams := time.Duration(m.batchSize(engine) + 1)
	perStream := m.StepPerStream + time.Duration(request.PromptTokens)*m.StepPerThousandContext/1_000
	return m.StepBase + streams*perStream
}
