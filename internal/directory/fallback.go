package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// MaxReplicaReportAge is how old the word of a replica that the store answers may be before
	// the store is followed directly: a question of a replica lasts 700 ms at most.
	MaxReplicaReportAge = 800 * time.Millisecond
	// InitialReplicaReportWait is how long after its start a process waits for such a word.
	InitialReplicaReportWait = 600 * time.Millisecond
	// directFor is how long the store is followed at least once that was begun: each
	// beginning lists everything.
	directFor = 3 * time.Second
	// newsChecked is how often it is looked whether the store is to be followed.
	newsChecked = 100 * time.Millisecond
)

// RunWhile runs follow, which is to end with its context, during the times in which
// wanted holds, until ctx ends.
func RunWhile(ctx context.Context, wanted func() bool, follow func(ctx context.Context)) {
	for pause.For(ctx, newsChecked) {
		if !wanted() {
			continue
		}
		following, stop := context.WithCancel(ctx)
		go follow(following)
		pause.For(ctx, directFor)
		for wanted() && pause.For(ctx, newsChecked) {
		}
		stop()
	}
}
