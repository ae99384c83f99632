package replica

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// simAgreement lets the members of a simulated partition choose groups, as replicas do.
type simAgreement struct {
	ballots *ballots
	// stored is the copy of the group in the platform's store, and storeAway is set while the store
	// does not answer.
	stored    *replicav1.Group
	storeAway bool
}

// startAgreedGroup replaces the group by one of all nodes whose members choose the next one.
func (p *simPartition) startAgreedGroup() {
	p.group = singlePartitionGroup(p.registeredNodes())
	p.group.Epoch, p.group.Agreed = firstEpoch+1, true
	for _, member := range p.group.Members {
		p.must(p.nodes[member.Node].state().write(groupRecord(p.group), identityRecord(0, &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: p.random.Uint64() | 1, Recovered: true, KnowsStore: true,
		})))
	}
}

// install installs a group that a node proposes, if the members choose one, and reports whether they
// do. The group may be one that another node has proposed before.
func (p *simPartition) install(proposer *simNode, next *replicav1.Group, leaving *departure) bool {
	if p.agreement == nil {
		p.group = next
		return true
	}
	ballot := p.agreement.ballots.next()
	confirm := seatsToConfirm(p.group, next, leaving)
	promised := p.askAcceptors(&replicav1.AgreeRequest{Group: p.group, Ballot: ballot})
	p.agreement.ballots.observe(promised.promised)
	if !promised.isMajority() && storeIsAcceptor(p.group) && !p.agreement.storeAway {
		if stored := storedPromise(p.agreement.stored, p.group.Epoch, ballot); stored != nil {
			p.agreement.stored, promised.storeGranted = stored, true
		}
	}
	request := promised.acceptRequest(ballot, next, confirm)
	if request == nil {
		return false
	}
	accepted := p.askAcceptors(request)
	if !accepted.isMajority() && promised.storeGranted && len(accepted.granted) > 0 {
		if stored := storedAcceptance(p.agreement.stored, request); stored != nil {
			p.agreement.stored, accepted.storeGranted = stored, true
		}
	}
	if !accepted.isMajority() {
		return false
	}
	p.group = request.Next
	if !p.agreement.storeAway {
		p.agreement.stored = storedGroup(p.agreement.stored, p.group)
	}
	return true
}

// askAcceptors sends a request to the acceptors that are running.
func (p *simPartition) askAcceptors(request *replicav1.AgreeRequest) *ballotResult {
	result := &ballotResult{group: request.Group}
	for _, member := range acceptors(request.Group) {
		node := p.nodes[member.Node]
		if node.down || p.isIsolated(node.name) {
			continue
		}
		response, err := node.service.Agree(context.Background(), connect.NewRequest(request))
		p.must(err)
		result.add(response.Msg)
	}
	return result
}

// queryStore lets members of a group of two that were recovered from the other one query the
// platform's store, and writes the group to it.
func (p *simPartition) queryStore() {
	if p.agreement.storeAway {
		return
	}
	p.agreement.stored = storedGroup(p.agreement.stored, p.group)
	for _, member := range p.group.Members {
		node := p.nodes[member.Node]
		identity := node.state().currentIdentity(p.group.Partition)
		if node.down || !storeIsAcceptor(p.group) || !identity.GetRecovered() || identity.KnowsStore {
			continue
		}
		ballot := p.agreement.ballots.next()
		if stored := storedPromise(p.agreement.stored, p.group.Epoch, ballot); stored != nil {
			p.agreement.stored = stored
			p.must(node.state().markStoreKnown(p.group, identity, ballot))
		}
	}
}
