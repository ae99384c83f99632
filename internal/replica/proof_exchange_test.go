package replica

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// exchange brings all records of the members to all of them after a removal, as the product does,
// and reports whether each of those that take part is there and recovered in the epoch.
func (p *proof) exchange(seen observation) bool {
	if p.group.Removed == nil || p.broken == skipExchange {
		return p.broken == skipExchange
	}
	partners := exchangePartners(seen)
	for _, member := range partners {
		if p.nodes[member.Node].gone || p.cut(member.Node) || !p.holds(member) {
			return false
		}
	}
	var all []*replicav1.Record
	for _, member := range partners {
		records, _, _, err := p.nodes[member.Node].state().after(p.group.Partition, 0, math.MaxInt)
		p.must(err)
		all = append(all, records...)
	}
	for _, member := range partners {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Partition: p.group.Partition, Records: all}
		_, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
	}
	return len(partners) > 0
}

// holds reports whether a member shows the epoch and holds everything that its seat held.
func (p *proof) holds(member *replicav1.Member) bool {
	standing := p.nodes[member.Node].state().standing(p.group.Partition, p.group.Epoch)
	return standing.Member && standing.Recovered && standing.Epoch == p.group.Epoch
}

// removedHolds reports whether the member that was removed last is there and holds what its seat held.
func (p *proof) removedHolds() bool {
	removed := p.group.Removed
	if removed == nil || p.nodes[removed.Node].gone || p.cut(removed.Node) {
		return false
	}
	return heldRemovedSeat(p.group, p.nodes[removed.Node].state().standing(p.group.Partition, p.group.Epoch))
}
