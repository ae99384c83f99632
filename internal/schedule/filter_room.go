package schedule

import "time"

// room allows engines whose memory could ever hold the call.
type room struct{}

// Name returns "room".
func (room) Name() string { return "room" }

// Allow reports whether prompt and answer together fit the engine's cache. An
// engine that reports no capacity is taken to have enough.
func (room) Allow(_ time.Time, engine *Engine, request *Request) bool {
	if engine.CacheCapacityTokens == 0 {
		return true
	}
	return request.PromptTokens+request.MaxAnswerTokens <= engine.CacheCapacityTokens
}
