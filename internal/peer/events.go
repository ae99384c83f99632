package peer

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventStreamLost = event.Define(1020, event.Info, "journal stream to a peer ended",
		"")
	eventQueueFull = event.Define(1021, event.Warning, "journal queue to a peer is full; messages dropped",
		"Look at the peer's load and at the link between the zones; replication retransmits by itself.")
	eventOtherCluster = event.Define(1022, event.Warning, "calls of daemons of another cluster were refused",
		"Where both are yours, give their daemons the same `cluster`. Else this address was theirs before; it ends once they have forgotten it.")
)
