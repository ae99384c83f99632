package placement

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// SelectReplicas selects the daemons of a new replica group: up to size daemons of the
// domain that are neither leaving nor dead. The group includes a daemon with a disk if
// there is one, and zones without a member have precedence. Apart from that, each shard
// ranks the daemons by its own hash, so that shards are distributed evenly and a daemon
// that joins or leaves affects few shards.
func SelectReplicas(domain structs.Domain, shard structs.ShardID, nodes []structs.Node, size int) []structs.Node {
	group := newSelection(shard, candidates(domain, nodes))
	group.fill(size)
	return group.members
}

// candidates returns the usable daemons in permitted zones.
func candidates(domain structs.Domain, nodes []structs.Node) []*structs.Node {
	policy := Policy{HistoryZones: domain.Zones}
	permittedZones := map[structs.ZoneName]bool{}
	permitted := make([]*structs.Node, 0, len(nodes))
	for i := range nodes {
		node := &nodes[i]
		isPermitted, known := permittedZones[node.Zone]
		if !known {
			isPermitted = Check(policy, History, node.Zone) == nil
			permittedZones[node.Zone] = isPermitted
		}
		if isPermitted && isUsable(node) {
			permitted = append(permitted, node)
		}
	}
	return permitted
}

// isUsable reports whether the daemon counts as a member. A suspected daemon does,
// because moving its replicas before it is declared dead would cost more than waiting.
func isUsable(node *structs.Node) bool {
	return node.State == structs.NodeAlive || node.State == structs.NodeSuspect
}

// selection is a replica group under construction.
type selection struct {
	members        []structs.Node
	membersPerZone map[structs.ZoneName]int
	hasDisk        bool
	// ranked are the candidates that are not selected yet.
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
	return &selection{membersPerZone: map[structs.ZoneName]int{}, ranked: ranked}
}

// rank returns the daemon's rendezvous hash for the shard.
func rank(shard structs.ShardID, node structs.NodeID) uint64 {
	key := make([]byte, 0, 64)
	key = binary.LittleEndian.AppendUint32(key, uint32(shard))
	return xxhash.Sum64(append(key, node...))
}

// add adds a member to the group and removes it from the candidates.
func (s *selection) add(node structs.Node) {
	s.members = append(s.members, node)
	s.membersPerZone[node.Zone]++
	s.hasDisk = s.hasDisk || node.HasDisk
	s.ranked = slices.DeleteFunc(s.ranked, func(other rankedNode) bool { return other.ID == node.ID })
}

// fill adds the best candidates until the group has size members or no candidate is
// left.
func (s *selection) fill(size int) {
	for len(s.members) < size && len(s.ranked) > 0 {
		s.add(*s.best().Node)
	}
}

// best returns the candidate to add next: one with a disk while the group has none,
// then one of the zone with the fewest members, then the one with the highest rank.
func (s *selection) best() rankedNode {
	best := s.ranked[0]
	for _, candidate := range s.ranked[1:] {
		if s.isBetter(candidate, best) {
			best = candidate
		}
	}
	return best
}

func (s *selection) isBetter(a, b rankedNode) bool {
	if !s.hasDisk && a.HasDisk != b.HasDisk {
		return a.HasDisk
	}
	if s.membersPerZone[a.Zone] != s.membersPerZone[b.Zone] {
		return s.membersPerZone[a.Zone] < s.membersPerZone[b.Zone]
	}
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	return a.ID < b.ID
}
