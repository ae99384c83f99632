package daemon

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/executor"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// core is what belongs to one incarnation: its replicas and the work on them.
// A daemon that was removed from the cluster starts again with another core.
type core struct {
	node     structs.Node
	host     *replication.Host
	executor *executor.Executor
}

func (d *Daemon) startCore() error {
	node := d.cluster.Self()
	created := &core{node: node}
	created.executor = executor.New(executor.Options{
		Self:          node,
		Forwarder:     forwarder{daemon: d},
		Directory:     d.directory,
		Engines:       newEngineView(d.fleet),
		EngineClient:  d.engines,
		ToolClient:    d.tools,
		Configuration: d.store.InForce,
		Policy:        d.policy,
		Seed:          d.options.Seed,
	})
	host, err := replication.NewHost(replication.Options{
		Self:            node,
		DataDir:         d.settings.DataFolder,
		Transport:       d.peers,
		Nodes:           func() []structs.Node { return d.cluster.View().Nodes },
		NewStateMachine: created.executor.NewStateMachine,
		OnLeadership: func(shard structs.ShardID, leading bool, term uint64) {
			created.executor.LeadershipChanged(shard, leading, term)
			d.publishShard(created, shard)
		},
		Seed: d.options.Seed,
	})
	if err != nil {
		return err
	}
	created.host = host
	created.executor.SetReplicator(host)
	d.core.Store(created)
	created.executor.Start()
	for _, item := range d.cluster.Items(shardKeyPrefix) {
		d.takeItem(item)
	}
	return nil
}

func (d *Daemon) closeCore() {
	closed := d.core.Load()
	if closed == nil {
		return
	}
	closed.executor.Close()
	if err := closed.host.Close(); err != nil {
		eventCloseFailed.Log("cause", err)
	}
}

// removed gives up everything of an incarnation that the others have removed,
// before the daemon joins again under the next one.
func (d *Daemon) removed(incarnation structs.Incarnation) structs.Incarnation {
	d.closeCore()
	d.core.Store(nil)
	d.task(func() { d.restartCore(incarnation) })
	return incarnation + 1
}

// restartCore starts again once the cluster shows this daemon under another
// incarnation than the one that was removed.
func (d *Daemon) restartCore(former structs.Incarnation) {
	const pause = 20 * time.Millisecond
	for d.cluster.Self().Incarnation == former {
		if !wait(d.context, pause) {
			return
		}
	}
	if err := d.startCore(); err != nil {
		eventCoreFailed.Log("cause", err)
	}
}

// forwarder sends requests to the leaders of shards on other daemons.
type forwarder struct{ daemon *Daemon }

// Forward runs the request at the node. A node without a known address is
// reported as one that cannot be reached.
func (f forwarder) Forward(ctx context.Context, node structs.NodeID, request *peerv1.ForwardRequest, receive func(*peerv1.ForwardEvent) error) error {
	address, known := f.daemon.peerAddress(node)
	if !known {
		return &nodeUnknown{Node: node}
	}
	return f.daemon.peers.Forward(ctx, address, request, receive)
}

func (d *Daemon) peerAddress(node structs.NodeID) (string, bool) {
	found, known := d.cluster.View().Node(node)
	return found.PeerAddress, known && found.PeerAddress != ""
}
