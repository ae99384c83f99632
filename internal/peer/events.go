package peer

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventStreamLost = event.Define(1020, event.Info, "journal stream to a peer ended",
		"")
	eventQueueFull = event.Define(1021, event.Warning, "journal queue to a peer is full; messages dropped",
		"Look at the peer's load and at the link between the zones; replication retransmits by itself.")
)
