package replica

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// unrecoveredMember returns a member that is not recovered, or nil.
func (p *simPartition) unrecoveredMember() *simNode { return p.unrecoveredMemberExcept(nil) }

func (p *simPartition) unrecoveredMemberExcept(except *simNode) *simNode {
	for _, member := range p.group.Members {
		if node := p.nodes[member.Node]; node != except && p.isUnrecovered(node) {
			return node
		}
	}
	return nil
}

// isUnrecovered reports whether a member lacks records of its seat.
func (p *simPartition) isUnrecovered(node *simNode) bool {
	identity := node.state().currentIdentity(p.group.Partition)
	return identity == nil || !identity.Recovered || identity.Claim != memberForNode(p.group, node.name).Claim
}

// recoveryStep performs one recovery step of a member that needs it.
func (p *simPartition) recoveryStep() {
	node := p.unrecoveredMember()
	if node == nil {
		return
	}
	if other := p.unrecoveredMemberExcept(node); other != nil && p.random.IntN(2) == 0 {
		node = other
	}
	p.recoveryStepOf(node)
}

// recoveryStepOf performs one recovery step of one member.
func (p *simPartition) recoveryStepOf(node *simNode) {
	member := memberForNode(p.group, node.name)
	p.must(node.state().write(groupRecord(p.group)))
	copyGroup := p.group
	if current := node.state().currentIdentity(p.group.Partition); current != nil && hasReceived(member, current) {
		if !isNewSeat(member) || p.mutation == countStaleJoiner {
			p.markRecovered(node)
			return
		}
		copyGroup = groupForCopy(p.group, member, current)
	}
	if p.copies[node.name] == nil || p.copies[node.name].claim != member.Claim {
		// A restarted member keeps its incarnation. The number is drawn anyway, so that known seeds
		// reproduce the same schedules.
		incarnation := p.random.Uint64() | 1
		if p.hasStartedIncarnation(node, member) {
			p.copies[node.name] = newSimCopy(member.Claim)
			return
		}
		identity := &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: incarnation, Recovered: p.mutation == countEmptyReplica,
		}
		previous := p.seenIncarnation(node, member.Seat)
		p.must(node.state().write(identityRecord(p.group.Partition, identity)))
		if p.mutation == keepPreviousHolder && previous != 0 {
			p.must(node.state().write(incarnationRecord(p.group.Partition, member.Seat, previous)))
		}
		p.copies[node.name] = newSimCopy(member.Claim)
		return
	}
	p.pull(node)
	sufficient := p.sufficientSources(copyGroup, memberForNode(copyGroup, node.name), p.completeCopies(node))
	if sufficient == nil {
		return
	}
	p.must(node.state().write(p.seenIncarnationRecords(sufficient, member.Seat)...))
	identity := node.state().currentIdentity(p.group.Partition)
	if inTransfer(member) && p.mutation != countHolderInTransfer {
		copied := proto.CloneOf(identity)
		copied.Copied = p.agreement != nil
		p.must(node.state().write(identityRecord(p.group.Partition, copied)))
		p.install(node, groupWithTransferComplete(p.group, member.Seat, identity.Incarnation), nil)
		return
	}
	p.markRecovered(node)
}

// hasStartedIncarnation reports whether a node has started an incarnation for a seat.
func (p *simPartition) hasStartedIncarnation(node *simNode, member *replicav1.Member) bool {
	identity := node.state().currentIdentity(p.group.Partition)
	return identity != nil && identity.Seat == member.Seat && identity.Claim == member.Claim
}

// seenIncarnation returns the incarnation that a node saw last in a seat, or 0.
func (p *simPartition) seenIncarnation(node *simNode, seat uint32) uint64 {
	for _, seen := range node.state().standing(p.group.Partition, p.group.Epoch).Seen {
		if seen.Seat == seat {
			return seen.Incarnation
		}
	}
	return 0
}

// completeCopies returns the standings of the sources that a node has copied completely, in the
// order of the nodes.
func (p *simPartition) completeCopies(node *simNode) (standings []*replicav1.Standing) {
	for _, name := range p.nodeNames {
		if standing := p.copies[node.name].pulled[name]; standing != nil {
			standings = append(standings, standing)
		}
	}
	return standings
}

func (p *simPartition) markRecovered(node *simNode) {
	recovered := proto.CloneOf(node.state().currentIdentity(p.group.Partition))
	recovered.Recovered, recovered.Copied = true, false
	recovered.KnowsStore = hasReceived(memberForNode(p.group, node.name), recovered)
	p.must(node.state().write(identityRecord(p.group.Partition, recovered)))
	delete(p.copies, node.name)
}

// sufficientSources applies the mutations that concern the end of a recovery.
func (p *simPartition) sufficientSources(group *replicav1.Group, member *replicav1.Member, pulled []*replicav1.Standing) []*replicav1.Standing {
	switch {
	case p.mutation == recoverFromOne && len(pulled) > 0 && pulled[0].Member:
		return pulled[:1]
	case p.mutation == ignoreEpoch:
		if chosen := quorum.ChooseConsistent(0, pulled, quorum.RecoveryQuorum(quorum.VoterCount(group))); chosen != nil {
			return pulled
		}
		return nil
	}
	for _, standing := range pulled {
		copied := standing.Seat == member.Seat && standing.Claim == member.Predecessor.GetClaim()
		if copied && p.mutation == copyFromEmptyPredecessor {
			return []*replicav1.Standing{standing}
		}
	}
	return sufficientSources(group, member, pulled)
}

