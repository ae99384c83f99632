package schedule

import "time"

// Bounds of retention.
const (
	// retainFactor covers pauses that last longer than expected.
	retainFactor = 2
	retainMargin = 2 * time.Second
	// retainUnknown is for programs whose pauses are not known yet.
	retainUnknown = 10 * time.Second
	// retainMost bounds how long one answer can hold memory.
	retainMost = 5 * time.Minute
)

// retention is how long the engine is asked to keep the program's cache: until
// its next call is expected to have come.
func retention(request *Request) time.Duration {
	switch {
	case request.ExpectedPause < 0:
		return 0
	case request.ExpectedPause == 0:
		return retainUnknown
	}
	return min(retainFactor*request.ExpectedPause+retainMargin, retainMost)
}
