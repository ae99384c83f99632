package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// MaxReplicaReportAge is the maximum age of a replica's last report that the store answers.
	// When it is older, a process watches the store directly. A call to a replica takes at most 700
	// ms.
	MaxReplicaReportAge = 800 * time.Millisecond
	// InitialReplicaReportWait is how long after its start a process waits for the first such
	// report.
	InitialReplicaReportWait = 600 * time.Millisecond
	// minDirectWatch is the minimum duration of a run of RunWhile. Runs watch the store directly,
	// and each start of a watch lists everything.
	minDirectWatch = 3 * time.Second
	// fallbackCheckInterval is the interval at which RunWhile evaluates its condition.
	fallbackCheckInterval = 100 * time.Millisecond
)

// RunWhile runs a function while a condition holds, until ctx ends. Each run lasts at least
// minDirectWatch. The function must return when its context ends.
func RunWhile(ctx context.Context, condition func() bool, run func(ctx context.Context)) {
	for pause.For(ctx, fallbackCheckInterval) {
		if !condition() {
			continue
		}
		running, cancel := context.WithCancel(ctx)
		go run(running)
		pause.For(ctx, minDirectWatch)
		for condition() && pause.For(ctx, fallbackCheckInterval) {
		}
		cancel()
	}
}
