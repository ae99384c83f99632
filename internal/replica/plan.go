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
	// maxSeats bounds a group: five seats bear the loss of two disks at once, which is
	// the most that the users ask for, and more replicas cost every write.
	maxSeats = 5
	// leastSeats is what a group grows to where there are nodes, however many there were when
	// it was formed: with fewer, no write succeeds while one of them is away.
	leastSeats = 3
	// nodesPerPartition is how many nodes there are for each partition of a new
	// system. With three a node holds five thirds of a seat in the mean and two at the
	// most; fewer nodes a partition would spread load no better, and each partition has
	// its own announcements and its own batches of settlements.
	nodesPerPartition = 3
)

// partitionsFor returns how many partitions a system begins with that has so many
// nodes. Groups of a fleet that is hardly larger than one of them would share all
// nodes, and cost calls without sharing work.
func partitionsFor(nodes int) int {
	if nodes <= maxSeats {
		return 1
	}
	return nodes / nodesPerPartition
}

// firstGroups returns the groups that a new system begins with, one for each
// partition: a seat for each node, up to maxSeats, with zones apart as far as there
// are enough and the same number of seats on each node as far as that goes.
func firstGroups(nodes []directory.Replica) []*replicav1.Group {
	return assign(nodes, partitionsFor(len(nodes)), maxSeats)
}

// assign gives each of so many partitions a group of so many seats, or of all nodes
// where there are fewer.
func assign(nodes []directory.Replica, partitions, seatsEach int) []*replicav1.Group {
	groups := make([]*replicav1.Group, 0, partitions)
	seats := make(map[string]int, len(nodes))
	for partition := range partitions {
		group := &replicav1.Group{Epoch: firstEpoch, Partition: uint32(partition), Partitions: uint32(partitions)}
		fill(group, nodes, seatsEach, seats)
		groups = append(groups, group)
	}
	return groups
}

// fill gives a new group so many seats, or one of each node where there are fewer.
func fill(group *replicav1.Group, nodes []directory.Replica, seatsEach int, seats map[string]int) {
	for len(group.Members) < min(seatsEach, len(nodes)) {
		node := bySuitability(group, nodes, seats)[0]
		addMember(group, node)
		seats[node.Node]++
	}
	group.Target = uint32(len(group.Members))
}

// bySuitability returns the nodes that hold no seat of a group, the one first that is
// to get the next: in the zone with the fewest seats of the group, then with the fewest
// seats of all groups.
func bySuitability(group *replicav1.Group, nodes []directory.Replica, seats map[string]int) []directory.Replica {
	inZone := make(map[string]int)
	for _, member := range group.Members {
		inZone[member.Zone]++
	}
	var suitable []directory.Replica
	for _, node := range nodes {
		if seatOf(group, node.Node) == nil {
			suitable = append(suitable, node)
		}
	}
	slices.SortFunc(suitable, func(a, b directory.Replica) int {
		return cmp.Or(
			cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(seats[a.Node], seats[b.Node]), cmp.Compare(a.Node, b.Node),
		)
	})
	return suitable
}

// hasNode reports whether a node is among others, by name.
func hasNode(nodes []directory.Replica, name string) bool {
	return slices.ContainsFunc(nodes, func(node directory.Replica) bool { return node.Node == name })
}

