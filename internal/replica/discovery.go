package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// discoveryTimeout is how long a replica without records waits for the platform's store to name
// its system before it believes other processes.
const discoveryTimeout = time.Second

// discoverSystem returns once this replica knows which system it belongs to: by its disk, else by
// the platform's store. Where that does not answer in time, other processes are believed.
func (r *Replica) discoverSystem(ctx context.Context) {
	defer r.believing.Store(true)
	if err := directory.DiscoverSystem(ctx, r.objects, r.directory, discoveryTimeout); err != nil {
		eventUndiscovered.Log("within_ms", discoveryTimeout.Milliseconds(), "cause", err.Error())
	}
}
