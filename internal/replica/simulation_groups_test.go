package replica

import (
	"context"
	"fmt"
	"math/rand/v2"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// distributeGroupToRandomNode sends the current group to a random node.
func (p *simPartition) distributeGroupToRandomNode() {
	p.must(p.randomNode().state().write(groupRecord(p.group)))
	if p.withAnnouncements {
		p.announceToRandomNode()
	}
}

// announceToRandomNode lets a node with a seat, as far as it knows, announce itself to any other
// node, as members do that query standbys.
func (p *simPartition) announceToRandomNode() {
	from := p.nodes[p.nodeNames[p.announcementRandom.IntN(len(p.nodeNames))]]
	to := p.nodes[p.nodeNames[p.announcementRandom.IntN(len(p.nodeNames))]]
	group := from.state().currentGroup(p.group.Partition)
	if from == to || from.down || to.down || group == nil || p.isIsolated(from.name) || p.isIsolated(to.name) {
		return
	}
	_, err := to.service.Announce(context.Background(), connect.NewRequest(newAnnouncement(from.state(), group, from.name)))
	p.must(err)
}

// enableAnnouncements adds random announcements to the schedule of the cluster.
func (c *simCluster) enableAnnouncements(seed uint64) *simCluster {
	c.withAnnouncements, c.announcementRandom = true, rand.New(rand.NewPCG(seed, 13))
	return c
}

// retirementStep performs the next step of a retirement, or starts one.
func (p *simPartition) retirementStep() {
	if p.retiringNode == "" {
		if p.hasUnrecoveredMember() || len(p.nodeNames) > 8 {
			return
		}
		if p.random.IntN(2) == 0 || len(p.group.Members) < simReplicas {
			p.addNode(fmt.Sprintf("n%d", len(p.nodeNames)))
		}
		if p.smallestGroupSize() > 2 {
			p.retiringNode = p.randomMember(p.group).name
		}
	}
	p.propose()
	p.completeRetirement()
}

func (c *simCluster) hasUnrecoveredMember() bool {
	for _, partition := range c.partitions {
		if partition.unrecoveredMember() != nil {
			return true
		}
	}
	return false
}

func (c *simCluster) smallestGroupSize() int {
	smallest := len(c.partitions[0].group.Members)
	for _, partition := range c.partitions {
		smallest = min(smallest, len(partition.group.Members))
	}
	return smallest
}

func (c *simCluster) groups() (groups []*replicav1.Group) {
	for _, partition := range c.partitions {
		groups = append(groups, partition.group)
	}
	return groups
}

func (p *simPartition) propose() {
	var nodes []directory.Replica
	for _, name := range p.nodeNames {
		if !p.nodes[name].down {
			nodes = append(nodes, directory.Replica{Node: name, Zone: name})
		}
	}
	status := groupStatus{
		group: p.groupSeenByProposer(), nodes: nodes, retiring: map[string]bool{p.retiringNode: true}, seatCounts: seatsByNode(p.groups()),
		regionOf: p.regionOf, removedMemberHoldsRecords: p.removedMemberHoldsRecords(),
		isHealthy: func(name string) bool { return !p.nodes[name].down && !p.isIsolated(name) && !p.transfersSeatOf(name) },
		hasFailed: p.isIsolated,
		isInSync: func(name string) bool {
			if p.nodes[name].down || p.isIsolated(name) {
				return false
			}
			if stale, late := p.staleStandings[name]; late && stale.epoch == p.group.Epoch && p.steps < stale.untilStep {
				return true
			}
			if p.mutation == removeUnrecovered && name == p.retiringNode {
				return true
			}
			standing := p.nodes[name].state().standing(p.group.Partition, p.group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == p.group.Epoch
		},
	}
	status.exchangeComplete = p.exchange(status)
	next := nextGroup(status)
	if next == nil {
		return
	}
	if memberCount := len(next.Members); p.mutation == countJoining && memberCount > len(p.group.Members) {
		next.Members[memberCount-1].Predecessor = nil
	}
	if p.mutation == forgetRemovedMember || p.dropsRetiredMember(next) {
		next.Removed = nil
	}
	p.group = p.groupToInstall(next)
}

// transfersSeatOf reports whether a retiring node's seat is transferred to a standby, as that of an
// unresponsive one.
func (p *simPartition) transfersSeatOf(name string) bool {
	if p.plannedRetirements || name != p.retiringNode || name == "" {
		return false
	}
	for _, other := range p.nodeNames {
		permitted := p.group.Region == "" || p.regionOf[other] == p.group.Region || p.mutation == ignoreRegion || p.mutation == dropGroupRegion
		if !p.nodes[other].down && !p.isIsolated(other) && memberForNode(p.group, other) == nil && permitted {
			return true
		}
	}
	return false
}

// dropsRetiredMember reports whether the mutation removes a retiring node as if it had already
// pushed its records to the others.
func (p *simPartition) dropsRetiredMember(next *replicav1.Group) bool {
	isMutated := p.mutation == retireBeforeTransfer || p.mutation == removeUnrecovered
	return isMutated && p.retiringNode != "" && next.Removed.GetNode() == p.retiringNode
}

// retirementToleratesDiskLoss reports whether a disk may be lost now. Schedules without
// losesDisksWhileRetiring wait until a retirement without a successor is complete.
func (c *simCluster) retirementToleratesDiskLoss() bool {
	return c.losesDisksWhileRetiring || c.retiringNode == "" || c.smallestGroupSize() >= simReplicas
}

// completeRetirement takes the retiring node down once no partition needs its records.
func (c *simCluster) completeRetirement() {
	if c.retiringNode == "" || c.hasUnrecoveredMember() {
		return
	}
	node := c.nodes[c.retiringNode]
	for _, partition := range c.partitions {
		if memberForNode(partition.group, node.name) != nil {
			return
		}
	}
	for _, partition := range c.partitions {
		if !partition.isReleased(node) {
			return
		}
	}
	node.down = true
	c.retiringNode = ""
}

// isReleased reports whether a node without a seat in the partition may go down. If its seat was
// not transferred, the members must have exchanged their records.
func (p *simPartition) isReleased(node *simNode) bool {
	if node.state().currentIdentity(p.group.Partition) == nil {
		return true
	}
	p.must(node.state().write(groupRecord(p.group)))
	return p.mutation == retireBeforeTransfer || p.group.Removed.GetNode() != node.name
}
