package daemon

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// runShares carries the messages of tenants' shares.
func (d *Daemon) runShares() {
	for pause.For(d.context, limit.TickInterval) {
		d.shares.SetView(time.Now(), d.shareView())
		d.sendShares(d.shares.Tick(time.Now()))
	}
}

// shareView is the cluster as the shares need it.
func (d *Daemon) shareView() limit.View {
	nodes := d.cluster.View().Nodes
	view := limit.View{KnownNodes: len(nodes)}
	for _, node := range nodes {
		if node.State != structs.NodeDead {
			view.Nodes = append(view.Nodes, node.ID)
		}
	}
	return view
}

func (d *Daemon) sendShares(outgoing []limit.Outgoing) {
	for _, each := range outgoing {
		address, known := d.peerAddress(each.To)
		if !known {
			continue
		}
		d.peers.SendLimit(address, each.Message.ToProto())
	}
}

// ReceiveLimit takes shares of tenants' rates.
func (d *Daemon) ReceiveLimit(wire *limitv1.Message) {
	d.sendShares(d.shares.Receive(time.Now(), limit.MessageFromProto(wire)))
}
