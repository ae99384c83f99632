package replica

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	firstEpoch = 1
	// maxSeats bounds the group: more replicas cost every write without making
	// it safer. Further nodes stand by.
	maxSeats = 5
)

// observation is what the choice of the next group depends on.
type observation struct {
	group *replicav1.Group
	// nodes are all registered nodes.
	nodes []directory.Replica
	// retiring nodes are to hold no seat.
	retiring map[string]bool
	// alive nodes were heard lately; settled members show the group's epoch and
	// hold everything that their seat held.
	alive, settled func(node string) bool
}

// firstGroup returns the group that a new system begins with: one seat for each
// node, spread over zones as far as there are more nodes than seats.
func firstGroup(nodes []directory.Replica) *replicav1.Group {
	group := &replicav1.Group{Epoch: firstEpoch}
	for _, node := range spread(nodes) {
		if len(group.Members) < maxSeats {
			addMember(group, node)
		}
	}
	group.Target = uint32(len(group.Members))
	return group
}

// spread orders nodes so that each zone comes up once before any comes twice.
func spread(nodes []directory.Replica) []directory.Replica {
	ordered := append([]directory.Replica(nil), nodes...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Node < ordered[j].Node })
	rank := make(map[string]int, len(ordered))
	inZone := make(map[string]int)
	for _, node := range ordered {
		rank[node.Node] = inZone[node.Zone]
		inZone[node.Zone]++
	}
	sort.SliceStable(ordered, func(i, j int) bool { return rank[ordered[i].Node] < rank[ordered[j].Node] })
	return ordered
}

func addMember(group *replicav1.Group, node directory.Replica) {
	var seat uint32
	for _, member := range group.Members {
		seat = max(seat, member.Seat+1)
	}
	group.Members = append(group.Members, &replicav1.Member{
		Seat: seat, Node: node.Node, Address: node.Address, Zone: node.Zone, Claim: group.Epoch,
	})
}

// nextGroup returns the group to go on with, one change away from the present
// one, or nil while nothing is to be changed. A change waits until a majority
// shows the present epoch, so that no write can succeed under an epoch before
// it, and until the members that stay hold everything.
func nextGroup(seen observation) *replicav1.Group {
	leaving := leavingMember(seen)
	if !othersSettled(seen, leaving) {
		return nil
	}
	standby := standbyNode(seen)
	next := proto.CloneOf(seen.group)
	next.Epoch++
	switch {
	case leaving != nil && standby != nil:
		for _, member := range next.Members {
			if member.Seat == leaving.Seat {
				passSeat(member, *standby, next.Epoch)
			}
		}
		return next
	case leaving != nil && seen.retiring[leaving.Node] && seen.settled(leaving.Node) && len(next.Members) > 1:
		// A smaller group reads from fewer members: what the seat held must be
		// there to be handed over to all of them.
		removeSeat(next, leaving.Seat)
		return next
	case leaving == nil && standby != nil && len(next.Members) < int(next.Target):
		addMember(next, *standby)
		return next
	}
	return nil
}

// leavingMember returns a member that is to be emptied, else one that is
// silent.
func leavingMember(seen observation) *replicav1.Member {
	for _, member := range seen.group.Members {
		if seen.retiring[member.Node] {
			return member
		}
	}
	for _, member := range seen.group.Members {
		if !seen.alive(member.Node) {
			return member
		}
	}
	return nil
}

func othersSettled(seen observation, leaving *replicav1.Member) bool {
	settled := 0
	for _, member := range seen.group.Members {
		if seen.settled(member.Node) {
			settled++
			continue
		}
		if leaving == nil || member.Seat != leaving.Seat {
			return false
		}
	}
	return settled >= quorum.WriteSize(len(seen.group.Members))
}

// allSettled reports whether every member shows the present epoch and holds
// everything that its seat held.
func allSettled(seen observation) bool {
	for _, member := range seen.group.Members {
		if !seen.settled(member.Node) {
			return false
		}
	}
	return true
}

// standbyNode returns a node that can take a seat.
func standbyNode(seen observation) *directory.Replica {
	holding := make(map[string]bool)
	for _, member := range seen.group.Members {
		holding[member.Node] = true
	}
	for _, node := range spread(seen.nodes) {
		if !holding[node.Node] && !seen.retiring[node.Node] && seen.alive(node.Node) {
			return &node
		}
	}
	return nil
}

// passSeat gives a seat to another node, which starts as an empty replica. The
// node before it is named, because it still has what the seat held. A holder that
// has not received that itself has nothing to pass on: then the one before it
// stays named.
func passSeat(member *replicav1.Member, to directory.Replica, epoch uint64) {
	if !inTransfer(member) {
		member.Predecessor = &replicav1.Predecessor{Node: member.Node, Address: member.Address, Claim: member.Claim}
	}
	member.Node, member.Address, member.Zone = to.Node, to.Address, to.Zone
	member.Claim = epoch
}

// inTransfer reports whether a seat's holder has not received yet what the seat
// held before.
func inTransfer(member *replicav1.Member) bool {
	return member.Predecessor != nil && member.Predecessor.ReceivedBy == 0
}

// receivedGroup returns the group in which a seat's transfer to an incarnation of
// its holder is complete.
func receivedGroup(group *replicav1.Group, seat uint32, incarnation uint64) *replicav1.Group {
	next := proto.CloneOf(group)
	next.Epoch++
	for _, member := range next.Members {
		if member.Seat == seat {
			member.Predecessor.ReceivedBy = incarnation
		}
	}
	return next
}

// passedSeatOf returns the member that holds the seat which a node has passed
// on, or nil.
func passedSeatOf(group *replicav1.Group, node string) *replicav1.Member {
	for _, member := range group.Members {
		if member.Predecessor.GetNode() == node {
			return member
		}
	}
	return nil
}

func removeSeat(group *replicav1.Group, seat uint32) {
	kept := group.Members[:0]
	for _, member := range group.Members {
		if member.Seat != seat {
			kept = append(kept, member)
		}
	}
	group.Members = kept
}
