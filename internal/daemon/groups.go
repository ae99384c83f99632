package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	groupsInterval = 300 * time.Millisecond
	// defaultShardsSettle is how long the members of a domain's zones must be
	// unchanged before its first groups are made, so that the groups spread
	// over all daemons of a deployment that starts as a whole.
	defaultShardsSettle = 1500 * time.Millisecond
	platformTimeout     = 5 * time.Second
	defaultReplicas     = 3
)

// domainGroups is the platform's object with the first groups of a domain. It
// is created once, by compare-and-swap, and never changes: that one object
// keeps two daemons from making two groups of one shard.
type domainGroups struct {
	Domain structs.Domain             `json:"domain"`
	Groups []replication.InitialGroup `json:"groups"`
}

// settling remembers since when the members of a domain are unchanged.
type settling struct {
	nodes []structs.Node
	since time.Time
}

// runGroups makes the first groups of new domains, while this daemon is one of
// its zone's readers of the platform, and spreads them.
func (d *Daemon) runGroups() {
	settled := map[structs.ShardID]*settling{}
	spread := map[structs.ShardID]bool{}
	for pause.For(d.context, groupsInterval) {
		configuration := d.store.InForce()
		if configuration == nil || !d.feed.Reading() {
			continue
		}
		for _, domain := range configuration.Domains {
			if !spread[domain.FirstShard] && d.ensureGroups(configuration, domain, settled) {
				spread[domain.FirstShard] = true
			}
		}
	}
}

// ensureGroups reports true once the domain's first groups are spread.
func (d *Daemon) ensureGroups(configuration *structs.Configuration, domain structs.Domain, settled map[structs.ShardID]*settling) bool {
	ctx, cancel := context.WithTimeout(d.context, platformTimeout)
	defer cancel()
	object, err := d.platform.Get(ctx, domainObjectKey(domain))
	if failure.IsType(err, (&failure.ObjectNotFound{}).Type()) {
		return d.makeGroups(ctx, configuration, domain, settled)
	}
	if err != nil {
		return false
	}
	groups := domainGroups{}
	if json.Unmarshal(object.Value, &groups) != nil {
		return false
	}
	d.spreadGroups(groups)
	return true
}

// makeGroups writes the domain's first groups once its members are settled.
// Where another daemon was first, or the answer was lost, the next round reads
// what stands.
func (d *Daemon) makeGroups(ctx context.Context, configuration *structs.Configuration, domain structs.Domain, settled map[structs.ShardID]*settling) bool {
	size := configuration.Declarations.Deployment.Replicas
	if size <= 0 {
		size = defaultReplicas
	}
	nodes := aliveIn(domain, plan.ApplyZoneDraining(configuration.Declarations, d.cluster.View().Nodes))
	if !d.settled(domain, nodes, settled) {
		return false
	}
	if !enough(openZones(configuration, domain), nodes, size) {
		eventGroupsWait.Log("domain", domain.Name, "zones", domain.Zones, "nodes", len(nodes), "replicas", size)
		delete(settled, domain.FirstShard)
		return false
	}
	groups := domainGroups{Domain: domain}
	for number := range domain.ShardCount {
		shard := domain.FirstShard + structs.ShardID(number)
		groups.Groups = append(groups.Groups, replication.InitialGroup{
			Shard:   shard,
			Members: membersOf(placement.SelectReplicas(domain, shard, nodes, size)),
		})
	}
	value, err := json.Marshal(groups)
	if err != nil {
		return false
	}
	if _, err := d.platform.Put(ctx, domainObjectKey(domain), 0, value); err != nil {
		return false
	}
	eventGroupsMade.Log("domain", domain.Name, "shards", domain.ShardCount, "nodes", len(nodes))
	d.spreadGroups(groups)
	return true
}

// openZones counts the domain's zones that do not drain.
func openZones(configuration *structs.Configuration, domain structs.Domain) int {
	open := 0
	for _, zone := range configuration.Declarations.Zones {
		if domain.Permits(zone.Name) && !zone.Draining {
			open++
		}
	}
	return open
}

// enough reports whether groups of the wanted size, spread over as many of the
// open zones as that takes, can be made.
func enough(open int, nodes []structs.Node, size int) bool {
	zones := map[structs.ZoneName]bool{}
	for _, node := range nodes {
		zones[node.Zone] = true
	}
	return len(nodes) >= size && len(zones) >= min(size, open)
}

func (d *Daemon) settled(domain structs.Domain, nodes []structs.Node, settled map[structs.ShardID]*settling) bool {
	required := d.options.ShardsSettle
	if required == 0 {
		required = defaultShardsSettle
	}
	known, exists := settled[domain.FirstShard]
	if !exists || !slices.Equal(known.nodes, nodes) {
		settled[domain.FirstShard] = &settling{nodes: nodes, since: time.Now()}
		return false
	}
	return time.Since(known.since) >= required
}

func aliveIn(domain structs.Domain, nodes []structs.Node) []structs.Node {
	var alive []structs.Node
	for _, node := range nodes {
		if node.State == structs.NodeAlive && domain.Permits(node.Zone) {
			alive = append(alive, node)
		}
	}
	return alive
}

// spreadGroups tells all daemons the domain's first groups. Items of shards
// that have had a leader are newer and stay.
func (d *Daemon) spreadGroups(groups domainGroups) {
	const genesisVersion = 1
	for _, group := range groups.Groups {
		place := shardPlace{Genesis: group.Members}
		for _, member := range group.Members {
			place.Nodes = append(place.Nodes, member.Node)
		}
		value, err := json.Marshal(place)
		if err != nil {
			return
		}
		item := cluster.Item{Key: shardKey(group.Shard), Version: genesisVersion, Value: value}
		d.cluster.Publish(item)
		d.takeGenesis(item)
	}
}

// takeGenesis takes an item that this daemon published itself, unless a newer
// one is held.
func (d *Daemon) takeGenesis(item cluster.Item) {
	if held, known := d.cluster.Item(item.Key); known && held.Version > item.Version {
		return
	}
	d.takeItem(item)
}

func membersOf(nodes []structs.Node) []replication.Member {
	members := make([]replication.Member, 0, len(nodes))
	for _, node := range nodes {
		members = append(members, replication.Member{
			Node:        node.ID,
			Incarnation: node.Memory,
			Zone:        node.Zone,
			Disk:        node.HasDisk,
		})
	}
	return members
}
