package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// departureReason is why a member is to leave its group. A lower one goes first: a member that
// does not answer leaves its group with one loss less to bear, and one that works can wait.
type departureReason int

const (
	// memberFailed has been silent for so long that it may lose its seat without a successor.
	memberFailed departureReason = iota
	// memberSuspect has been silent for so long that its seat may be passed on.
	memberSuspect
	// memberRetiring is to be emptied by an operator's order.
	memberRetiring
	// memberStopping has said that its process is to end.
	memberStopping
	// memberSurplus is one more than a group may have: whom it was to replace has stayed.
	memberSurplus
	departureReasons
)

// changeReason is why a next group is proposed, in logs.
type changeReason string

const (
	changeReceived changeReason = "a member has received what its seat held"
	changeOther    changeReason = "no member leaves"
)

// changeReasons are the reasons of departures.
var changeReasons = [departureReasons]changeReason{
	memberFailed: "a member has failed", memberSuspect: "a member is silent", memberRetiring: "a member retires", memberStopping: "a member stops",
	memberSurplus: "the group has more members than it may have",
}

// reasonFor returns why a group that follows from what is seen is proposed.
func reasonFor(seen observation) changeReason {
	if receivedNext(seen) != nil {
		return changeReceived
	}
	if leaving := nextDeparture(seen); leaving != nil {
		return changeReasons[leaving.reason]
	}
	return changeOther
}

// departure is the member that leaves a group next, and why.
type departure struct {
	member *replicav1.Member
	reason departureReason
}

// concerns reports whether a member is the one that leaves. None leaves where the departure is nil.
func (d *departure) concerns(member *replicav1.Member) bool {
	return d != nil && d.member.Seat == member.Seat
}

// isSilent reports whether a member leaves because it does not answer.
func (d *departure) isSilent() bool {
	return d != nil && (d.reason == memberFailed || d.reason == memberSuspect)
}

// nextDeparture returns which member leaves a group next, or nil.
func nextDeparture(seen observation) *departure {
	for reason := range departureReasons {
		for _, member := range seen.group.Members {
			if seen.leavesFor(reason, member.Node) {
				return &departure{member: member, reason: reason}
			}
		}
	}
	return nil
}

// leavesFor reports whether a node is to give its seat up for a reason.
func (o *observation) leavesFor(reason departureReason, node string) bool {
	switch reason {
	case memberFailed:
		return o.failed != nil && o.failed(node)
	case memberSuspect:
		return !o.healthy(node) && !o.stops(node)
	case memberRetiring:
		return o.retiring[node]
	case memberStopping:
		return o.stops(node)
	case memberSurplus:
		members := o.group.Members
		return o.hasTooMany() && members[len(members)-1].Node == node
	}
	return false
}

// hasTooMany reports whether a group has more members than it may have: they came beside one that was to
// leave, and has stayed.
func (o *observation) hasTooMany() bool {
	count := len(o.group.Members)
	return count > maxSeats || count > wantedSeats(o.group) && !bearsLostZones(zonesOf(o.group), o.zonesBorne)
}

// stops reports whether a node has said that its process is to end.
func (o *observation) stops(node string) bool { return o.stopping != nil && o.stopping(node) }

// othersSettled reports whether the members that stay hold everything, and are enough. One that
// has failed too is not waited for: its turn comes.
func othersSettled(seen observation, leaving *departure) bool {
	settled := 0
	for _, member := range seen.group.Members {
		switch {
		case seen.settled(member.Node):
			settled++
		case !leaving.concerns(member) && !seen.leavesFor(memberFailed, member.Node):
			return false
		}
	}
	return settled >= changeSize(seen, leaving)
}

// changeSize is how many members must be settled for a change of their group. Of two members
// each holds every record that counts, and no write succeeds without it, so that one is enough
// once the other has failed; while the removal of a third is not complete, that does not hold.
func changeSize(seen observation, leaving *departure) int {
	voters := quorum.VoterCount(seen.group)
	if voters == 2 && leaving != nil && leaving.reason == memberFailed && seen.group.Removed == nil {
		return 1
	}
	return quorum.WriteQuorum(voters)
}

// mayBeRemoved reports whether a member may lose its seat without a successor. One that has failed
// would keep its vote: with the next lost disk no majority could be made up. One that is only silent, or
// to stop, may come back, and goes only if enough stay without it. One that retires
// leaves the others what it holds, once no node can take a seat beside it. Two must stay, which hold
// together what counts: an order may not leave everything on one disk.
func mayBeRemoved(seen observation, leaving departure, mayGrow bool) bool {
	enoughStay := staying(seen.group, &leaving) >= wantedSeats(seen.group)
	switch leaving.reason {
	case memberFailed, memberSurplus:
	case memberSuspect:
		if !enoughStay {
			return false
		}
	case memberRetiring:
		if !enoughStay && (mayGrow || !seen.settled(leaving.member.Node)) {
			return false
		}
	default:
		return false
	}
	return quorum.IsJoining(leaving.member) || quorum.VoterCount(seen.group) > 2
}

// mayBeReinstated reports whether the member that was removed last is to have its seat back for one
// that failed before the removal was complete. What counted before the removal lies with two of
// the three, and what has counted since with both that stayed, so that the one that is left and
// the one that comes back hold it together; for a larger group that does not hold.
func mayBeReinstated(seen observation, leaving *departure) bool {
	if seen.group.Removed == nil || !seen.removedHolds || leaving == nil || leaving.reason != memberFailed {
		return false
	}
	for _, member := range seen.group.Members {
		if !leaving.concerns(member) && !seen.settled(member.Node) {
			return false
		}
	}
	return len(seen.group.Members) == 2 && quorum.VoterCount(seen.group) == 2
}

// reinstate returns the group in which the member that was removed last has its seat again, and a
// failed one is removed instead.
func reinstate(seen observation, failed *replicav1.Member) *replicav1.Group {
	next := proto.CloneOf(seen.group)
	next.Epoch++
	removeSeat(next, failed.Seat)
	back := next.Removed
	for _, node := range seen.nodes {
		if node.Node == back.Node {
			back.Address, back.Zone = node.Address, node.Zone
		}
	}
	next.Members = append(next.Members, back)
	next.Removed = lastHolder(failed)
	return next
}

// handsOver returns the member that works and leaves fewer members with the next group than are wanted,
// or nil. It proposes that group alone, once each member that stays has taken what it holds: one that
// has just failed without anybody knowing would leave the group without a majority.
func handsOver(seen observation, next *replicav1.Group) *replicav1.Member {
	leaving := nextDeparture(seen)
	if leaving == nil || leaving.reason != memberRetiring || len(next.Members) >= min(len(seen.group.Members), wantedSeats(seen.group)) {
		return nil
	}
	return leaving.member
}
