package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// firstWordWithin is how long a replica without records waits for the platform's store to
	// name its system before it believes other processes. Seeds may be stale, and what answers
	// at them another system's.
	firstWordWithin = time.Second
	// firstWordPause is the time between two tries.
	firstWordPause = 50 * time.Millisecond
)

// awaitFirstWord returns once this replica knows which system it belongs to: by its disk, else by
// the platform's store. Where that does not answer in time, other processes are believed.
func (r *Replica) awaitFirstWord(ctx context.Context) {
	defer r.believing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, firstWordWithin)
	defer cancel()
	for anyKnown(r.directory.Groups()) == nil {
		found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName(0))
		switch {
		case err == nil && exists:
			r.directory.OfferGroup(found.Group, directory.SourceStore)
			return
		case err == nil:
			return
		case !pause.For(ctx, firstWordPause):
			eventFirstWord.Log("within_ms", firstWordWithin.Milliseconds(), "cause", err.Error())
			return
		}
	}
}