// seatsHeld returns how many seats each node holds in all groups.
func seatsHeld(groups []*replicav1.Group) map[string]int {
	seats := make(map[string]int)
	for _, group := range groups {
		for _, member := range group.GetMembers() {
			seats[member.Node]++
		}
	}
	return seats
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
// it, and until the members that stay hold everything. A member that works keeps its vote until
// as many others as are wanted have theirs; the seat of a silent one is passed on at once.
func nextGroup(seen observation) *replicav1.Group {
	if received := receivedNext(seen); received != nil {
		return received
	}
	leaving := nextDeparture(seen)
	if mayBeReinstated(seen, leaving) {
		return reinstate(seen, leaving.member)
	}
	if !othersSettled(seen, leaving) {
		return nil
	}
	standby := standbyNode(seen)
	mayGrow := standby != nil && staying(seen.group, leaving) < maxSeats && gainsBy(seen, leaving, standby)
	next := proto.CloneOf(seen.group)
	next.Epoch++
	switch {
	case mayGrow && leaving.isSilent():
		passSeat(seatOf(next, leaving.member.Node), *standby, next.Epoch)
		return next
	case next.Removed != nil:
		if !seen.exchanged {
			return nil
		}
		next.Removed = nil
		return next
	case leaving != nil && mayBeRemoved(seen, *leaving, mayGrow):
		next.Removed = removedWith(seen.group, leaving.member)
		removeSeat(next, leaving.member.Seat)
		return next
	case mayGrow:
		addMember(next, *standby)
		// It counts once it has received what the others hold.
		next.Members[len(next.Members)-1].Predecessor = &replicav1.Predecessor{}
		return next
	}
	return nil
}

// gainsBy reports whether a group is better with one more member. One that has all that are wanted must
// not come to depend on a zone that may be lost.
func gainsBy(seen observation, leaving *departure, standby *directory.Replica) bool {
	if leaving != nil || len(seen.group.Members) < wantedSeats(seen.group) {
		return true
	}
	return bearsLostZones(append([]string{standby.Zone}, zonesOf(seen.group)...), seen.zonesBorne)
}

// zonesOf returns the zone of each member.
func zonesOf(group *replicav1.Group) (zones []string) {
	for _, member := range group.Members {
		zones = append(zones, member.Zone)
	}
	return zones
}

// bearsLostZones reports whether members in these zones keep a majority without any so many of them.
func bearsLostZones(zones []string, lost int) bool {
	members := make(map[string]int)
	for _, zone := range zones {
		members[zone]++
	}
	left := len(zones)
	for i, count := range slices.SortedFunc(maps.Values(members), func(a, b int) int { return cmp.Compare(b, a) }) {
		if i < lost {
			left -= count
		}
	}
	return left >= quorum.WriteQuorum(len(zones))
}

// staying returns how many members a group has beside the one that leaves.
func staying(group *replicav1.Group, leaving *departure) int {
	if leaving == nil {
		return len(group.Members)
	}
	return len(group.Members) - 1
}

// receivedNext returns the group in which a seat's transfer is complete, once its holder has copied
// what the seat held, or nil.
func receivedNext(seen observation) *replicav1.Group {
	for _, member := range transfers(seen.group) {
		if seen.copied == nil {
			return nil
		}
		if incarnation := seen.copied(member.Node); incarnation != 0 {
			return receivedGroup(seen.group, member.Seat, incarnation)
		}
	}
	return nil
}

// wantedSeats returns how many seats a group is to have at least. It takes in more nodes, up to maxSeats:
// one that already votes when another is told to leave bears that one's loss at any moment.
func wantedSeats(group *replicav1.Group) int { return max(int(group.Target), leastSeats) }

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
	for _, node := range standbys(seen) {
		if seen.healthy(node.Node) {
			return &node
		}
	}
	return nil
}

// standbys returns the nodes that could take a seat if they are healthy, the best first.
func standbys(seen observation) []directory.Replica {
	// The zone of a member that leaves is free again.
	staying := &replicav1.Group{}
	leaving := nextDeparture(seen)
	for _, member := range seen.group.Members {
		if !leaving.concerns(member) {
			staying.Members = append(staying.Members, member)
		}
	}
	var able []directory.Replica
	for _, node := range bySuitability(staying, nodesWithin(seen.group.Region, seen.nodes, seen.regions), seen.seats) {
		if seatOf(seen.group, node.Node) == nil && !seen.retiring[node.Node] {
			able = append(able, node)
		}
	}
	return able
}

// nodesWithin returns the nodes that may hold seats of a group that is confined to a
// region; "" confines to none.
func nodesWithin(region string, nodes []directory.Replica, regionOf map[string]string) []directory.Replica {
	if region == "" {
		return nodes
	}
	policy := placement.RegionPolicy{Permitted: []string{region}, RegionOf: regionOf}
	return slices.DeleteFunc(slices.Clone(nodes), func(node directory.Replica) bool {
		return policy.Check(placement.Turn, node.Zone) != nil
	})
}
