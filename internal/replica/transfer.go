package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// passSeat gives a seat to another node, which starts as an empty replica. The
// node before it is named, because it still has what the seat held. A holder that
// has not received that itself has nothing to pass on: then the one before it
// stays named, or gets back the seat that it holds.
func passSeat(member *replicav1.Member, to directory.Replica, epoch uint64) {
	if inTransfer(member) && member.Predecessor.Node == to.Node {
		member.Node, member.Address, member.Zone = to.Node, to.Address, to.Zone
		member.Claim, member.Predecessor = member.Predecessor.Claim, nil
		return
	}
	if !inTransfer(member) {
		member.Predecessor = &replicav1.Predecessor{Node: member.Node, Address: member.Address, Claim: member.Claim}
	}
	member.Node, member.Address, member.Zone = to.Node, to.Address, to.Zone
	member.Claim = epoch
}

// inTransfer reports whether a seat's holder has not received yet what the seat
// held before, or, where the seat is new, what the others hold.
func inTransfer(member *replicav1.Member) bool {
	return member.Predecessor != nil && member.Predecessor.ReceivedBy == 0
}

// joined reports whether a member's seat was added to a group that stood. It has received what the
// others held when the group says so; what they acknowledged until then comes after.
func joined(member *replicav1.Member) bool {
	return member.Predecessor != nil && member.Predecessor.Node == ""
}

// hasReceived reports whether a group says that this life of a seat's holder has received what the
// seat held.
func hasReceived(member *replicav1.Member, identity *replicav1.Identity) bool {
	received := member.GetPredecessor().GetReceivedBy()
	return received != 0 && received == identity.Incarnation
}

// countedBy returns the group by which a member counts the sources of its copy. One that has joined
// and lacks what was acknowledged meanwhile counts them as before it joined.
func countedBy(group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) *replicav1.Group {
	if !joined(member) || !hasReceived(member, identity) {
		return group
	}
	before := proto.CloneOf(group)
	seatOf(before, member.Node).Predecessor.ReceivedBy = 0
	return before
}

// transfers returns the members whose seats are in transfer.
func transfers(group *replicav1.Group) (members []*replicav1.Member) {
	for _, member := range group.Members {
		if inTransfer(member) {
			members = append(members, member)
		}
	}
	return members
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
	group.Members = slices.DeleteFunc(group.Members, func(member *replicav1.Member) bool { return member.Seat == seat })
}

// removedWith returns whom a group names as removed once a member's seat is: nobody where the others hold by
// majority what counts, as those of an even number do, of whom more than half have each record.
func removedWith(group *replicav1.Group, member *replicav1.Member) *replicav1.Member {
	if quorum.VoterCount(group)%2 == 0 {
		return nil
	}
	return lastHolder(member)
}

// lastHolder returns the member that holds what counts of a seat, or nil where the seat has never
// counted.
func lastHolder(member *replicav1.Member) *replicav1.Member {
	switch {
	case quorum.IsJoining(member):
		return nil
	case inTransfer(member):
		return holderBefore(member)
	}
	return member
}

// holderBefore returns the node that held a seat before, as the member that it was.
func holderBefore(member *replicav1.Member) *replicav1.Member {
	before := member.Predecessor
	return &replicav1.Member{Seat: member.Seat, Node: before.Node, Address: before.Address, Claim: before.Claim}
}
