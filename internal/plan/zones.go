package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// compareZones adds the consequences for zones and for the journal's replicas.
func (c *comparison) compareZones() {
	for _, zone := range c.before.Zones {
		desired, isKept := c.afterIndex.zones[zone.Name]
		switch {
		case !isKept:
			c.addConsequence(Consequence{
				Kind:   DrainEngines,
				Object: objectName("Zone", zone.Name),
				Zone:   zone.Name,
				Count:  len(zone.Engines),
				Detail: "the zone leaves: its engines take no new work",
			})
		case desired.Draining && !zone.Draining:
			c.addConsequence(Consequence{
				Kind:   DrainEngines,
				Object: objectName("Zone", zone.Name),
				Zone:   zone.Name,
				Count:  len(zone.Engines),
				Detail: "the zone drains: no new work, what may move moves out",
			})
		}
	}
	for _, domain := range c.activeDomains {
		c.compareActiveDomain(domain)
	}
	for _, domain := range c.desiredDomains {
		c.checkDomainCapacity(domain)
	}
	c.compareReplicaCount()
}

// compareActiveDomain adds the consequences for a domain of the active configuration.
func (c *comparison) compareActiveDomain(domain structs.Domain) {
	programs := c.input.Usage.countByDomain(domain.Name)
	openZones := c.afterIndex.openZones(domain.Zones)
	if len(c.beforeIndex.openZones(domain.Zones)) > 0 && len(openZones) == 0 {
		c.addStrandedDomain(domain, programs, fmt.Sprintf("all zones of the domain (%s) leave or drain: %s can neither move nor go on",
			formatZones(domain.Zones), formatProgramCount(programs)))
		return
	}
	if len(c.input.Nodes) > 0 && len(c.eligibleNodes(c.beforeIndex, domain)) > 0 && len(c.eligibleNodes(c.afterIndex, domain)) == 0 {
		c.addStrandedDomain(domain, programs, fmt.Sprintf("no daemon is known in the zones that stay (%s): %s can't move",
			formatZones(openZones), formatProgramCount(programs)))
		return
	}
	c.addReplicaMoves(domain)
}

func (c *comparison) addStrandedDomain(domain structs.Domain, programs int, detail string) {
	c.addHarm(Harm{
		Name:     "strand-domain-" + domain.Name,
		Kind:     DataStranded,
		Object:   objectName("Domain", domain.Name),
		Programs: programs,
		Detail:   detail,
	})
}

// addReplicaMoves counts the replicas of an active domain that move to other machines.
func (c *comparison) addReplicaMoves(domain structs.Domain) {
	before, after := c.nodesUnder(c.beforeIndex), c.nodesUnder(c.afterIndex)
	if slices.Equal(before, after) && c.before.Deployment.Replicas >= c.after.Deployment.Replicas {
		return
	}
	moved := 0
	for shard := domain.FirstShard; shard < domain.FirstShard+structs.ShardID(domain.ShardCount); shard++ {
		current := c.currentMembers(domain, shard, before)
		desired := placement.DesiredMembers(domain, shard, current, after, c.after.Deployment.Replicas)
		moved += countNewMembers(current, desired)
	}
	if moved == 0 {
		return
	}
	programs := c.input.Usage.countByDomain(domain.Name)
	c.addConsequence(Consequence{
		Kind:     MoveReplicas,
		Object:   objectName("Domain", domain.Name),
		Count:    moved,
		Programs: programs,
		Detail: fmt.Sprintf("%d replicas of %d shards are copied to other machines, one member of a group at a time; %s stay served",
			moved, domain.ShardCount, formatProgramCount(programs)),
	})
}

// currentMembers returns the group's current members if the input contains them,
// otherwise those that a new group would have.
func (c *comparison) currentMembers(domain structs.Domain, shard structs.ShardID, nodes []structs.Node) []structs.NodeID {
	if members, known := c.input.Members[shard]; known {
		return members
	}
	var ids []structs.NodeID
	for _, node := range placement.SelectReplicas(domain, shard, nodes, c.before.Deployment.Replicas) {
		ids = append(ids, node.ID)
	}
	return ids
}

// nodesUnder returns the daemons as seen with the given zones (see ApplyZoneDraining).
func (c *comparison) nodesUnder(zones index) []structs.Node {
	return applyZoneDraining(zones, c.input.Nodes)
}

// ApplyZoneDraining returns the daemons, with those marked as leaving whose zone drains
// or is not declared. Daemons select replicas from this view, so a plan predicts the
// moves that will happen.
func ApplyZoneDraining(declarations structs.Declarations, nodes []structs.Node) []structs.Node {
	zones := byName(declarations.Zones, func(z structs.Zone) structs.ZoneName { return z.Name })
	return applyZoneDraining(index{zones: zones}, nodes)
}

func applyZoneDraining(zones index, nodes []structs.Node) []structs.Node {
	view := slices.Clone(nodes)
	for i := range view {
		isUsable := view[i].State == structs.NodeAlive || view[i].State == structs.NodeSuspect
		if isUsable && !zones.isOpen(view[i].Zone) {
			view[i].State = structs.NodeLeaving
		}
	}
	return view
}

// checkDomainCapacity reports a domain that cannot have all its replicas now.
func (c *comparison) checkDomainCapacity(domain structs.Domain) {
	if len(c.input.Nodes) == 0 {
		return
	}
	desired, available := c.after.Deployment.Replicas, len(c.eligibleNodes(c.afterIndex, domain))
	if available >= desired {
		return
	}
	c.addConsequence(Consequence{
		Kind:   InsufficientCapacity,
		Object: objectName("Domain", domain.Name),
		Count:  desired - available,
		Detail: fmt.Sprintf("%d replicas wanted, daemons in %s: %d", desired, formatZones(c.afterIndex.openZones(domain.Zones)), available),
	})
}

// compareReplicaCount reports which groups a reduced replica count affects.
func (c *comparison) compareReplicaCount() {
	before, after := c.before.Deployment.Replicas, c.after.Deployment.Replicas
	if before <= after {
		return
	}
	c.addConsequence(Consequence{
		Kind:   ChangeSettings,
		Object: objectName("Deployment", c.after.Deployment.Name),
		Count:  after,
		Detail: fmt.Sprintf("groups that exist keep %d replicas; those of new domains have %d", before, after),
	})
}

// eligibleNodes returns the daemons that may hold replicas of the domain.
func (c *comparison) eligibleNodes(zones index, domain structs.Domain) []structs.Node {
	var nodes []structs.Node
	for _, node := range c.input.Nodes {
		isUsable := node.State != structs.NodeDead && node.State != structs.NodeLeaving
		if isUsable && domain.Permits(node.Zone) && zones.isOpen(node.Zone) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func countNewMembers(current []structs.NodeID, desired []structs.Node) int {
	count := 0
	for _, node := range desired {
		if !slices.Contains(current, node.ID) {
			count++
		}
	}
	return count
}

func formatZones(zones []structs.ZoneName) string {
	if len(zones) == 0 {
		return "no zone"
	}
	names := make([]string, 0, len(zones))
	for _, zone := range zones {
		names = append(names, string(zone))
	}
	return strings.Join(names, ", ")
}
