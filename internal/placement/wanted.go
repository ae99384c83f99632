package placement

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// DesiredMembers returns the members that a shard should have, given those it has and
// this daemon's view of the nodes. Members that are dead or leaving are
// replaced, each as soon as the domain has a daemon to take its place; the
// others stay. Nothing moves out of the domain: where no daemon of it is free,
// the member stays wanted and the shard waits for it. A group with more usable
// members than size, as in the midst of a change, goes back to size.
//
// A member that the view does not show is taken for dead only while the view
// shows a majority of the group as usable: a daemon that has just joined knows
// few of its peers.
func DesiredMembers(domain structs.Domain, shard structs.ShardID, current []structs.NodeID, nodes []structs.Node, size int) []structs.Node {
	view := indexNodes(nodes)
	staying, lost := split(current, view)
	if len(staying) > size {
		return best(shard, staying, size)
	}
	chosen := newSelection(shard, candidates(domain, nodes))
	for _, member := range staying {
		chosen.keep(member)
	}
	trusted := 2*len(staying) > len(current)
	for _, member := range lost {
		_, shown := view[member.ID]
		if !shown && !trusted {
			chosen.keep(member)
		}
	}
	chosen.fill(size)
	return chosen.withLost(lost, size)
}

// best returns the size members that a group should keep of too many.
func best(shard structs.ShardID, members []structs.Node, size int) []structs.Node {
	ranked := make([]*structs.Node, len(members))
	for i := range members {
		ranked[i] = &members[i]
	}
	chosen := newSelection(shard, ranked)
	chosen.fill(size)
	return chosen.members
}

// withLost keeps lost members where the domain has no daemon in their place.
func (s *selection) withLost(lost []structs.Node, size int) []structs.Node {
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

// split tells the members that stay from those that are dead, leaving or not
// shown; the last have only their id. A daemon that is a member with two of its
// lives counts once.
func split(current []structs.NodeID, view map[structs.NodeID]structs.Node) (staying, lost []structs.Node) {
	seen := map[structs.NodeID]bool{}
	for _, id := range current {
		if seen[id] {
			continue
		}
		seen[id] = true
		node, shown := view[id]
		switch {
		case !shown:
			lost = append(lost, structs.Node{ID: id})
		case usable(&node):
			staying = append(staying, node)
		default:
			lost = append(lost, node)
		}
	}
	return staying, lost
}

// ImproveZoneSpread returns the members with at most one exchanged, so that the group
// stands in more zones: a member of the zone with the most gives way to a
// daemon of a zone with none. It undoes the crowding that Wanted leaves when a
// lost zone comes back. A group with a member that is not usable is left alone.
func ImproveZoneSpread(domain structs.Domain, shard structs.ShardID, current []structs.NodeID, nodes []structs.Node) []structs.Node {
	members, lost := split(current, indexNodes(nodes))
	if len(lost) > 0 {
		return append(members, lost...)
	}
	crowded, found := mostCrowded(shard, members)
	if !found {
		return members
	}
	chosen := newSelection(shard, candidates(domain, nodes))
	for _, member := range members {
		if member.ID != crowded.ID {
			chosen.keep(member)
		}
	}
	chosen.dropZonesInUse()
	if len(chosen.ranked) == 0 || (crowded.HasDisk && !chosen.hasDisk && !chosen.best().HasDisk) {
		return members
	}
	chosen.fill(len(members))
	return chosen.members
}

// mostCrowded returns the lowest ranked member of the zone that holds the most,
// if that is more than one.
func mostCrowded(shard structs.ShardID, members []structs.Node) (structs.Node, bool) {
	perZone := map[structs.ZoneName]int{}
	for _, member := range members {
		perZone[member.Zone]++
	}
	var crowded structs.Node
	for _, member := range members {
		more := perZone[member.Zone] > perZone[crowded.Zone]
		lower := perZone[member.Zone] == perZone[crowded.Zone] && rank(shard, member.ID) < rank(shard, crowded.ID)
		if more || lower {
			crowded = member
		}
	}
	return crowded, perZone[crowded.Zone] > 1
}

func (s *selection) dropZonesInUse() {
	s.ranked = slices.DeleteFunc(s.ranked, func(n rankedNode) bool { return s.perZone[n.Zone] > 0 })
}
