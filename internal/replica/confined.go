package replica

import (
	"context"
	"errors"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// severalRegions is from how many regions on turns can be kept out of one.
const severalRegions = 2

// foundingGroups returns the groups that a new system begins with: those of firstGroups.
// Where the settings name several regions they also say which further partitions there
// are, some for each region that has nodes; the groups of those are formed when a
// configuration first confines anything, at once or later. Of a single region they are those of firstGroups.
func foundingGroups(nodes []directory.Replica, regionOf map[string]string) []*replicav1.Group {
	groups := firstGroups(nodes)
	regions := placement.Regions(regionOf)
	if len(regions) < severalRegions {
		return groups
	}
	var confined []string
	for _, region := range regions {
		if within := nodesWithin(region, nodes, regionOf); len(within) > 0 {
			confined = append(confined, slices.Repeat([]string{region}, partitionsFor(len(within)))...)
		}
	}
	for _, group := range groups {
		group.Partitions, group.Confined = uint32(len(groups)+len(confined)), confined
	}
	return groups
}

// wholeConfined returns the groups of all confined partitions with all their seats, for a
// system that is being formed while its configuration confines something.
func wholeConfined(founding []*replicav1.Group, nodes []directory.Replica, regionOf map[string]string) (groups []*replicav1.Group) {
	layout, seats := founding[0], seatsHeld(founding)
	for i, region := range layout.Confined {
		group := &replicav1.Group{
			Epoch: firstEpoch, Partition: uint32(len(founding) + i), Partitions: layout.Partitions, Confined: layout.Confined, Region: region,
		}
		fill(group, nodesWithin(region, nodes, regionOf), maxSeats, seats)
		groups = append(groups, group)
	}
	return groups
}

// confinedGroup returns the group that a confined partition of a system that stands begins
// with: one seat, so that
// nothing is to be recovered whatever became of the nodes since the system was formed. It
// grows to its target as any group does, and gateways keep nothing in it before a second
// seat has joined.
func confinedGroup(layout *replicav1.Group, partition uint32, first directory.Replica, within int) *replicav1.Group {
	group := &replicav1.Group{
		Epoch: firstEpoch, Partition: partition, Partitions: layout.Partitions, Confined: layout.Confined,
		System: layout.System, Region: regionOfPartition(layout, partition), Target: uint32(min(maxSeats, within)),
	}
	addMember(group, first)
	return group
}

// regionOfPartition returns the region that a partition is confined to; "" is none.
func regionOfPartition(layout *replicav1.Group, partition uint32) string {
	unconfined := int(layout.GetPartitions()) - len(layout.GetConfined())
	if int(partition) < unconfined || int(partition) >= int(layout.GetPartitions()) {
		return ""
	}
	return layout.Confined[int(partition)-unconfined]
}

// formConfined forms the groups of confined partitions of this node's region that are not
// there, once the configuration in force confines anything. Nodes of a region try one
// after another; the group that is created first stands.
func (r *Replica) formConfined(ctx context.Context) {
	view := r.directory.View()
	layout := directory.AnyGroup(view.Groups)
	if view.Table == nil || !view.Table.RestrictsRegions() || layout == nil {
		return
	}
	own := directory.Replica{Node: r.options.Node, Address: r.options.Address, Zone: r.options.Zone}
	for partition, group := range view.Groups {
		region := regionOfPartition(layout, uint32(partition))
		within := nodesWithin(region, r.followers.nodes(), r.options.RegionOf)
		rank := slices.IndexFunc(within, func(node directory.Replica) bool { return node.Node == own.Node })
		if group != nil || region == "" || rank < 0 || r.followers.retiring()[own.Node] {
			continue
		}
		wanted := confinedGroup(layout, uint32(partition), own, len(within))
		if !r.proposals.due(&replicav1.Group{Partition: wanted.Partition}, rank) {
			continue
		}
		r.createConfined(ctx, wanted)
	}
}

// createConfined creates a group, or learns the one that stands.
func (r *Replica) createConfined(ctx context.Context, group *replicav1.Group) {
	name := directory.GroupName(group.Partition)
	err := r.objects.Create(ctx, directory.KindGroup, directory.Object{Name: name, Group: group})
	var taken *directory.Conflict
	switch {
	case err == nil:
		eventProposed.Log("partition", group.Partition, "epoch", group.Epoch, "members", len(group.Members))
		r.directory.ApplyGroup(group, directory.SourceSelf)
	case errors.As(err, &taken):
		if found, exists, err := r.objects.Get(ctx, directory.KindGroup, name); err == nil && exists {
			r.directory.ApplyGroup(found.Group, directory.SourceStore)
		}
	}
	// Any other failure is that of the store, which its feed tells; it is tried again.
}

// missing reports whether a group of a partition that every system has from its begin is
// not known. Those of confined partitions come later, or never.
func missing(groups []*replicav1.Group) bool {
	layout := directory.AnyGroup(groups)
	for partition, group := range groups {
		if group == nil && regionOfPartition(layout, uint32(partition)) == "" {
			return true
		}
	}
	return len(groups) == 0
}

// regionsHeard reports whether each region that the settings name has a node, where they
// name several.
func regionsHeard(nodes []directory.Replica, regionOf map[string]string) bool {
	regions := placement.Regions(regionOf)
	return len(regions) < severalRegions || !slices.ContainsFunc(regions, func(region string) bool {
		return len(nodesWithin(region, nodes, regionOf)) == 0
	})
}

// strayed reports whether this node has a seat of a group that it may not hold. Whoever
// proposed the group had other settings, or none of regions.
func (r *Replica) strayed(group *replicav1.Group) bool {
	own := []directory.Replica{{Node: r.options.Node, Zone: r.options.Zone}}
	return seatOf(group, r.options.Node) != nil && len(nodesWithin(group.Region, own, r.options.RegionOf)) == 0
}

// straySeats counts the seats that this node may not hold.
func (r *Replica) straySeats() (count int) {
	for _, group := range r.ownGroups() {
		if r.strayed(group) {
			count++
		}
	}
	return count
}

// sameLayout reports whether a group counts the partitions, and which of them are confined
// to which region, as a known one does; nil is not known.
func sameLayout(group, known *replicav1.Group) bool {
	return known == nil || max(1, known.Partitions) == group.Partitions && slices.Equal(known.Confined, group.Confined)
}
