package gateway

import "github.com/barleyshelf/barleyshelf/internal/worker"

const (
	// declaredEventsFactor and extraEvents bound the events of a stream without a budget whose client has declared
	// its most tokens: so many times the events for these, and a few that carry none.
	declaredEventsFactor = 2
	extraEvents          = 64
)

// maxEvents returns how many events a stream may have; 0 if its client has declared no most tokens. A turn with a
// budget ends with the tokens that are reserved for it.
func (r *request) maxEvents() int64 {
	engine := r.service.Engine
	if engine == nil || engine.Stride <= 0 || r.metadata.MaxTokens <= 0 {
		return 0
	}
	declared := (r.metadata.MaxTokens + engine.Stride - 1) / engine.Stride
	if r.hasBudget() {
		return declared
	}
	return declaredEventsFactor*declared + extraEvents
}

// checkEventCount fails if a stream goes on after all events that it may have.
func (s *stream) checkEventCount(event streamEvent) error {
	most := s.request.maxEvents()
	if most == 0 || !event.hasData || s.eventCount < most {
		return nil
	}
	return &worker.ResponseTooLarge{Part: worker.PartEvents, Limit: most}
}
