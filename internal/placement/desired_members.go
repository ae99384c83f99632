package placement

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// DesiredMembers returns the members that a shard should have, given its current
// members and this daemon's view of the nodes. Dead and leaving members are replaced,
// each as soon as the domain has a daemon to replace it; the other members remain. Data
// never leaves the domain: if the domain has no free daemon, the member remains desired
// and the shard waits for it. A group with more usable members than size, as in the
// middle of a membership change, is reduced to size.
//
// A member that is missing from the view counts as dead only if the view shows a
// majority of the group as usable, because a daemon that has just joined knows few of
// its peers.
func DesiredMembers(domain structs.Domain, shard structs.ShardID, current []structs.NodeID, nodes []structs.Node, size int) []structs.Node {
	view := indexNodes(nodes)
	usable, lost := splitUsable(current, view)
	if len(usable) > size {
		return bestMembers(shard, usable, size)
	}
	group := newSelection(shard, candidates(domain, nodes))
	for _, member := range usable {
		group.add(member)
	}
	hasMajority := 2*len(usable) > len(current)
	for _, member := range lost {
		_, visible := view[member.ID]
		if !visible && !hasMajority {
			group.add(member)
		}
	}
	group.fill(size)
	return group.fillWithLost(lost, size)
}

// bestMembers returns the size best of the members.
func bestMembers(shard structs.ShardID, members []structs.Node, size int) []structs.Node {
	ranked := make([]*structs.Node, len(members))
	for i := range members {
		ranked[i] = &members[i]
	}
	group := newSelection(shard, ranked)
	group.fill(size)
	return group.members
}

// fillWithLost adds lost members to a group for which the domain has too few daemons,
// and returns the members.
func (s *selection) fillWithLost(lost []structs.Node, size int) []structs.Node {
	for _, member := range lost {
		present := slices.ContainsFunc(s.members, func(n structs.Node) bool { return n.ID == member.ID })
		if len(s.members) < size && !present {
			s.members = append(s.members, member)
		}
	}
	return s.members
}

func indexNodes(nodes []structs.Node) map[structs.NodeID]structs.Node {
	view := make(map[structs.NodeID]structs.Node, len(nodes))
	for _, node := range nodes {
		view[node.ID] = node
	}
	return view
}

// splitUsable separates the usable members from those that are dead, leaving or missing
// from the view; of missing members only the ID is known. A daemon that is listed with
// two incarnations counts once.
func splitUsable(current []structs.NodeID, view map[structs.NodeID]structs.Node) (usableMembers, lost []structs.Node) {
	listed := map[structs.NodeID]bool{}
	for _, id := range current {
		if listed[id] {
			continue
		}
		listed[id] = true
		node, visible := view[id]
		switch {
		case !visible:
			lost = append(lost, structs.Node{ID: id})
		case isUsable(&node):
			usableMembers = append(usableMembers, node)
		default:
			lost = append(lost, node)
		}
	}
	return usableMembers, lost
}

// ImproveZoneSpread returns the members with at most one replaced, so that the group
// covers more zones: a member of the zone with the most members is replaced by a daemon
// of a zone without members. It reverses the concentration that DesiredMembers causes
// while a zone is down, once the zone is back. A group with an unusable member is not
// changed.
func ImproveZoneSpread(domain structs.Domain, shard structs.ShardID, current []structs.NodeID, nodes []structs.Node) []structs.Node {
	members, lost := splitUsable(current, indexNodes(nodes))
	if len(lost) > 0 {
		return append(members, lost...)
	}
	replaced, found := memberToReplace(shard, members)
	if !found {
		return members
	}
	group := newSelection(shard, candidates(domain, nodes))
	for _, member := range members {
		if member.ID != replaced.ID {
			group.add(member)
		}
	}
	group.removeZonesInUse()
	if len(group.ranked) == 0 || (replaced.HasDisk && !group.hasDisk && !group.best().HasDisk) {
		return members
	}
	group.fill(len(members))
	return group.members
}

// memberToReplace returns the lowest ranked member of the zone with the most members,
// if that zone has more than one.
func memberToReplace(shard structs.ShardID, members []structs.Node) (structs.Node, bool) {
	perZone := map[structs.ZoneName]int{}
	for _, member := range members {
		perZone[member.Zone]++
	}
	var selected structs.Node
	for _, member := range members {
		more := perZone[member.Zone] > perZone[selected.Zone]
		lower := perZone[member.Zone] == perZone[selected.Zone] && rank(shard, member.ID) < rank(shard, selected.ID)
		if more || lower {
			selected = member
		}
	}
	return selected, perZone[selected.Zone] > 1
}

func (s *selection) removeZonesInUse() {
	s.ranked = slices.DeleteFunc(s.ranked, func(n rankedNode) bool { return s.membersPerZone[n.Zone] > 0 })
}
