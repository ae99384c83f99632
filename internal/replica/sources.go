package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// recoverySources returns the nodes that a member can copy from: the other voting members, the most
// recently removed member, and the previous holder if the seat is in transfer.
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
		sources = append(sources, previousHolder(member))
	}
	return sources
}

// sourcesNeeded returns how many members an empty one must copy to hold all acknowledged records,
// and how many sources it needs if the removed member is one of them. Records acknowledged since
// the removal are held only by the other members.
func sourcesNeeded(group *replicav1.Group) (members, withRemoved int) {
	members = quorum.RequiredRecoverySources(group)
	if group.Removed == nil {
		return members, members
	}
	voters := quorum.VoterCount(group)
	return members, max(quorum.RecoveryQuorum(voters)+1, quorum.RecoveryQuorum(voters+1))
}

// sufficientSources returns those of the completely copied standings after which no acknowledged
// record of the seat can be missing, or nil.
func sufficientSources(group *replicav1.Group, member *replicav1.Member, standings []*replicav1.Standing) []*replicav1.Standing {
	var others []*replicav1.Standing
	for _, standing := range standings {
		if isPreviousHolder(group, member, standing) {
			return []*replicav1.Standing{standing}
		}
		if standing.Member {
			others = append(others, standing)
		}
	}
	needed, withRemoved := sourcesNeeded(group)
	if chosen := chooseSources(group.Epoch, others, needed); chosen != nil {
		return chosen
	}
	for _, standing := range standings {
		if isRemovedHolder(group, standing) {
			return chooseSources(group.Epoch, append(others, asMember(group, standing)), withRemoved)
		}
	}
	return nil
}

// chooseSources returns the needed number of standings that count together, or nil.
func chooseSources(epoch uint64, standings []*replicav1.Standing, needed int) (chosen []*replicav1.Standing) {
	for _, i := range quorum.ChooseConsistent(epoch, standings, needed) {
		chosen = append(chosen, standings[i])
	}
	return chosen
}

// isRemovedHolder reports whether a standing is that of the most recently removed member, with all
// records of its seat. Because it knows about the removal, it acknowledges nothing more.
func isRemovedHolder(group *replicav1.Group, standing *replicav1.Standing) bool {
	return group.Removed != nil && !standing.Member && standing.Recovered && standing.Epoch >= group.Epoch &&
		standing.Seat == group.Removed.Seat && standing.Claim == group.Removed.Claim
}

// asMember returns a standing as if its node still had its seat.
func asMember(group *replicav1.Group, standing *replicav1.Standing) *replicav1.Standing {
	counted := proto.CloneOf(standing)
	counted.Member, counted.Epoch = true, group.Epoch
	return counted
}

// isPreviousHolder reports whether a standing is that of the previous holder of a seat in transfer,
// with all records of the seat. Because it knows the group in which it has lost the seat, it
// acknowledges nothing more under an earlier one. While the seat is in transfer, no later holder
// has acknowledged anything.
func isPreviousHolder(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) bool {
	predecessor := member.Predecessor
	return inTransfer(member) && !quorum.IsJoining(member) && !standing.Member && standing.Recovered && standing.Epoch >= group.Epoch &&
		standing.Seat == member.Seat && standing.Claim == predecessor.Claim
}

// incarnationRecordsFrom returns records of the incarnations of other seats that the copied members
// have seen. A replica without them would count answers of earlier incarnations.
func incarnationRecordsFrom(standings []*replicav1.Standing, partition, ownSeat uint32) []*replicav1.Record {
	incarnations := make(map[uint32]uint64)
	for _, standing := range standings {
		for _, seen := range standing.Seen {
			incarnations[seen.Seat] = seen.Incarnation
		}
	}
	for _, standing := range standings {
		incarnations[standing.Seat] = standing.Incarnation
	}
	delete(incarnations, ownSeat)
	records := make([]*replicav1.Record, 0, len(incarnations))
	for seat, incarnation := range incarnations {
		records = append(records, incarnationRecord(partition, seat, incarnation))
	}
	return records
}
