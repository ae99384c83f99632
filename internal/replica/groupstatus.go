package replica

import (
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupStatus is the input for the choice of a partition's next group.
type groupStatus struct {
	group *replicav1.Group
	// nodes are all registered nodes.
	nodes []directory.Replica
	// retiring contains the nodes that must give up their seats.
	retiring map[string]bool
	// reportsStopping reports whether a node has announced the end of its process and still runs;
	// nil means none has.
	reportsStopping func(node string) bool
	// seatCounts is the number of seats of each node in all groups.
	seatCounts map[string]int
	// regionOf maps each zone to its region.
	regionOf map[string]string
	// toleratedZoneFailures is the number of zones that may fail at once without interrupting
	// service.
	toleratedZoneFailures int
	// isHealthy reports whether a node was in contact recently. isInSync reports whether a member
	// has reported the group's epoch and holds all records of its seat.
	isHealthy, isInSync func(node string) bool
	// holdsRecords reports whether a member has recently reported, in any epoch, that it holds all
	// records of its seat.
	holdsRecords func(member *replicav1.Member) bool
	// hasFailed reports whether a node has been without contact for so long that it may be removed
	// without a successor; nil means none has.
	hasFailed func(node string) bool
	// isSuspect reports whether a node has been without contact for so long that a standby may
	// replace it; nil means each one that is not healthy.
	isSuspect func(node string) bool
	// storesSystemID reports whether a node's process stores the ID of its system.
	storesSystemID func(node string) bool
	// agrees reports whether a node's process chooses groups with the other members; nil means each
	// one does.
	agrees func(node string) bool
	// copiedIncarnation returns the incarnation with which a member whose seat is in transfer has
	// copied the records of the seat, or 0. If it is nil, no member has copied them.
	copiedIncarnation func(node string) uint64
	// exchangeComplete is set once each partner of the exchange has the records of all of them, in
	// this epoch.
	exchangeComplete bool
	// previousHolderHoldsRecords reports whether the previous holder of a seat in transfer has
	// recently reported that it knows the group and still holds all records of the seat; nil means
	// none has.
	previousHolderHoldsRecords func(member *replicav1.Member) bool
	// removedMemberHoldsRecords is set while the most recently removed member reports that it knows
	// the group and still holds all records of its seat.
	removedMemberHoldsRecords bool
}

// canAgree reports whether a node may take part in a group. A node of an earlier release would change a
// group through the platform's store, although its members choose the next one.
func (s *groupStatus) canAgree(node string) bool {
	return !s.group.Agreed || s.agrees == nil || s.agrees(node)
}

// groupStatus returns what this node currently knows about a group.
func (r *Replica) groupStatus(group *replicav1.Group) groupStatus {
	self := r.options.Node
	return groupStatus{
		group: group, nodes: r.nodes.list(), retiring: r.nodes.retiringNodes(), seatCounts: seatsByNode(r.directory.Groups()),
		regionOf: r.options.RegionOf, toleratedZoneFailures: r.options.ToleratedZoneFailures,
		storesSystemID:            func(node string) bool { return node == self || r.peers.storesSystemID(node) },
		removedMemberHoldsRecords: r.peers.removedMemberHoldsRecords(group),
		previousHolderHoldsRecords: func(member *replicav1.Member) bool {
			standing := r.peers.freshStanding(member.Predecessor.GetNode(), group.Partition)
			return standing != nil && isPreviousHolder(group, member, standing)
		},
		isHealthy: func(node string) bool { return node == self || r.peers.isHealthy(node) },
		holdsRecords: func(member *replicav1.Member) bool {
			if member.Node == self {
				return holdsRecords(member, r.state.standing(group.Partition, group.Epoch))
			}
			return holdsRecords(member, r.peers.freshStanding(member.Node, group.Partition))
		},
		agrees: func(node string) bool {
			return node == self || r.peers.freshStanding(node, group.Partition).GetAgrees()
		},
		reportsStopping: func(node string) bool { return node == self && r.stopping.Load() || r.peers.isStopping(node) },
		copiedIncarnation: func(node string) uint64 {
			if node == self {
				return copiedIncarnation(r.state.standing(group.Partition, group.Epoch), group.Epoch)
			}
			return r.peers.copiedIncarnation(node, group.Partition, group.Epoch)
		},
		hasFailed: func(node string) bool { return node != self && r.peers.hasFailed(node) },
		isSuspect: func(node string) bool { return node != self && r.peers.isSuspect(node) },
		isInSync: func(node string) bool {
			if node != self {
				return r.peers.isInSync(node, group.Partition, group.Epoch)
			}
			standing := r.state.standing(group.Partition, group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == group.Epoch
		},
	}
}
