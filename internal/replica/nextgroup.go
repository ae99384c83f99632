package replica

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	firstEpoch = 1
	// maxSeats bounds a group. Five seats tolerate two disk losses at once, which is the most that
	// the users require; further replicas would add cost to every write.
	maxSeats = 5
	// minSeats is the size that a group grows to if there are enough nodes, regardless of how many
	// there were when it was formed. With fewer members no write succeeds while one of them is
	// unavailable.
	minSeats = 3
	// nodesPerPartition determines the number of partitions of a new system. With three nodes per
	// partition a node holds 5/3 seats on average and at most two. Fewer nodes per partition would
	// not spread the load better, and each partition adds its own announcements and batches of
	// settlements.
	nodesPerPartition = 3
)

// initialPartitionCount returns the number of partitions of a new system with the given number of
// nodes. In a system that is hardly larger than one group, all groups would share all nodes, which
// costs calls without distributing work.
func initialPartitionCount(nodes int) int {
	if nodes <= maxSeats {
		return 1
	}
	return nodes / nodesPerPartition
}

// initialUnconfinedGroups returns one group for each partition of a new system that is not
// confined. Each has up to maxSeats seats, spread over as many zones as possible and evenly over
// the nodes.
func initialUnconfinedGroups(nodes []directory.Replica) []*replicav1.Group {
	return assignSeats(nodes, initialPartitionCount(len(nodes)), maxSeats)
}

// assignSeats returns a group with seatsEach seats for each partition. If there are fewer nodes,
// each node gets a seat.
func assignSeats(nodes []directory.Replica, partitions, seatsEach int) []*replicav1.Group {
	groups := make([]*replicav1.Group, 0, partitions)
	seatCounts := make(map[string]int, len(nodes))
	for partition := range partitions {
		group := &replicav1.Group{Epoch: firstEpoch, Partition: uint32(partition), Partitions: uint32(partitions)}
		fillSeats(group, nodes, seatsEach, seatCounts)
		groups = append(groups, group)
	}
	return groups
}

// fillSeats gives a new group seatsEach seats, or one for each node if there are fewer.
func fillSeats(group *replicav1.Group, nodes []directory.Replica, seatsEach int, seatCounts map[string]int) {
	for len(group.Members) < min(seatsEach, len(nodes)) {
		node := rankSeatCandidates(group, nodes, seatCounts)[0]
		addMember(group, node)
		seatCounts[node.Node]++
	}
	group.Target = uint32(len(group.Members))
}

// rankSeatCandidates returns the nodes without a seat in a group, the best candidate first: first
// by the fewest seats of the group in the node's zone, then by the fewest seats of the node in all
// groups.
func rankSeatCandidates(group *replicav1.Group, nodes []directory.Replica, seatCounts map[string]int) []directory.Replica {
	zoneSeats := make(map[string]int)
	for _, member := range group.Members {
		zoneSeats[member.Zone]++
	}
	var candidates []directory.Replica
	for _, node := range nodes {
		if memberForNode(group, node.Node) == nil {
			candidates = append(candidates, node)
		}
	}
	slices.SortFunc(candidates, func(a, b directory.Replica) int {
		return cmp.Or(
			cmp.Compare(zoneSeats[a.Zone], zoneSeats[b.Zone]), cmp.Compare(seatCounts[a.Node], seatCounts[b.Node]), cmp.Compare(a.Node, b.Node),
		)
	})
	return candidates
}

// hasNode reports whether nodes contains a node of the given name.
func hasNode(nodes []directory.Replica, name string) bool {
	return slices.ContainsFunc(nodes, func(node directory.Replica) bool { return node.Node == name })
}

