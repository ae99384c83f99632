package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// places works out what happens to zones and to the journal's replicas.
func (c *comparison) places() {
	for _, zone := range c.before.Zones {
		wanted, kept := c.new.zones[zone.Name]
		switch {
		case !kept:
			c.cause(Consequence{
				Kind:   DrainEngines,
				Object: objectName("Zone", zone.Name),
				Zone:   zone.Name,
				Count:  len(zone.Engines),
				Detail: "the zone leaves: its engines take no new work",
			})
		case wanted.Draining && !zone.Draining:
			c.cause(Consequence{
				Kind:   DrainEngines,
				Object: objectName("Zone", zone.Name),
				Zone:   zone.Name,
				Count:  len(zone.Engines),
				Detail: "the zone drains: no new work, what may move moves out",
			})
		}
	}
	for _, domain := range c.held {
		c.heldDomain(domain)
	}
	for _, domain := range c.domains {
		c.wantedDomain(domain)
	}
	c.replicaCount()
}

// heldDomain compares a domain of the configuration in force.
func (c *comparison) heldDomain(domain structs.Domain) {
	programs := c.input.Usage.ofDomain(domain.Name)
	open := c.new.openZones(domain.Zones)
	if len(c.old.openZones(domain.Zones)) > 0 && len(open) == 0 {
		c.strandDomain(domain, programs, fmt.Sprintf("all zones of the domain (%s) leave or drain: %s can neither move nor go on",
			zoneText(domain.Zones), countText(programs)))
		return
	}
	if len(c.input.Nodes) > 0 && len(c.eligible(c.old, domain)) > 0 && len(c.eligible(c.new, domain)) == 0 {
		c.strandDomain(domain, programs, fmt.Sprintf("no daemon is known in the zones that stay (%s): %s can't move",
			zoneText(open), countText(programs)))
		return
	}
	c.moves(domain)
}

func (c *comparison) strandDomain(domain structs.Domain, programs int, detail string) {
	c.harm(Harm{
		Name:     "strand-domain-" + domain.Name,
		Kind:     DataStranded,
		Object:   objectName("Domain", domain.Name),
		Programs: programs,
		Detail:   detail,
	})
}

// moves counts the replicas of a held domain that change machines, and those
// that should but find no machine in the domain.
func (c *comparison) moves(domain structs.Domain) {
	before, after := c.nodesUnder(c.old), c.nodesUnder(c.new)
	if slices.Equal(before, after) && c.before.Deployment.Replicas >= c.after.Deployment.Replicas {
		return
	}
	moved := 0
	for shard := domain.FirstShard; shard < domain.FirstShard+structs.ShardID(domain.ShardCount); shard++ {
		current := c.members(domain, shard, before)
		wanted := placement.DesiredMembers(domain, shard, current, after, c.after.Deployment.Replicas)
		moved += newMembers(current, wanted)
	}
	if moved == 0 {
		return
	}
	programs := c.input.Usage.ofDomain(domain.Name)
	c.cause(Consequence{
		Kind:     MoveReplicas,
		Object:   objectName("Domain", domain.Name),
		Count:    moved,
		Programs: programs,
		Detail: fmt.Sprintf("%d replicas of %d shards are copied to other machines, one member of a group at a time; %s stay served",
			moved, domain.ShardCount, countText(programs)),
	})
}

// members returns the group's present members where the input has them, else
// those that a new group would have.
func (c *comparison) members(domain structs.Domain, shard structs.ShardID, nodes []structs.Node) []structs.NodeID {
	if members, known := c.input.Members[shard]; known {
		return members
	}
	var ids []structs.NodeID
	for _, node := range placement.SelectReplicas(domain, shard, nodes, c.before.Deployment.Replicas) {
		ids = append(ids, node.ID)
	}
	return ids
}

// nodesUnder is ApplyZoneDraining with the zones looked up already.
func (c *comparison) nodesUnder(zones index) []structs.Node {
	return openNodes(zones, c.input.Nodes)
}

// ApplyZoneDraining returns the daemons, with those as leaving that stand in a zone
// that drains or isn't declared. Daemons choose replicas from this view, so
// that what a plan says of moves is what happens.
func ApplyZoneDraining(declarations structs.Declarations, nodes []structs.Node) []structs.Node {
	zones := byName(declarations.Zones, func(z structs.Zone) structs.ZoneName { return z.Name })
	return openNodes(index{zones: zones}, nodes)
}

func openNodes(zones index, nodes []structs.Node) []structs.Node {
	view := slices.Clone(nodes)
	for i := range view {
		usable := view[i].State == structs.NodeAlive || view[i].State == structs.NodeSuspect
		if usable && !zones.open(view[i].Zone) {
			view[i].State = structs.NodeLeaving
		}
	}
	return view
}

// wantedDomain reports domains that can't have all their replicas now.
func (c *comparison) wantedDomain(domain structs.Domain) {
	if len(c.input.Nodes) == 0 {
		return
	}
	wanted, found := c.after.Deployment.Replicas, len(c.eligible(c.new, domain))
	if found >= wanted {
		return
	}
	c.cause(Consequence{
		Kind:   InsufficientCapacity,
		Object: objectName("Domain", domain.Name),
		Count:  wanted - found,
		Detail: fmt.Sprintf("%d replicas wanted, daemons in %s: %d", wanted, zoneText(c.new.openZones(domain.Zones)), found),
	})
}

// replicaCount says which groups a smaller size concerns.
func (c *comparison) replicaCount() {
	before, after := c.before.Deployment.Replicas, c.after.Deployment.Replicas
	if before <= after {
		return
	}
	c.cause(Consequence{
		Kind:   ChangeSettings,
		Object: objectName("Deployment", c.after.Deployment.Name),
		Count:  after,
		Detail: fmt.Sprintf("groups that exist keep %d replicas; those of new domains have %d", before, after),
	})
}

// eligible returns the daemons that may hold replicas of the domain.
func (c *comparison) eligible(zones index, domain structs.Domain) []structs.Node {
	var nodes []structs.Node
	for _, node := range c.input.Nodes {
		alive := node.State != structs.NodeDead && node.State != structs.NodeLeaving
		if alive && domain.Permits(node.Zone) && zones.open(node.Zone) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func newMembers(current []structs.NodeID, wanted []structs.Node) int {
	count := 0
	for _, node := range wanted {
		if !slices.Contains(current, node.ID) {
			count++
		}
	}
	return count
}

func zoneText(zones []structs.ZoneName) string {
	if len(zones) == 0 {
		return "no zone"
	}
	names := make([]string, 0, len(zones))
	for _, zone := range zones {
		names = append(names, string(zone))
	}
	return strings.Join(names, ", ")
}
