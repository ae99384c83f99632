package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TestMain sets a fixed seed for rapid, so that test results are reproducible; the flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260102")) }

func TestCheckByDataKind(t *testing.T) {
	policy := Policy{HistoryZones: []structs.ZoneName{"a"}, CacheZones: []structs.ZoneName{"b"}}
	permitted := map[DataKind][]structs.ZoneName{
		History: {"a"}, LogText: {"a"}, Cache: {"b"}, KVExport: {"b"}, ToolArguments: {"a", "b"}, "other": nil,
	}
	for data, zones := range permitted {
		for _, zone := range []structs.ZoneName{"a", "b", "c"} {
			err := Check(policy, data, zone)
			if slices.Contains(zones, zone) {
				require.NoError(t, err, "%s in %s", data, zone)
				continue
			}
			require.Equal(t, &failure.NoPermittedPlace{What: string(data), Zones: joinZones(zones)}, err)
		}
		require.Error(t, Check(Policy{}, data, ""), "a policy without zones permits nothing")
	}
}

func drawZones(t *rapid.T, label string) []structs.ZoneName {
	return rapid.SliceOfN(rapid.SampledFrom([]structs.ZoneName{"a", "b", "c", "d"}), 1, 5).Draw(t, label)
}

func TestDomainsAreAppendOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var domains []structs.Domain
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			declared := structs.Declarations{}
			declared.Deployment.ShardsPerDomain = rapid.Uint32Range(0, 5).Draw(t, "shards")
			for range rapid.IntRange(0, 4).Draw(t, "programs") {
				declared.Programs = append(declared.Programs, structs.AgentProgram{HistoryZones: drawZones(t, "zones")})
			}
			next := ExtendDomains(declared, domains)
			require.Equal(t, domains, append([]structs.Domain(nil), next[:len(domains)]...))
			domains = next
			for _, program := range declared.Programs {
				found, err := DomainOfZones(domains, program.HistoryZones)
				require.NoError(t, err)
				require.NoError(t, CheckDomain(Policy{HistoryZones: program.HistoryZones}, found))
			}
		}
		first := structs.ShardID(0)
		for _, domain := range domains {
			require.Equal(t, first, domain.FirstShard, "ranges neither overlap nor leave gaps")
			first += structs.ShardID(domain.ShardCount)
			last, found := DomainOfShard(domains, first-1)
			require.True(t, found)
			require.Equal(t, domain.Name, last.Name)
		}
		_, found := DomainOfShard(domains, first)
		require.False(t, found)
	})
}

func fleet(count, zones int) []structs.Node {
	nodes := make([]structs.Node, count)
	for i := range nodes {
		zone := structs.ZoneName(fmt.Sprintf("zone-%d", i%zones))
		id := structs.NodeID(fmt.Sprintf("node-%d", i))
		nodes[i] = structs.Node{ID: id, Zone: zone, State: structs.NodeAlive, HasDisk: i%10 == 3}
	}
	return nodes
}

func wholeDomain(zones int) structs.Domain {
	domain := structs.Domain{Name: "whole", ShardCount: 3000}
	for i := range zones {
		domain.Zones = append(domain.Zones, structs.ZoneName(fmt.Sprintf("zone-%d", i)))
	}
	return domain
}

func zonesOf(nodes []structs.Node) map[structs.ZoneName]bool {
	zones := map[structs.ZoneName]bool{}
	for _, node := range nodes {
		zones[node.Zone] = true
	}
	return zones
}

func countZones(nodes []*structs.Node) int {
	distinctZones := map[structs.ZoneName]bool{}
	for _, node := range nodes {
		distinctZones[node.Zone] = true
	}
	return len(distinctZones)
}

func hasDisk(node structs.Node) bool { return node.HasDisk }

func idsOf(nodes []structs.Node) []structs.NodeID {
	ids := make([]structs.NodeID, len(nodes))
	for i, node := range nodes {
		ids[i] = node.ID
	}
	return ids
}

func drawFleet(t *rapid.T) []structs.Node {
	nodes := fleet(rapid.IntRange(0, 14).Draw(t, "count"), 4)
	states := []structs.NodeState{structs.NodeAlive, structs.NodeSuspect, structs.NodeLeaving, structs.NodeDead}
	for i := range nodes {
		nodes[i].HasDisk = rapid.Bool().Draw(t, "disk")
		nodes[i].State = rapid.SampledFrom(states).Draw(t, "state")
	}
	return nodes
}

func TestReplicasAreInDifferentZonesOfDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawFleet(t)
		domain := wholeDomain(rapid.IntRange(1, 4).Draw(t, "zones"))
		available := candidates(domain, nodes)
		selected := SelectReplicas(domain, 5, nodes, 3)
		require.Len(t, selected, min(3, len(available)))
		require.Len(t, zonesOf(selected), min(3, countZones(available)), "members are in different zones if possible")
		require.Equal(t, slices.ContainsFunc(available, func(n *structs.Node) bool { return n.HasDisk }), slices.ContainsFunc(selected, hasDisk))
		ids := idsOf(selected)
		slices.Sort(ids)
		require.Len(t, slices.Compact(ids), len(selected), "members are on different machines")
		for _, node := range selected {
			require.True(t, domain.Permits(node.Zone))
			require.True(t, isUsable(&node))
		}
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		require.Equal(t, selected, SelectReplicas(domain, 5, nodes, 3), "the result does not depend on the order of the nodes")
	})
}

