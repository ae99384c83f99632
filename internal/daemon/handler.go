package daemon

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/peer"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var _ peer.Handler = (*Daemon)(nil)

// ReceiveJournal passes replication messages on.
func (d *Daemon) ReceiveJournal(batch *journalv1.Batch) {
	if running := d.core.Load(); running != nil {
		running.host.Receive(batch)
	}
}

// ReceiveGossip passes a membership message on.
func (d *Daemon) ReceiveGossip(message *gossipv1.Message) { d.cluster.Receive(message) }

// Forwarded runs a request that came in at another daemon.
func (d *Daemon) Forwarded(ctx context.Context, request *peerv1.ForwardRequest, send func(*peerv1.ForwardEvent) error) error {
	running := d.core.Load()
	if running == nil {
		return &failure.NotReady{Missing: "replicas"}
	}
	return running.executor.ExecuteForwarded(ctx, request, send)
}

// ConfigInForce returns the version in force here; 0 means none.
func (d *Daemon) ConfigInForce() uint64 { return d.store.Version() }

// nodeUnknown reports a node that is not a member as this daemon sees it.
type nodeUnknown struct {
	// Node is the node asked for.
	Node structs.NodeID
}

func (e *nodeUnknown) Error() string { return "no address of daemon " + string(e.Node) }

// Type returns "peer_unreachable".
func (e *nodeUnknown) Type() failure.Type { return (&peer.Unreachable{}).Type() }

// Outcome returns NotRun: nothing was sent.
func (e *nodeUnknown) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a repeat at once.
func (e *nodeUnknown) Retry() failure.Retry { return failure.Retry{Allowed: true} }