// seenIncarnationRecords returns the seen incarnations that a recovered member takes over.
func (p *simPartition) seenIncarnationRecords(pulled []*replicav1.Standing, seat uint32) []*replicav1.Record {
	if p.mutation == dropSeenIncarnations {
		return nil
	}
	return incarnationRecordsFrom(pulled, p.group.Partition, seat)
}

// pull copies one chunk of another member's records and resumes where the previous one ended.
func (p *simPartition) pull(node *simNode) {
	sourceNode := p.randomSource(node)
	if sourceNode == node || sourceNode.down || p.isIsolated(node.name) || p.isIsolated(sourceNode.name) {
		return
	}
	p.must(sourceNode.state().write(groupRecord(p.group)))
	identity := node.state().currentIdentity(p.group.Partition)
	progress := p.copies[node.name]
	source := progress.source(sourceNode.name)
	request := &replicav1.PullRequest{
		Epoch: p.group.Epoch, Partition: p.group.Partition, Seat: identity.Seat, Incarnation: identity.Incarnation,
		After: source.position, MaxBytes: simChunkBytes,
	}
	response, err := sourceNode.service.Pull(context.Background(), connect.NewRequest(request))
	p.must(err)
	p.must(node.state().write(response.Msg.Records...))
	if p.mutation == cacheSourceStanding && progress.pulled[sourceNode.name] != nil {
		return
	}
	delete(progress.pulled, sourceNode.name)
	p.must(node.state().write(agreementRecord(p.group.Partition, response.Msg.Agreement)))
	if source.advance(response.Msg) {
		return
	}
	if response.Msg.Standing.Recovered || p.mutation == copyFromEmptyPredecessor {
		progress.pulled[sourceNode.name] = p.standing(sourceNode, response.Msg.Standing)
	}
}

// randomSource returns a node to copy from.
func (p *simPartition) randomSource(node *simNode) *simNode {
	sources := recoverySources(p.group, memberForNode(p.group, node.name))
	if len(sources) == 0 {
		return node
	}
	return p.nodes[sources[p.random.IntN(len(sources))].Node]
}

// restart restarts a node's process, after a power loss if power is set.
func (c *simCluster) restart(node *simNode, power bool) {
	if power {
		after := node.disk.AfterPowerLoss(c.random)
		node.state().log.Close()
		node.disk = after
	} else {
		node.state().log.Close()
	}
	c.startNode(node)
}

func (c *simCluster) powerOff() {
	for _, name := range c.nodeNames {
		if node := c.nodes[name]; !node.down {
			c.restart(node, true)
		}
	}
}

// loseDiskIfTolerated replaces a member's disk if the loss must be tolerated, because at most one
// loss at a time must be: every member is recovered, or the only unrecovered one has a predecessor
// that still has all records of the seat.
func (p *simPartition) loseDiskIfTolerated() {
	if !p.retirementToleratesDiskLoss() || p.removedMemberLostRecords() {
		return
	}
	unrecovered := p.unrecoveredMember()
	if unrecovered != nil && !p.predecessorHoldsRecords(unrecovered) && !p.isJoining(unrecovered) {
		return
	}
	node := p.randomMember(p.group)
	if unrecovered != nil && (node == unrecovered || p.unrecoveredMemberExcept(unrecovered) != nil) {
		return
	}
	for _, other := range p.partitions {
		if other != p && !other.toleratesDiskLossOf(node) {
			return
		}
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	p.startNode(node)
	if p.random.IntN(3) == 0 {
		// All other nodes lose power at the same time.
		for _, name := range p.nodeNames {
			if other := p.nodes[name]; other != node && !other.down {
				p.restart(other, true)
			}
		}
	}
}

// toleratesDiskLossOf reports whether a partition may lose a node's disk: the node has never held a
// recovery in it, or every member is recovered.
func (p *simPartition) toleratesDiskLossOf(node *simNode) bool {
	if node.state().currentIdentity(p.group.Partition) == nil {
		return true
	}
	return p.unrecoveredMember() == nil && p.retirementToleratesDiskLoss()
}

// isJoining reports whether a member was added to the group and does not vote yet, which is not a
// loss. Only schedules with announcements include this case, so that the other schedules stay
// unchanged.
func (p *simPartition) isJoining(node *simNode) bool {
	return p.withAnnouncements && quorum.IsJoining(memberForNode(p.group, node.name))
}

// predecessorHoldsRecords reports whether a member's predecessor still has all records of the seat.
func (p *simPartition) predecessorHoldsRecords(node *simNode) bool {
	member := memberForNode(p.group, node.name)
	predecessor := member.Predecessor
	if !inTransfer(member) || quorum.IsJoining(member) || p.nodes[predecessor.Node].down {
		return false
	}
	identity := p.nodes[predecessor.Node].state().currentIdentity(p.group.Partition)
	return identity.GetRecovered() && identity.Claim == predecessor.Claim
}
