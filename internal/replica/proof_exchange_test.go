package replica

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// exchange brings all records of the members to all of them after a removal, as the product does,
// and reports whether each member is recovered in the epoch.
func (p *proof) exchange() bool {
	if p.group.Removed == nil || p.broken == skipExchange {
		return p.broken == skipExchange
	}
	for _, member := range p.group.Members {
		if p.nodes[member.Node].gone || p.cut(member.Node) || !p.holds(member) {
			return false
		}
	}
	var all []*replicav1.Record
	for _, member := range p.group.Members {
		records, _, _, err := p.nodes[member.Node].state().after(p.group.Partition, 0, math.MaxInt)
		p.must(err)
		all = append(all, records...)
	}
	for _, member := range p.group.Members {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Partition: p.group.Partition, Records: all}
		_, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
	}
	return true
}

// holds reports whether a member shows the epoch and holds everything that its seat held.
func (p *proof) holds(member *replicav1.Member) bool {
	standing := p.nodes[member.Node].state().standing(p.group.Partition, p.group.Epoch)
	return standing.Member && standing.Recovered && standing.Epoch == p.group.Epoch
}
