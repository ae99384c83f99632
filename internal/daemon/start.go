package daemon

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/config"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/peer"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// prepareStore opens the configuration store and settles whose journal this
// daemon has: that in the data folder if it is intact, or a new one.
func (d *Daemon) prepareStore() error {
	if folder := d.settings.DataFolder; folder != "" {
		incarnation, err := replication.LoadOrCreateIncarnation(folder, d.self.Memory)
		if err != nil {
			return err
		}
		d.self.Memory = incarnation
	}
	store, err := config.NewStore(d.settings.DataFolder)
	if err != nil {
		return err
	}
	d.store = store
	d.choosePolicy(nil)
	store.OnChange(d.tenants.Update)
	store.OnChange(d.choosePolicy)
	store.OnChange(d.admission.limits.Update)
	store.OnChange(func(configuration *structs.Configuration) { d.applied.Store(configuration.Version) })
	return nil
}

func (d *Daemon) startCluster() error {
	dial := gatedDialer(d.gate, d.options.Dial)
	d.peers = peer.NewClient(peer.Options{
		Dial:    dial,
		DialTLS: d.security.peerDialer(dial),
		Resolve: d.peerAddress,
		Cluster: d.settings.ClusterName(),
	})
	joined, err := cluster.Start(d.context, cluster.Options{
		Self:      d.self,
		Seeds:     d.settings.Seeds,
		Transport: d.peers,
		Document:  d.store.Document(),
		Seed:      d.options.Seed,
		OnRemoved: rejoin,
	})
	if err != nil {
		return err
	}
	d.cluster = joined
	d.feed = config.NewFeed(config.FeedOptions{
		Self:   d.self.ID,
		Source: config.FromPlatform(d.platform),
		Peers:  clusterPeers{joined},
		Store:  d.store,
	})
	d.fleet = d.newFleet()
	joined.OnItem(d.takeItem)
	joined.OnItem(func(item cluster.Item) { d.fleet.Observe(item.Key, item.Version, item.Value) })
	joined.OnChange(d.nodeChanged)
	return nil
}

func (d *Daemon) newFleet() *fleet.Fleet {
	return fleet.New(fleet.Options{
		Self:          d.self,
		Engines:       fleet.FromClient(d.engines),
		Configuration: d.store.InForce,
		Nodes:         func() []structs.Node { return d.cluster.View().Nodes },
		Platform:      d.platform,
		Publish: func(key string, version uint64, value []byte) {
			d.cluster.Publish(cluster.Item{Key: key, Version: version, Value: value})
		},
		Orphans:    d.orphans,
		CacheEvent: d.noteCacheEvent,
	})
}

// rejoin brings a daemon back that the others had removed. What it holds of the
// journal is as good as before: a leader without a majority commits nothing, and
// a group that went on without this daemon tells it so.
func rejoin(removed structs.Incarnation) structs.Incarnation { return removed + 1 }

// noteCacheEvent passes on what an engine says of its cache.
func (d *Daemon) noteCacheEvent(id structs.EngineID, event engine.CacheEvent) {
	if running := d.core.Load(); running != nil && !event.Stored {
		running.executor.LowerCachedTokens(id, event.Holder, event.Tokens)
	}
}

// nodeChanged passes suspicions of a daemon on to the replicas.
func (d *Daemon) nodeChanged(node structs.Node) {
	running := d.core.Load()
	if running == nil || node.ID == d.self.ID {
		return
	}
	if node.State == structs.NodeSuspect || node.State == structs.NodeDead {
		running.host.SuspectNode(node.ID)
		running.executor.CancelForwardsTo(node.ID)
	}
}

// clusterPeers is the cluster as the configuration's feed needs it.
type clusterPeers struct{ cluster *cluster.Cluster }

// Members returns the daemons that were not removed.
func (p clusterPeers) Members() []structs.Node { return p.cluster.View().Members() }

// DocumentChanged tells the peers that the configuration advanced.
func (p clusterPeers) DocumentChanged(before uint64) { p.cluster.DocumentChanged(before) }

// newIncarnation rises with the clock, so that a later life has a higher one.
func newIncarnation() structs.Incarnation { return structs.Incarnation(time.Now().UnixMilli()) }
