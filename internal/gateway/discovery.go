package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// discoveryTimeout is how long a gateway waits for the platform's store to name its system before
// it believes the replicas at its seeds: these may be stale, and what answers another system's.
// Requests are held from the start until replicas pass the workers on.
const discoveryTimeout = 200 * time.Millisecond

// followReplicas asks replicas for news, once this gateway knows whose replicas are its own. It
// returns an error where it has followed those of another system: what it knows is theirs.
func (g *Gateway) followReplicas(ctx context.Context) error {
	err := directory.DiscoverSystem(ctx, g.objects, g.directory, discoveryTimeout)
	go g.relay.Run(ctx)
	if err == nil {
		return nil
	}
	eventUndiscovered.Log("within_ms", discoveryTimeout.Milliseconds(), "cause", err.Error())
	return directory.VerifySystem(ctx, g.objects, g.directory)
}
