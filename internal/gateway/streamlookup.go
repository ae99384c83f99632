package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// streamLookupRetryWindow is how long replicas are asked for a stream that they do not know: its record waits for
	// quorum.StreamStartDelay and is then written, which takes long where they are loaded. Clients give up on a
	// stream that brings nothing for 2 s, and a worker has to begin within them.
	streamLookupRetryWindow = time.Second
	// minStreamLookupPause is the time between the first two questions. It doubles up to maxStreamLookupPause.
	minStreamLookupPause = 50 * time.Millisecond
	maxStreamLookupPause = 200 * time.Millisecond
	// unnamedStreamDelay is how long a stream whose first request is not named is not asked for: another stream of
	// its content may have begun at another version, and only that one be known yet.
	unnamedStreamDelay = quorum.StreamStartDelay + 100*time.Millisecond
	// maxStreamLookup bounds the whole search, with replicas that do not answer.
	maxStreamLookup = 500*time.Millisecond + streamLookupRetryWindow
)

// streamOriginSource knows the versions at which streams began. It is implemented by quorum.Client.
type streamOriginSource interface {
	StreamOrigin(ctx context.Context, stream quorum.StreamID, service string) (quorum.StreamOrigin, error)
}

// awaitStreamOrigin returns at which version a stream of a service began. As long as the source does not know the
// stream, it is asked again, less and less often, for streamLookupRetryWindow.
func awaitStreamOrigin(ctx context.Context, source streamOriginSource, stream quorum.StreamID, service string) (origin quorum.StreamOrigin, err error) {
	startedAt := time.Now()
	if stream.Request == "" {
		pause.For(ctx, unnamedStreamDelay)
	}
	for wait := minStreamLookupPause; ; wait = min(2*wait, maxStreamLookupPause) {
		origin, err = source.StreamOrigin(ctx, stream, service)
		if !mayBecomeKnown(err) || time.Since(startedAt) >= streamLookupRetryWindow || !pause.For(ctx, wait) {
			return origin, err
		}
	}
}

// mayBecomeKnown reports whether a stream was not found, but may be later. An ambiguous one stays ambiguous.
func mayBecomeKnown(err error) bool {
	var unknown *quorum.UnknownStream
	return errors.As(err, &unknown) && !unknown.Ambiguous
}
