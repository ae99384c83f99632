package replica

import (
	"context"
	"errors"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// minRegionsToConfine is the number of regions from which on partitions can be confined to a
// region.
const minRegionsToConfine = 2

// initialGroups returns the groups of a new system that are not confined to a region. If the
// settings name several regions, the groups also list the confined partitions, some for each region
// that has nodes. The groups of those partitions are created when a configuration first confines a
// route, which may be immediately.
func initialGroups(nodes []directory.Replica, regionOf map[string]string) []*replicav1.Group {
	groups := initialUnconfinedGroups(nodes)
	regions := placement.Regions(regionOf)
	if len(regions) < minRegionsToConfine {
		return groups
	}
	var confined []string
	for _, region := range regions {
		if inRegion := nodesInRegion(region, nodes, regionOf); len(inRegion) > 0 {
			confined = append(confined, slices.Repeat([]string{region}, initialPartitionCount(len(inRegion)))...)
		}
	}
	for _, group := range groups {
		group.Partitions, group.Confined = uint32(len(groups)+len(confined)), confined
	}
	return groups
}

// initialConfinedGroups returns the groups of all confined partitions, with all their seats. It is
// used for a new system whose first configuration already confines a route.
func initialConfinedGroups(initial []*replicav1.Group, nodes []directory.Replica, regionOf map[string]string) (groups []*replicav1.Group) {
	layout, seatCounts := initial[0], seatsByNode(initial)
	for i, region := range layout.Confined {
		group := &replicav1.Group{
			Epoch: firstEpoch, Partition: uint32(len(initial) + i), Partitions: layout.Partitions, Confined: layout.Confined, Region: region,
		}
		fillSeats(group, nodesInRegion(region, nodes, regionOf), maxSeats, seatCounts)
		groups = append(groups, group)
	}
	return groups
}

// singleSeatConfinedGroup returns the first group of a confined partition in an existing system. It
// has one seat, so that nothing has to be recovered, whatever happened to the nodes since the
// system was formed. It grows to its target like any group, and gateways store nothing in it until
// a second member has joined.
func singleSeatConfinedGroup(layout *replicav1.Group, partition uint32, first directory.Replica, nodesInRegion int) *replicav1.Group {
	group := &replicav1.Group{
		Epoch: firstEpoch, Partition: partition, Partitions: layout.Partitions, Confined: layout.Confined,
		System: layout.System, Agreed: layout.Agreed, Region: regionOfPartition(layout, partition), Target: uint32(min(maxSeats, nodesInRegion)),
	}
	addMember(group, first)
	return group
}

// regionOfPartition returns the region that a partition is confined to, or "" if it is not
// confined.
func regionOfPartition(layout *replicav1.Group, partition uint32) string {
	unconfined := int(layout.GetPartitions()) - len(layout.GetConfined())
	if int(partition) < unconfined || int(partition) >= int(layout.GetPartitions()) {
		return ""
	}
	return layout.Confined[int(partition)-unconfined]
}

// formConfinedGroups creates the missing groups of confined partitions of this node's region once
// the current configuration confines a route. The nodes of a region try one after another; the
// first group that is created remains.
func (r *Replica) formConfinedGroups(ctx context.Context) {
	view := r.directory.View()
	layout := directory.AnyGroup(view.Groups)
	if view.Table == nil || !view.Table.RestrictsRegions() || layout == nil {
		return
	}
	own := directory.Replica{Node: r.options.Node, Address: r.options.Address, Zone: r.options.Zone}
	for partition, group := range view.Groups {
		region := regionOfPartition(layout, uint32(partition))
		inRegion := nodesInRegion(region, r.nodes.list(), r.options.RegionOf)
		rank := slices.IndexFunc(inRegion, func(node directory.Replica) bool { return node.Node == own.Node })
		if group != nil || region == "" || rank < 0 || r.nodes.retiringNodes()[own.Node] {
			continue
		}
		newGroup := singleSeatConfinedGroup(layout, uint32(partition), own, len(inRegion))
		if !r.proposals.isDue(&replicav1.Group{Partition: newGroup.Partition}, rank) {
			continue
		}
		r.createConfinedGroup(ctx, newGroup)
	}
}

// createConfinedGroup creates a group, or loads the existing one.
func (r *Replica) createConfinedGroup(ctx context.Context, group *replicav1.Group) {
	name := directory.GroupName(group.Partition)
	err := r.store.Create(ctx, directory.KindGroup, directory.Object{Name: name, Group: group})
	var conflict *directory.Conflict
	switch {
	case err == nil:
		eventProposed.Log("partition", group.Partition, "epoch", group.Epoch, "members", len(group.Members))
		r.directory.ApplyGroup(group, directory.SourceSelf)
	case errors.As(err, &conflict):
		if stored, exists, err := r.store.Get(ctx, directory.KindGroup, name); err == nil && exists {
			r.directory.ApplyGroup(stored.Group, directory.SourceStore)
		}
	}
	// Any other failure is one of the store, which the watcher logs. The call is retried in the next
	// round.
}

// lacksUnconfinedGroup reports whether the group of an unconfined partition is unknown. Every
// system creates those groups when it is formed. Groups of confined partitions are created later or
// never.
func lacksUnconfinedGroup(groups []*replicav1.Group) bool {
	layout := directory.AnyGroup(groups)
	for partition, group := range groups {
		if group == nil && regionOfPartition(layout, uint32(partition)) == "" {
			return true
		}
	}
	return len(groups) == 0
}

// allRegionsHaveNodes reports whether each region in the settings has a node. It is true if the
// settings name fewer than two regions.
func allRegionsHaveNodes(nodes []directory.Replica, regionOf map[string]string) bool {
	regions := placement.Regions(regionOf)
	return len(regions) < minRegionsToConfine || !slices.ContainsFunc(regions, func(region string) bool {
		return len(nodesInRegion(region, nodes, regionOf)) == 0
	})
}

// hasStraySeat reports whether this node has a seat in a group that is confined to another region.
// That happens if the node that proposed the group has other region settings, or none.
func (r *Replica) hasStraySeat(group *replicav1.Group) bool {
	own := []directory.Replica{{Node: r.options.Node, Zone: r.options.Zone}}
	return memberForNode(group, r.options.Node) != nil && len(nodesInRegion(group.Region, own, r.options.RegionOf)) == 0
}

// straySeatCount returns the number of seats in groups that are confined to another region.
func (r *Replica) straySeatCount() (count int) {
	for _, group := range r.ownGroups() {
		if r.hasStraySeat(group) {
			count++
		}
	}
	return count
}

// sameLayout reports whether a group has the same number of partitions, confined to the same
// regions, as a known group. It is true if known is nil.
func sameLayout(group, known *replicav1.Group) bool {
	return known == nil || max(1, known.Partitions) == group.Partitions && slices.Equal(known.Confined, group.Confined)
}
