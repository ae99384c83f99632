package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// departureReason is the reason why a member has to leave its group. Lower values are handled
// first: with an unresponsive member the group tolerates one loss less, while a healthy member can
// wait.
type departureReason int

const (
	// memberFailed is a member without contact for so long that it may be removed without a
	// successor.
	memberFailed departureReason = iota
	// memberSuspect is a member without contact for so long that a standby may replace it.
	memberSuspect
	// memberRetiring is a member that an operator retires.
	memberRetiring
	// memberStopping is a member that has announced the end of its process.
	memberStopping
	// memberSurplus is a member beyond the permitted number: the member that it was to replace has
	// stayed.
	memberSurplus
	departureReasonCount
)

// changeReason is the logged reason of a proposed group.
type changeReason string

const (
	changeTransferComplete changeReason = "a seat transfer is complete"
	changeOther            changeReason = "no member leaves"
)

// departureChangeReasons maps departure reasons to their logged texts.
var departureChangeReasons = [departureReasonCount]changeReason{
	memberFailed: "a member has failed", memberSuspect: "a member does not respond", memberRetiring: "a member is retiring", memberStopping: "a member is stopping",
	memberSurplus: "the group has a surplus member",
}

// changeReasonFor returns the reason of the group that nextGroup returns for a status.
func changeReasonFor(status groupStatus) changeReason {
	leaving := nextDeparture(status)
	if nextCompletedTransfer(status, leaving) != nil {
		return changeTransferComplete
	}
	if leaving != nil {
		return departureChangeReasons[leaving.reason]
	}
	return changeOther
}

// departure is the member that leaves a group next, and the reason.
type departure struct {
	member *replicav1.Member
	reason departureReason
}

// isFor reports whether a member is the one that leaves. It is false for a nil departure.
func (d *departure) isFor(member *replicav1.Member) bool {
	return d != nil && d.member.Seat == member.Seat
}

// isUnresponsive reports whether the member leaves because it does not respond.
func (d *departure) isUnresponsive() bool {
	return d != nil && (d.reason == memberFailed || d.reason == memberSuspect)
}

// nextDeparture returns the next member that has to leave a group, or nil.
func nextDeparture(status groupStatus) *departure {
	for reason := range departureReasonCount {
		for _, member := range status.group.Members {
			if status.mustLeave(reason, member.Node) || reason == memberFailed && status.transferHasStalled(member) {
				return &departure{member: member, reason: reason}
			}
		}
	}
	return nil
}

// transferHasStalled reports whether a seat's holder has not copied its records although the previous
// holder has failed. The seat has a vote that nobody can cast, so it is removed like that of a failed
// member. Its holder may join again, without a vote while it copies.
func (s *groupStatus) transferHasStalled(member *replicav1.Member) bool {
	if s.hasFailed == nil || s.copiedIncarnation == nil || !inTransfer(member) || quorum.IsJoining(member) {
		return false
	}
	return s.hasFailed(member.Predecessor.Node) && s.copiedIncarnation(member.Node) == 0
}

// mustLeave reports whether a node has to give up its seat for a reason.
func (s *groupStatus) mustLeave(reason departureReason, node string) bool {
	switch reason {
	case memberFailed:
		return s.hasFailed != nil && s.hasFailed(node)
	case memberSuspect:
		return s.suspects(node) && !s.isStopping(node)
	case memberRetiring:
		return s.retiring[node]
	case memberStopping:
		return s.isStopping(node)
	case memberSurplus:
		members := s.group.Members
		return s.hasSurplusMembers() && members[len(members)-1].Node == node
	}
	return false
}

// hasSurplusMembers reports whether a group has more members than permitted. They were added to
// replace a member that has stayed.
func (s *groupStatus) hasSurplusMembers() bool {
	count := len(s.group.Members)
	return count > maxSeats || count > desiredSeats(s.group) && !toleratesZoneFailures(memberZones(s.group), s.toleratedZoneFailures)
}

// suspects reports whether a node has been without contact for so long that a standby may replace it.
func (s *groupStatus) suspects(node string) bool {
	if s.isSuspect == nil {
		return !s.isHealthy(node)
	}
	return s.isSuspect(node)
}

// isStopping reports whether a node has announced the end of its process.
func (s *groupStatus) isStopping(node string) bool {
	return s.reportsStopping != nil && s.reportsStopping(node)
}

