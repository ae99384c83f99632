package replica

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// unrecovered returns a member that is not recovered, or nil.
func (p *proof) unrecovered() *proofNode { return p.unrecoveredBut(nil) }

func (p *proof) unrecoveredBut(except *proofNode) *proofNode {
	for _, member := range p.group.Members {
		if node := p.nodes[member.Node]; node != except && p.lacks(node) {
			return node
		}
	}
	return nil
}

// lacks reports whether a member does not hold everything that its seat held.
func (p *proof) lacks(node *proofNode) bool {
	identity := node.state().currentIdentity(p.group.Partition)
	return identity == nil || !identity.Recovered || identity.Claim != seatOf(p.group, node.name).Claim
}

// recoverStep takes one step of the recovery of a member that needs it.
func (p *proof) recoverStep() {
	node := p.unrecovered()
	if node == nil {
		return
	}
	if other := p.unrecoveredBut(node); other != nil && p.random.IntN(2) == 0 {
		node = other
	}
	p.recoverStepOf(node)
}

// recoverStepOf takes one step of one member's recovery.
func (p *proof) recoverStepOf(node *proofNode) {
	member := seatOf(p.group, node.name)
	p.must(node.state().write(groupRecord(p.group)))
	counted := p.group
	if begun := node.state().currentIdentity(p.group.Partition); begun != nil && hasReceived(member, begun) {
		if !joined(member) || p.broken == joinAtReceipt {
			p.markRecovered(node)
			return
		}
		counted = countedBy(p.group, member, begun)
	}
	if p.copies[node.name] == nil || p.copies[node.name].claim != member.Claim {
		// It is drawn for a restart too, which keeps its own, so that found schedules stay.
		incarnation := p.random.Uint64() | 1
		if p.begun(node, member) {
			p.copies[node.name] = newProofCopy(member.Claim)
			return
		}
		identity := &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: incarnation, Recovered: p.broken == countEmpty,
		}
		before := p.sawInSeat(node, member.Seat)
		p.must(node.state().write(identityRecord(p.group.Partition, identity)))
		if p.broken == keepOwnSeat && before != 0 {
			p.must(node.state().write(incarnationRecord(p.group.Partition, member.Seat, before)))
		}
		p.copies[node.name] = newProofCopy(member.Claim)
		return
	}
	p.pull(node)
	enough := p.enough(counted, seatOf(counted, node.name), p.wholeCopies(node))
	if enough == nil {
		return
	}
	p.must(node.state().write(p.adopted(enough, member.Seat)...))
	identity := node.state().currentIdentity(p.group.Partition)
	if inTransfer(member) && p.broken != earlyHolder {
		p.group = receivedGroup(p.group, member.Seat, identity.Incarnation)
		return
	}
	p.markRecovered(node)
}

// begun reports whether a node's folder was begun for a seat.
func (p *proof) begun(node *proofNode, member *replicav1.Member) bool {
	identity := node.state().currentIdentity(p.group.Partition)
	return identity != nil && identity.Seat == member.Seat && identity.Claim == member.Claim
}

// sawInSeat returns the incarnation that a node saw last in a seat, or 0.
func (p *proof) sawInSeat(node *proofNode, seat uint32) uint64 {
	for _, seen := range node.state().standing(p.group.Partition, p.group.Epoch).Seen {
		if seen.Seat == seat {
			return seen.Incarnation
		}
	}
	return 0
}

// wholeCopies returns the standings of the sources that a node has copied whole, in
// the order of the nodes.
func (p *proof) wholeCopies(node *proofNode) (standings []*replicav1.Standing) {
	for _, name := range p.order {
		if standing := p.copies[node.name].pulled[name]; standing != nil {
			standings = append(standings, standing)
		}
	}
	return standings
}

func (p *proof) markRecovered(node *proofNode) {
	recovered := proto.CloneOf(node.state().currentIdentity(p.group.Partition))
	recovered.Recovered = true
	p.must(node.state().write(identityRecord(p.group.Partition, recovered)))
	delete(p.copies, node.name)
}

// enough applies the breakages that concern when a recovery is done.
func (p *proof) enough(group *replicav1.Group, member *replicav1.Member, pulled []*replicav1.Standing) []*replicav1.Standing {
	switch {
	case p.broken == recoverFromOne && len(pulled) > 0 && pulled[0].Member:
		return pulled[:1]
	case p.broken == skipFence:
		if chosen := quorum.ChooseConsistent(0, pulled, quorum.RecoveryQuorum(quorum.VoterCount(group))); chosen != nil {
			return pulled
		}
		return nil
	}
	for _, standing := range pulled {
		copied := standing.Seat == member.Seat && standing.Claim == member.Predecessor.GetClaim()
		if copied && p.broken == anyPredecessor {
			return []*replicav1.Standing{standing}
		}
	}
	return enoughToRecover(group, member, pulled)
}

