package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// systemDiscoveryTimeout is how long a gateway waits for the platform's store to identify its
// system before it trusts the replicas at its seeds. Seeds may be stale, and replicas at them
// may belong to another system. Requests wait from the start until replicas report the workers.
const systemDiscoveryTimeout = 200 * time.Millisecond

// pollReplicas starts to poll replicas for updates, if possible after the system has been
// identified. It returns an error if it turns out to have polled replicas of another system,
// because the state learned from them is wrong.
func (g *Gateway) pollReplicas(ctx context.Context) error {
	err := directory.DiscoverSystem(ctx, g.store, g.directory, systemDiscoveryTimeout)
	go g.poller.Run(ctx)
	if err == nil {
		return nil
	}
	eventSystemUnverified.Log("within_ms", systemDiscoveryTimeout.Milliseconds(), "cause", err.Error())
	return directory.VerifySystem(ctx, g.store, g.directory)
}
