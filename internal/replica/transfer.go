package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// transferSeat gives a seat to another node, which starts without records. The previous holder is
// kept as predecessor because it has the records of the seat. If the present holder has not
// received the records, it has nothing to pass on: the earlier predecessor stays, or gets the seat
// back if it is the new holder.
func transferSeat(member *replicav1.Member, successor directory.Replica, epoch uint64) {
	if inTransfer(member) && member.Predecessor.Node == successor.Node {
		member.Node, member.Address, member.Zone = successor.Node, successor.Address, successor.Zone
		member.Claim, member.Predecessor = member.Predecessor.Claim, nil
		return
	}
	if !inTransfer(member) {
		member.Predecessor = &replicav1.Predecessor{Node: member.Node, Address: member.Address, Claim: member.Claim}
	}
	member.Node, member.Address, member.Zone = successor.Node, successor.Address, successor.Zone
	member.Claim = epoch
}

// groupWithSeatTransferredToJoiningMember returns the group in which a member without a vote gives up
// its own seat for that of an unresponsive one. It holds most records already.
func groupWithSeatTransferredToJoiningMember(group *replicav1.Group, unresponsive, joining *replicav1.Member) *replicav1.Group {
	next := proto.CloneOf(group)
	next.Epoch++
	removeSeat(next, joining.Seat)
	successor := directory.Replica{Node: joining.Node, Address: joining.Address, Zone: joining.Zone}
	transferSeat(memberForSeat(next, unresponsive.Seat), successor, next.Epoch)
	return next
}

// groupWithReturnedSeat returns the group in which the previous holder of a seat has it again, if the
// new holder does not respond before it has received the records. The previous holder has them, so
// that no other member has to be waited for: one that has lost its disk may need this one to copy
// from. It returns nil if the seat cannot be returned.
func groupWithReturnedSeat(status groupStatus, leaving *departure) *replicav1.Group {
	if !leaving.isUnresponsive() || !inTransfer(leaving.member) || quorum.IsJoining(leaving.member) || status.previousHolderHoldsRecords == nil {
		return nil
	}
	previous := previousHolder(leaving.member)
	if !status.previousHolderHoldsRecords(leaving.member) || status.retiring[previous.Node] {
		return nil
	}
	next := proto.CloneOf(status.group)
	next.Epoch++
	returned := directory.Replica{Node: previous.Node, Address: previous.Address, Zone: nodeZone(status.nodes, previous.Node)}
	transferSeat(memberForSeat(next, leaving.member.Seat), returned, next.Epoch)
	return next
}

// nodeZone returns the zone of a registered node, or "".
func nodeZone(nodes []directory.Replica, name string) string {
	for _, node := range nodes {
		if node.Node == name {
			return node.Zone
		}
	}
	return ""
}

// inTransfer reports whether the holder of a seat has not yet received the records of the seat or,
// if the seat is new, the records of the other members.
func inTransfer(member *replicav1.Member) bool {
	return member.Predecessor != nil && member.Predecessor.ReceivedBy == 0
}

// isNewSeat reports whether a member's seat was added to an existing group. Its holder has received
// the records of the others when the group says so; it still has to copy what they acknowledged
// until then.
func isNewSeat(member *replicav1.Member) bool {
	return member.Predecessor != nil && member.Predecessor.Node == ""
}

// hasReceived reports whether the group says that this incarnation of the holder has received the
// records of the seat.
func hasReceived(member *replicav1.Member, identity *replicav1.Identity) bool {
	received := member.GetPredecessor().GetReceivedBy()
	return received != 0 && received == identity.Incarnation
}

// groupForCopy returns the group that decides which sources of a member's copy are sufficient. The
// holder of a new seat that still lacks recently acknowledged records uses the group as it was
// before the holder could vote.
func groupForCopy(group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) *replicav1.Group {
	if !isNewSeat(member) || !hasReceived(member, identity) {
		return group
	}
	earlier := proto.CloneOf(group)
	memberForNode(earlier, member.Node).Predecessor.ReceivedBy = 0
	return earlier
}

// membersInTransfer returns the members whose seats are in transfer.
func membersInTransfer(group *replicav1.Group) (members []*replicav1.Member) {
	for _, member := range group.Members {
		if inTransfer(member) {
			members = append(members, member)
		}
	}
	return members
}

// groupWithTransferComplete returns the group in which a seat's transfer to an incarnation of its
// holder is complete.
func groupWithTransferComplete(group *replicav1.Group, seat uint32, incarnation uint64) *replicav1.Group {
	next := proto.CloneOf(group)
	next.Epoch++
	for _, member := range next.Members {
		if member.Seat == seat {
			member.Predecessor.ReceivedBy = incarnation
		}
	}
	return next
}

// successorOf returns the member that holds the seat which a node has passed on, or nil.
func successorOf(group *replicav1.Group, node string) *replicav1.Member {
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

// removedMember returns the member that a group lists as removed after the removal of a member's
// recovery. It is nil if the number of voters is even: more than half of them have each record, so the
// others hold all acknowledged records as a majority.
func removedMember(group *replicav1.Group, member *replicav1.Member) *replicav1.Member {
	if quorum.VoterCount(group)%2 == 0 {
		return nil
	}
	return recordHolder(member)
}

// recordHolder returns the member that holds the acknowledged records of a seat, or nil if the seat
// has never had a vote.
func recordHolder(member *replicav1.Member) *replicav1.Member {
	switch {
	case quorum.IsJoining(member):
		return nil
	case inTransfer(member):
		return previousHolder(member)
	}
	return member
}

// previousHolder returns the previous holder of a seat, as the member that it was.
func previousHolder(member *replicav1.Member) *replicav1.Member {
	predecessor := member.Predecessor
	return &replicav1.Member{Seat: member.Seat, Node: predecessor.Node, Address: predecessor.Address, Claim: predecessor.Claim}
}
