package schedule

import (
	"time"
)

// Filter excludes engines. Mandatory rules are implemented by filters only: no score
// can make an excluded engine eligible again.
type Filter interface {
	// Name returns the filter's name, for logs and documentation.
	Name() string
	// Allow reports whether the engine may serve the request.
	Allow(now time.Time, engine *Engine, request *Request) bool
}

// Scorer predicts the cost of choosing an engine, as a duration. Costs are added up:
// all scorers use the same unit, so no weights are needed.
type Scorer interface {
	// Name returns the scorer's name, for logs and documentation.
	Name() string
	// Score returns the predicted cost; lower is better.
	Score(now time.Time, engine *Engine, request *Request) time.Duration
}
