package replica

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// exchange brings all records of the partners to each of them after a removal, and reports whether
// all partners are running and in sync.
func (p *simPartition) exchange(status groupStatus) bool {
	if p.group.Removed == nil || p.mutation == skipExchange {
		return p.mutation == skipExchange
	}
	partners := exchangePartners(status)
	for _, member := range partners {
		if p.nodes[member.Node].down || p.isIsolated(member.Node) || !p.isInSync(member) {
			return false
		}
	}
	var allRecords []*replicav1.Record
	for _, member := range partners {
		records, _, _, err := p.nodes[member.Node].state().recordsAfter(p.group.Partition, 0, math.MaxInt)
		p.must(err)
		allRecords = append(allRecords, records...)
	}
	for _, member := range partners {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Partition: p.group.Partition, Records: allRecords}
		_, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
	}
	return len(partners) > 0
}

// isInSync reports whether a member reports the epoch and holds all records of its seat.
func (p *simPartition) isInSync(member *replicav1.Member) bool {
	standing := p.nodes[member.Node].state().standing(p.group.Partition, p.group.Epoch)
	return standing.Member && standing.Recovered && standing.Epoch == p.group.Epoch
}

// removedMemberHoldsRecords reports whether the most recently removed member is running and holds
// all records of its seat.
func (p *simPartition) removedMemberHoldsRecords() bool {
	removed := p.group.Removed
	if removed == nil || p.nodes[removed.Node].down || p.isIsolated(removed.Node) {
		return false
	}
	return isRemovedHolder(p.group, p.nodes[removed.Node].state().standing(p.group.Partition, p.group.Epoch))
}
