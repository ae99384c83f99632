package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// recoverySources returns the other members that count and, while the seat is in
// transfer, the node that held it before.
func recoverySources(group *replicav1.Group, member *replicav1.Member) []*replicav1.Member {
	var sources []*replicav1.Member
	for _, other := range group.Members {
		if other.Seat != member.Seat && !quorum.IsJoining(other) {
			sources = append(sources, other)
		}
	}
	if group.Removed != nil {
		sources = append(sources, group.Removed)
	}
	if inTransfer(member) && !quorum.IsJoining(member) {
		sources = append(sources, holderBefore(member))
	}
	return sources
}

// sourcesNeeded returns how many members an empty one must copy to hold everything that counts,
// and how many sources where the member that was removed last is one of them: what has counted since
// its removal lies with the others alone.
func sourcesNeeded(group *replicav1.Group) (members, withRemoved int) {
	members = quorum.RequiredRecoverySources(group)
	if group.Removed == nil {
		return members, members
	}
	voters := quorum.VoterCount(group)
	return members, max(quorum.RecoveryQuorum(voters)+1, quorum.RecoveryQuorum(voters+1))
}

// enoughToRecover returns those standings of nodes that were copied whole after
// which no acknowledged record of the seat can be missing, or nil.
func enoughToRecover(group *replicav1.Group, member *replicav1.Member, standings []*replicav1.Standing) []*replicav1.Standing {
	var others []*replicav1.Standing
	for _, standing := range standings {
		if passesSeatOn(group, member, standing) {
			return []*replicav1.Standing{standing}
		}
		if standing.Member {
			others = append(others, standing)
		}
	}
	needed, withRemoved := sourcesNeeded(group)
	if enough := chooseSources(group.Epoch, others, needed); enough != nil {
		return enough
	}
	for _, standing := range standings {
		if heldRemovedSeat(group, standing) {
			return chooseSources(group.Epoch, append(others, asMember(group, standing)), withRemoved)
		}
	}
	return nil
}

// chooseSources returns so many standings that count together, or nil.
func chooseSources(epoch uint64, standings []*replicav1.Standing, needed int) (chosen []*replicav1.Standing) {
	for _, i := range quorum.ChooseConsistent(epoch, standings, needed) {
		chosen = append(chosen, standings[i])
	}
	return chosen
}

// heldRemovedSeat reports whether a standing is that of the member that was removed last, with
// everything that its seat held. Since it knows of that, it acknowledges nothing any more.
func heldRemovedSeat(group *replicav1.Group, standing *replicav1.Standing) bool {
	return group.Removed != nil && !standing.Member && standing.Recovered && standing.Epoch >= group.Epoch &&
		standing.Seat == group.Removed.Seat && standing.Claim == group.Removed.Claim
}

// asMember returns a standing as if its node still had its seat.
func asMember(group *replicav1.Group, standing *replicav1.Standing) *replicav1.Standing {
	counted := proto.CloneOf(standing)
	counted.Member, counted.Epoch = true, group.Epoch
	return counted
}

// passesSeatOn reports whether a standing is that of the seat's holder before,
// with everything that the seat held. Since it knows the group in which it has
// lost the seat, it acknowledges nothing under an earlier one any more; and while
// the seat is in transfer, no later holder has acknowledged anything.
func passesSeatOn(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) bool {
	before := member.Predecessor
	return inTransfer(member) && !quorum.IsJoining(member) && !standing.Member && standing.Recovered && standing.Epoch >= group.Epoch &&
		standing.Seat == member.Seat && standing.Claim == before.Claim
}

// seenBy returns what the members that were copied know of the other seats'
// incarnations. A replica that forgot it would count answers of former lives.
func seenBy(standings []*replicav1.Standing, partition, own uint32) []*replicav1.Record {
	known := make(map[uint32]uint64)
	for _, standing := range standings {
		for _, seen := range standing.Seen {
			known[seen.Seat] = seen.Incarnation
		}
	}
	for _, standing := range standings {
		known[standing.Seat] = standing.Incarnation
	}
	delete(known, own)
	records := make([]*replicav1.Record, 0, len(known))
	for seat, incarnation := range known {
		records = append(records, incarnationRecord(partition, seat, incarnation))
	}
	return records
}