// remainingInSync reports whether the members that remain are in sync and are enough for a change.
// A second failed member is not waited for, because it is handled by a later change. Neither is a
// member whose seat is in transfer: while it copies, others may fail.
func remainingInSync(status groupStatus, leaving *departure) bool {
	inSync := 0
	for _, member := range status.group.Members {
		switch {
		case inTransfer(member):
		case status.isInSync(member.Node):
			inSync++
		case !leaving.isFor(member) && !status.mustLeave(memberFailed, member.Node):
			return false
		}
	}
	return inSync >= changeQuorum(status, leaving)
}

// changeQuorum returns how many members must be in sync for a change of their group. In a group of
// two each member holds every acknowledged record and no write succeeds without it, so one member
// is enough if the other has failed. That does not hold while the removal of a third member is
// incomplete.
func changeQuorum(status groupStatus, leaving *departure) int {
	voters := quorum.VoterCount(status.group)
	if voters == 2 && leaving != nil && leaving.reason == memberFailed && status.group.Removed == nil {
		return 1
	}
	return quorum.WriteQuorum(voters)
}

// canRemove reports whether a member may be removed without a successor.
//
// A failed member would otherwise keep its vote, and after the next disk loss no majority could be
// formed. A suspect or stopping member may come back: a suspect one is removed only if enough
// members remain, a stopping one never. A retiring member is removed if enough members remain, or
// if the group cannot grow and the member is in sync, because it then hands its records to the
// others. Two voting members, which together hold all acknowledged records, must remain: an
// operator's order must not leave all records on one disk.
func canRemove(status groupStatus, leaving departure, canGrow bool) bool {
	enoughRemain := remainingVoterCount(status.group, &leaving) >= desiredSeats(status.group)
	switch leaving.reason {
	case memberFailed, memberSurplus:
	case memberSuspect:
		if !enoughRemain {
			return false
		}
	case memberRetiring:
		if !enoughRemain && (canGrow || !status.isInSync(leaving.member.Node)) {
			return false
		}
	default:
		return false
	}
	return quorum.IsJoining(leaving.member) || quorum.VoterCount(status.group) > 2
}

// remainingVoterCount returns the number of members with a vote without the one that leaves.
func remainingVoterCount(group *replicav1.Group, leaving *departure) int {
	count := quorum.VoterCount(group)
	if leaving != nil && !quorum.IsJoining(leaving.member) {
		count--
	}
	return count
}

// canReinstate reports whether the most recently removed member may get its seat back in place of a
// member that failed before the removal was complete. Of three members, two hold each record
// acknowledged before the removal, and both remaining ones hold each record acknowledged since. The
// remaining member and the reinstated one therefore hold all records together. For larger groups
// that does not hold.
func canReinstate(status groupStatus, leaving *departure) bool {
	if status.group.Removed == nil || !status.removedMemberHoldsRecords || leaving == nil || leaving.reason != memberFailed {
		return false
	}
	for _, member := range status.group.Members {
		if !leaving.isFor(member) && !status.isInSync(member.Node) {
			return false
		}
	}
	return len(status.group.Members) == 2 && quorum.VoterCount(status.group) == 2
}

// groupWithReinstatedMember returns the group in which the most recently removed member has its
// recovery again and a failed member is removed instead.
func groupWithReinstatedMember(status groupStatus, failed *replicav1.Member) *replicav1.Group {
	next := proto.CloneOf(status.group)
	next.Epoch++
	removeSeat(next, failed.Seat)
	reinstated := next.Removed
	for _, node := range status.nodes {
		if node.Node == reinstated.Node {
			reinstated.Address, reinstated.Zone = node.Address, node.Zone
		}
	}
	next.Members = append(next.Members, reinstated)
	next.Removed = recordHolder(failed)
	return next
}

// selfRemovingMember returns the healthy retiring member whose departure leaves the next group with
// fewer members than desired, or nil. Only that member may propose the group, after it has pushed
// its records to each remaining member. Otherwise an undetected failure of another member would
// leave the group without a majority.
func selfRemovingMember(status groupStatus, next *replicav1.Group) *replicav1.Member {
	leaving := nextDeparture(status)
	if leaving == nil || leaving.reason != memberRetiring || len(next.Members) >= min(len(status.group.Members), desiredSeats(status.group)) {
		return nil
	}
	return leaving.member
}