// adopted returns what a recovered member takes over of the incarnations seen.
func (p *proof) adopted(pulled []*replicav1.Standing, seat uint32) []*replicav1.Record {
	if p.broken == forgetSeen {
		return nil
	}
	return seenBy(pulled, p.group.Partition, seat)
}

// pull copies one part of another member's records, from where the last one ended.
func (p *proof) pull(node *proofNode) {
	other := p.source(node)
	if other == node || other.gone || p.cut(node.name) || p.cut(other.name) {
		return
	}
	p.must(other.state().write(groupRecord(p.group)))
	identity := node.state().currentIdentity(p.group.Partition)
	copied := p.copies[node.name]
	source := copied.of(other.name)
	request := &replicav1.PullRequest{
		Epoch: p.group.Epoch, Partition: p.group.Partition, Seat: identity.Seat, Incarnation: identity.Incarnation,
		After: source.after, MaxBytes: proofPartBytes,
	}
	response, err := other.service.Pull(context.Background(), connect.NewRequest(request))
	p.must(err)
	p.must(node.state().write(response.Msg.Records...))
	if p.broken == askOnce && copied.pulled[other.name] != nil {
		return
	}
	delete(copied.pulled, other.name)
	if source.take(response.Msg) {
		return
	}
	if response.Msg.Standing.Recovered || p.broken == anyPredecessor {
		copied.pulled[other.name] = p.standing(other, response.Msg.Standing)
	}
}

// source returns a node to copy from: another member, or the one that held the
// seat before.
func (p *proof) source(node *proofNode) *proofNode {
	sources := recoverySources(p.group, seatOf(p.group, node.name))
	if len(sources) == 0 {
		return node
	}
	return p.nodes[sources[p.random.IntN(len(sources))].Node]
}

// restart ends a node's process and starts it again, after a loss of power if
// power is set.
func (f *proofFleet) restart(node *proofNode, power bool) {
	if power {
		after := node.disk.AfterPowerLoss(f.random)
		node.state().log.Close()
		node.disk = after
	} else {
		node.state().log.Close()
	}
	f.open(node)
}

func (f *proofFleet) powerOff() {
	for _, name := range f.order {
		if node := f.nodes[name]; !node.gone {
			f.restart(node, true)
		}
	}
}

// wipe takes a member's disk, while every member is recovered, or while the only
// other seat that is not has a holder before it that still has everything: one
// loss at a time is what must be borne.
func (p *proof) wipe() {
	if !p.retirementBearsALoss() || p.removedLost() {
		return
	}
	lacking := p.unrecovered()
	if lacking != nil && !p.passedOn(lacking) && !p.joins(lacking) {
		return
	}
	node := p.anyMember(p.group)
	if lacking != nil && (node == lacking || p.unrecoveredBut(lacking) != nil) {
		return
	}
	for _, other := range p.partitions {
		if other != p && !other.bearsTheLossOf(node) {
			return
		}
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	p.open(node)
	if p.random.IntN(3) == 0 {
		// All others lose power at the same time.
		for _, name := range p.order {
			if other := p.nodes[name]; other != node && !other.gone {
				p.restart(other, true)
			}
		}
	}
}

// bearsTheLossOf reports whether a partition may lose a node's disk: the node holds
// nothing of it, or every member is recovered.
func (p *proof) bearsTheLossOf(node *proofNode) bool {
	if node.state().currentIdentity(p.group.Partition) == nil {
		return true
	}
	return p.unrecovered() == nil && p.retirementBearsALoss()
}

// joins reports whether a member was added to the group and does not count yet: it is
// no loss. Only schedules with announcements play that, so that the others are those from
// before.
func (p *proof) joins(node *proofNode) bool {
	return p.announcing && quorum.IsJoining(seatOf(p.group, node.name))
}

// passedOn reports whether a member's predecessor still has what the seat held.
func (p *proof) passedOn(node *proofNode) bool {
	member := seatOf(p.group, node.name)
	before := member.Predecessor
	if !inTransfer(member) || quorum.IsJoining(member) || p.nodes[before.Node].gone {
		return false
	}
	identity := p.nodes[before.Node].state().currentIdentity(p.group.Partition)
	return identity.GetRecovered() && identity.Claim == before.Claim
}
