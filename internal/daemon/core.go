package daemon

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/executor"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// core is the replicas of this daemon and the work on them.
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
		Engines:       engineView{fleet: d.fleet},
		EngineClient:  d.engines,
		ToolClient:    d.tools,
		Configuration: d.store.InForce,
		Policy:        d.policy,
		Seed:          d.options.Seed,
	})
	host, err := replication.NewHost(replication.Options{
		Self:            journalNode(node),
		DataDir:         d.settings.DataFolder,
		Transport:       d.peers,
		Nodes:           d.journalNodes,
		NewStateMachine: created.executor.NewStateMachine,
		OnLeadershipChange: func(shard structs.ShardID, leading bool, term uint64) {
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

// journalNode describes a daemon to the journal, to which a daemon is the same
// for as long as it has its memory.
func journalNode(node structs.Node) structs.Node {
	node.Incarnation = node.Memory
	return node
}

// journalNodes is the cluster's view as the journal needs it.
func (d *Daemon) journalNodes() []structs.Node {
	members := d.cluster.View().Nodes
	nodes := make([]structs.Node, 0, len(members))
	for _, node := range members {
		nodes = append(nodes, journalNode(node))
	}
	return nodes
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