// seatsByNode returns the number of seats of each node in all groups.
func seatsByNode(groups []*replicav1.Group) map[string]int {
	seatCounts := make(map[string]int)
	for _, group := range groups {
		for _, member := range group.GetMembers() {
			seatCounts[member.Node]++
		}
	}
	return seatCounts
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

// nextGroup returns the next group, which differs from the present one by a single change, or nil
// if nothing has to change.
//
// A change waits until a majority reports the present epoch, so that no write can succeed under an
// earlier one, and until the remaining members are in sync. A healthy member keeps its vote until
// the desired number of other members can vote. An unresponsive member is replaced at once, by a
// member that joins if there is one.
func nextGroup(status groupStatus) *replicav1.Group {
	leaving := nextDeparture(status)
	if next := groupWithRecordHolder(status, leaving); next != nil {
		return next
	}
	if !remainingInSync(status, leaving) {
		return nil
	}
	if joined := successorAmongJoining(status, leaving); joined != nil {
		return groupWithSeatTransferredToJoiningMember(status.group, leaving.member, joined)
	}
	if awaitsTransfer(status, leaving) && !leaving.isUnresponsive() && status.group.Removed == nil {
		return nil
	}
	return groupWithMemberChange(status, leaving)
}

// groupWithRecordHolder returns the group in which a node that holds all records of a seat gets or
// regains it, or nil. Such a change waits for no other member.
func groupWithRecordHolder(status groupStatus, leaving *departure) *replicav1.Group {
	if transferred := nextCompletedTransfer(status, leaving); transferred != nil {
		return transferred
	}
	if canReinstate(status, leaving) {
		return groupWithReinstatedMember(status, leaving.member)
	}
	return groupWithReturnedSeat(status, leaving)
}

// groupWithMemberChange returns the group in which a member is replaced, removed or added, or a removal
// is complete, or nil if none of these is possible now.
func groupWithMemberChange(status groupStatus, leaving *departure) *replicav1.Group {
	standby := healthyStandby(status)
	canGrow := standby != nil && !awaitsTransfer(status, leaving) && remainingMemberCount(status.group, leaving) < maxSeats && shouldAddMember(status, leaving, standby)
	next := proto.CloneOf(status.group)
	next.Epoch++
	switch {
	case canGrow && leaving.isUnresponsive() && !status.transferHasStalled(leaving.member):
		transferSeat(memberForNode(next, leaving.member.Node), *standby, next.Epoch)
		return next
	case next.Removed != nil:
		if !status.exchangeComplete {
			return nil
		}
		next.Removed = nil
		return next
	case leaving != nil && canRemove(status, *leaving, canGrow):
		next.Removed = removedMember(status.group, leaving.member)
		removeSeat(next, leaving.member.Seat)
		return next
	case canGrow:
		addMember(next, *standby)
		// The new member gets a vote once it has received the records of the others.
		next.Members[len(next.Members)-1].Predecessor = &replicav1.Predecessor{}
		return next
	}
	return nil
}

// shouldAddMember reports whether a standby should become a further member of a group. If the group
// already has the desired number of members and none leaves, the new member must not make it
// dependent on zones that may fail.
func shouldAddMember(status groupStatus, leaving *departure, standby *directory.Replica) bool {
	if leaving != nil || len(status.group.Members) < desiredSeats(status.group) {
		return true
	}
	return toleratesZoneFailures(append([]string{standby.Zone}, memberZones(status.group)...), status.toleratedZoneFailures)
}

// memberZones returns the zone of each member.
func memberZones(group *replicav1.Group) (zones []string) {
	for _, member := range group.Members {
		zones = append(zones, member.Zone)
	}
	return zones
}

// toleratesZoneFailures reports whether members in the given zones keep a majority after any of so
// many zones fail.
func toleratesZoneFailures(zones []string, failures int) bool {
	members := make(map[string]int)
	for _, zone := range zones {
		members[zone]++
	}
	remaining := len(zones)
	for i, count := range slices.SortedFunc(maps.Values(members), func(a, b int) int { return cmp.Compare(b, a) }) {
		if i < failures {
			remaining -= count
		}
	}
	return remaining >= quorum.WriteQuorum(len(zones))
}

// remainingMemberCount returns the number of members without the one that leaves.
func remainingMemberCount(group *replicav1.Group, leaving *departure) int {
	if leaving == nil {
		return len(group.Members)
	}
	return len(group.Members) - 1
}

// successorAmongJoining returns a member without a vote that has copied the records of the others, if
// the member that leaves has a vote and does not respond. Otherwise it returns nil.
func successorAmongJoining(status groupStatus, leaving *departure) *replicav1.Member {
	if !leaving.isUnresponsive() || inTransfer(leaving.member) || status.copiedIncarnation == nil {
		return nil
	}
	for _, member := range status.group.Members {
		if quorum.IsJoining(member) && status.copiedIncarnation(member.Node) != 0 {
			return member
		}
	}
	return nil
}

// awaitsTransfer reports whether the holder of a seat in transfer, other than one that leaves, may
// still copy the seat's records. Changes that can wait do so.
func awaitsTransfer(status groupStatus, leaving *departure) bool {
	return slices.ContainsFunc(membersInTransfer(status.group), func(member *replicav1.Member) bool {
		return !leaving.isFor(member) && !status.mustLeave(memberFailed, member.Node)
	})
}

// nextCompletedTransfer returns the group in which a seat's transfer is complete, or nil if no
// holder of a seat in transfer has copied the records. A new member whose vote makes writes need
// more members takes the seat of an unresponsive one instead.
func nextCompletedTransfer(status groupStatus, leaving *departure) *replicav1.Group {
	for _, member := range membersInTransfer(status.group) {
		if status.copiedIncarnation == nil {
			return nil
		}
		if leaving.isUnresponsive() && quorum.IsJoining(member) && voteRaisesWriteQuorum(status.group) {
			continue
		}
		if incarnation := status.copiedIncarnation(member.Node); incarnation != 0 {
			return groupWithTransferComplete(status.group, member.Seat, incarnation)
		}
	}
	return nil
}

// voteRaisesWriteQuorum reports whether writes need more members once a further one has a vote.
func voteRaisesWriteQuorum(group *replicav1.Group) bool {
	voters := quorum.VoterCount(group)
	return quorum.WriteQuorum(voters+1) > quorum.WriteQuorum(voters)
}

// desiredSeats returns the minimum number of seats that a group should have. A group may grow
// beyond it up to maxSeats, because a member that can already vote when another one is told to leave
// makes up for the loss of that one at any moment.
func desiredSeats(group *replicav1.Group) int { return max(int(group.Target), minSeats) }

// allInSync reports whether every member reports the present epoch and holds all records of its
// recovery.
func allInSync(status groupStatus) bool {
	for _, member := range status.group.Members {
		if !status.isInSync(member.Node) {
			return false
		}
	}
	return true
}

// healthyStandby returns the best healthy node that can take a seat, or nil.
func healthyStandby(status groupStatus) *directory.Replica {
	for _, node := range standbyCandidates(status) {
		if status.isHealthy(node.Node) && status.canAgree(node.Node) {
			return &node
		}
	}
	return nil
}

// standbyCandidates returns the nodes that could take a seat if they are healthy, the best first.
func standbyCandidates(status groupStatus) []directory.Replica {
	// The zone of a leaving member is available again.
	remaining := &replicav1.Group{}
	leaving := nextDeparture(status)
	for _, member := range status.group.Members {
		if !leaving.isFor(member) {
			remaining.Members = append(remaining.Members, member)
		}
	}
	var candidates []directory.Replica
	for _, node := range rankSeatCandidates(remaining, nodesInRegion(status.group.Region, status.nodes, status.regionOf), status.seatCounts) {
		if memberForNode(status.group, node.Node) == nil && !status.retiring[node.Node] {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// nodesInRegion returns the nodes that may hold seats of a group confined to a region. An empty
// region permits all nodes.
func nodesInRegion(region string, nodes []directory.Replica, regionOf map[string]string) []directory.Replica {
	if region == "" {
		return nodes
	}
	policy := placement.RegionPolicy{Permitted: []string{region}, RegionOf: regionOf}
	return slices.DeleteFunc(slices.Clone(nodes), func(node directory.Replica) bool {
		return policy.Check(placement.Turn, node.Zone) != nil
	})
}
