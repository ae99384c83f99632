package replica

import (
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// observation is what the choice of a partition's next group depends on.
type observation struct {
	group *replicav1.Group
	// nodes are all registered nodes.
	nodes []directory.Replica
	// retiring nodes are to hold no seat.
	retiring map[string]bool
	// stopping nodes have said that their process is to end, and still run; nil is none.
	stopping func(node string) bool
	// seats are how many seats each node holds in all groups.
	seats map[string]int
	// regions names the region of each zone.
	regions map[string]string
	// zonesBorne is how many zones may be lost at once with service going on.
	zonesBorne int
	// healthy nodes were in contact lately; settled members show the group's epoch and
	// hold everything that their seat held.
	healthy, settled func(node string) bool
	// holds reports whether a member has lately shown, in any epoch, that it holds what its seat held.
	holds func(member *replicav1.Member) bool
	// failed nodes have been silent for so long that they may lose their seat without a
	// successor; nil is none.
	failed func(node string) bool
	// keepsSystem reports whether a node's process keeps the name of its system.
	keepsSystem func(node string) bool
	// copied returns by which incarnation a member, whose seat is in transfer, has copied what the seat
	// held; 0 is by none, and nil none of any member.
	copied func(node string) uint64
	// exchanged is set once the exchange's partners have all records of all of them, in this epoch.
	exchanged bool
	// removedHolds is set while the member that was removed last shows that it knows the group
	// and still holds everything that its seat held.
	removedHolds bool
}

// observe returns what this node knows of a group now.
func (r *Replica) observe(group *replicav1.Group) observation {
	own := r.options.Node
	return observation{
		group: group, nodes: r.followers.nodes(), retiring: r.followers.retiring(), seats: seatsHeld(r.directory.Groups()),
		regions: r.options.RegionOf, zonesBorne: r.options.ToleratedZoneFailures,
		keepsSystem:  func(node string) bool { return node == own || r.peers.keepsSystem(node) },
		removedHolds: r.peers.holdsRemovedSeat(group),
		healthy:      func(node string) bool { return node == own || r.peers.healthy(node) },
		holds: func(member *replicav1.Member) bool {
			if member.Node == own {
				return holdsRecords(member, r.state.standing(group.Partition, group.Epoch))
			}
			return holdsRecords(member, r.peers.freshStanding(member.Node, group.Partition))
		},
		stopping: func(node string) bool { return node == own && r.stopping.Load() || r.peers.stops(node) },
		copied:   func(node string) uint64 { return r.peers.copied(node, group.Partition, group.Epoch) },
		failed:   func(node string) bool { return node != own && r.peers.failed(node) },
		settled: func(node string) bool {
			if node != own {
				return r.peers.settled(node, group.Partition, group.Epoch)
			}
			standing := r.state.standing(group.Partition, group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == group.Epoch
		},
	}
}
