package schedule

import "time"

// Bounds of cache retention.
const (
	// retentionFactor and retentionMargin cover pauses that last longer than expected.
	retentionFactor = 2
	retentionMargin = 2 * time.Second
	// defaultRetention applies to programs whose pauses are unknown.
	defaultRetention = 10 * time.Second
	// maxRetention limits how long one answer can occupy memory.
	maxRetention = 5 * time.Minute
)

// cacheRetention returns how long the engine is asked to keep the program's cache:
// until the program's next call is expected to have arrived.
func cacheRetention(request *Request) time.Duration {
	switch {
	case request.ExpectedPause < 0:
		return 0
	case request.ExpectedPause == 0:
		return defaultRetention
	}
	return min(retentionFactor*request.ExpectedPause+retentionMargin, maxRetention)
}