func TestReplicasAreStableAndEvenlyDistributed(t *testing.T) {
	nodes, domain := fleet(170, 17), wholeDomain(17)
	removed := nodes[42]
	fewer := slices.DeleteFunc(slices.Clone(nodes), func(n structs.Node) bool { return n.ID == removed.ID })
	shardsOfNode := map[structs.NodeID]int{}
	moved := 0
	for shard := structs.ShardID(0); shard < 3000; shard++ {
		before, after := SelectReplicas(domain, shard, nodes, 3), SelectReplicas(domain, shard, fewer, 3)
		for _, node := range before {
			if !node.HasDisk {
				shardsOfNode[node.ID]++
			}
		}
		if !slices.Contains(idsOf(before), removed.ID) {
			require.Equal(t, before, after, "shard %d lost no member", shard)
			continue
		}
		moved++
	}
	require.Positive(t, moved)
	require.Less(t, moved, 3000*3*2/170)
	mean := 3000 * 2 / 153
	for id, shards := range shardsOfNode {
		require.Less(t, shards, mean*2, "load of %s", id)
		require.Greater(t, shards, mean/2, "load of %s", id)
	}
}

func TestDesiredMembersReplaceOnlyLostMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawFleet(t)
		domain := wholeDomain(rapid.IntRange(1, 4).Draw(t, "zones"))
		var current []structs.NodeID
		for _, node := range nodes {
			if domain.Permits(node.Zone) && len(current) < 4 && rapid.Bool().Draw(t, "member") {
				current = append(current, node.ID)
			}
		}
		desired := DesiredMembers(domain, 5, current, nodes, 3)
		require.GreaterOrEqual(t, len(desired), min(3, len(current)), "a group does not shrink")
		require.LessOrEqual(t, len(desired), 3, "a group does not exceed its size")
		available := len(candidates(domain, nodes))
		for _, node := range desired {
			require.True(t, domain.Permits(node.Zone))
			if !isUsable(&node) {
				require.Contains(t, current, node.ID)
				require.Less(t, available, 3, "a lost member remains only if no daemon can replace it")
			}
		}
		usable, _ := splitUsable(current, indexNodes(nodes))
		for _, node := range usable {
			require.True(t, len(usable) > 3 || slices.Contains(idsOf(desired), node.ID))
		}
		require.Equal(t, desired, DesiredMembers(domain, 5, idsOf(desired), nodes, 3), "the desired members are stable")
	})
}

func TestDesiredMembersWaitForLostZone(t *testing.T) {
	nodes, domain := fleet(6, 3), wholeDomain(1)
	current := idsOf(SelectReplicas(domain, 5, nodes, 3))
	require.Len(t, current, 2, "one zone with two machines")
	for i := range nodes {
		if nodes[i].Zone == "zone-0" {
			nodes[i].State = structs.NodeDead
		}
	}
	require.ElementsMatch(t, current, idsOf(DesiredMembers(domain, 5, current, nodes, 3)))
}

func TestDesiredMembersIgnoreViewWithoutMajority(t *testing.T) {
	nodes, domain := fleet(6, 3), wholeDomain(3)
	unknownMembers := []structs.NodeID{"x", "y", nodes[0].ID}
	require.ElementsMatch(t, unknownMembers, idsOf(DesiredMembers(domain, 5, unknownMembers, nodes, 3)))
	visibleMajority := []structs.NodeID{"x", nodes[1].ID, nodes[0].ID}
	require.NotContains(t, idsOf(DesiredMembers(domain, 5, visibleMajority, nodes, 3)), structs.NodeID("x"))
}

func TestDaemonWithTwoIncarnationsCountsOnce(t *testing.T) {
	nodes, domain := fleet(9, 3), wholeDomain(3)
	restarted := []structs.NodeID{"node-1", "node-1", "node-0"}
	desired := idsOf(DesiredMembers(domain, 5, restarted, nodes, 3))
	slices.Sort(desired)
	require.Len(t, slices.Compact(desired), 3)
	whole := []structs.NodeID{"node-1", "node-0", "node-2", "node-1"}
	require.ElementsMatch(t, whole[:3], idsOf(DesiredMembers(domain, 5, whole, nodes, 3)))
	require.ElementsMatch(t, whole[:3], idsOf(ImproveZoneSpread(domain, 5, whole, nodes)))
}

func TestZoneSpreadImprovesAfterZoneRecovers(t *testing.T) {
	nodes, domain := fleet(9, 3), wholeDomain(3)
	current := []structs.NodeID{"node-0", "node-3", "node-1"}
	spread := ImproveZoneSpread(domain, 5, current, nodes)
	require.Len(t, zonesOf(spread), 3)
	require.Contains(t, idsOf(spread), structs.NodeID("node-1"), "at most one member is replaced")
	require.ElementsMatch(t, idsOf(spread), idsOf(ImproveZoneSpread(domain, 5, idsOf(spread), nodes)))
	nodes[1].State = structs.NodeSuspect
	nodes[3].State = structs.NodeDead
	require.ElementsMatch(t, current, idsOf(ImproveZoneSpread(domain, 5, current, nodes)))
}

func BenchmarkReplicas(b *testing.B) {
	nodes, domain := fleet(1500, 17), wholeDomain(17)
	for i := 0; b.Loop(); i++ {
		SelectReplicas(domain, structs.ShardID(i), nodes, 3)
	}
}
