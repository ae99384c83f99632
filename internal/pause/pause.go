// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for the duration and reports whether ctx still goes on then. It
// returns early, with false, when ctx ends.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
