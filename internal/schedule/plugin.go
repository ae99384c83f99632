package schedule

import (
	"time"
)

// Filter rules engines out. Filters are the only place where a hard rule
// stands: no score can bring a ruled-out engine back.
type Filter interface {
	// Name returns the filter's name, for logs and documents.
	Name() string
	// Allow reports whether the engine may serve the request.
	Allow(now time.Time, engine *Engine, request *Request) bool
}

// Scorer predicts what choosing an engine costs, in time. Scores add up, so
// that every plugin speaks the same unit and no weight has to be invented.
type Scorer interface {
	// Name returns the scorer's name, for logs and documents.
	Name() string
	// Score returns the predicted cost; lower is better.
	Score(now time.Time, engine *Engine, request *Request) time.Duration
}
