package placement

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// SelectReplicas chooses the daemons of a new replica group: at most size of those
// in the domain that are neither leaving nor dead. One has a disk where any
// has; zones that hold none yet go first. Within that, each shard ranks the
// daemons by a hash of its own, so that shards spread evenly and a daemon that
// comes or goes concerns few shards.
func SelectReplicas(domain structs.Domain, shard structs.ShardID, nodes []structs.Node, size int) []structs.Node {
	chosen := newSelection(shard, candidates(domain, nodes))
	chosen.fill(size)
	return chosen.members
}

// candidates returns the daemons that may be given a copy.
func candidates(domain structs.Domain, nodes []structs.Node) []*structs.Node {
	policy := Policy{HistoryZones: domain.Zones}
	verdicts := map[structs.ZoneName]bool{}
	permitted := make([]*structs.Node, 0, len(nodes))
	for i := range nodes {
		node := &nodes[i]
		verdict, asked := verdicts[node.Zone]
		if !asked {
			verdict = Check(policy, History, node.Zone) == nil
			verdicts[node.Zone] = verdict
		}
		if verdict && usable(node) {
			permitted = append(permitted, node)
		}
	}
	return permitted
}

// usable reports whether the daemon is a member for now. A suspect is: moving
// its copies before it is declared dead would cost more than waiting.
func usable(node *structs.Node) bool {
	return node.State == structs.NodeAlive || node.State == structs.NodeSuspect
}

// selection is a replica group in the making.
type selection struct {
	members []structs.Node
	perZone map[structs.ZoneName]int
	hasDisk bool
	// ranked are the candidates not chosen.
	ranked []rankedNode
}

type rankedNode struct {
	*structs.Node
	rank uint64
}

func newSelection(shard structs.ShardID, nodes []*structs.Node) *selection {
	ranked := make([]rankedNode, len(nodes))
	for i, node := range nodes {
		ranked[i] = rankedNode{Node: node, rank: rank(shard, node.ID)}
	}
	return &selection{perZone: map[structs.ZoneName]int{}, ranked: ranked}
}

// rank is the daemon's rendezvous weight for the shard.
func rank(shard structs.ShardID, node structs.NodeID) uint64 {
	key := make([]byte, 0, 64)
	key = binary.LittleEndian.AppendUint32(key, uint32(shard))
	return xxhash.Sum64(append(key, node...))
}

// keep takes a present member over.
func (s *selection) keep(node structs.Node) {
	s.members = append(s.members, node)
	s.perZone[node.Zone]++
	s.hasDisk = s.hasDisk || node.HasDisk
	s.ranked = slices.DeleteFunc(s.ranked, func(other rankedNode) bool { return other.ID == node.ID })
}

// fill adds the best candidates until the group has size members or none is left.
func (s *selection) fill(size int) {
	for len(s.members) < size && len(s.ranked) > 0 {
		s.keep(*s.best().Node)
	}
}

// best returns the candidate to add next: with a disk while the group has
// none, then of the zone with the fewest members, then of the highest rank.
func (s *selection) best() rankedNode {
	best := s.ranked[0]
	for _, candidate := range s.ranked[1:] {
		if s.before(candidate, best) {
			best = candidate
		}
	}
	return best
}

func (s *selection) before(a, b rankedNode) bool {
	if !s.hasDisk && a.HasDisk != b.HasDisk {
		return a.HasDisk
	}
	if s.perZone[a.Zone] != s.perZone[b.Zone] {
		return s.perZone[a.Zone] < s.perZone[b.Zone]
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	return a.ID < b.ID
}
