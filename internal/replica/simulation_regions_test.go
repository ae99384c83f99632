package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	homeRegion, awayRegion = "home", "away"
	// The first homeNodeCount of regionsNodeCount nodes are in the home region.
	homeNodeCount, regionsNodeCount = 3, 5
)

// simRegion returns the region of the node with a number. Nodes that are added later alternate
// between the regions.
func simRegion(number int) string {
	if number < homeNodeCount || number >= regionsNodeCount && number%2 == 0 {
		return homeRegion
	}
	return awayRegion
}

// initialConfinedGroup returns the first group that is confined to a region.
func initialConfinedGroup(nodes []directory.Replica, regionOf map[string]string, region string) *replicav1.Group {
	groups := initialConfinedGroups(initialGroups(nodes, regionOf), nodes, regionOf)
	return groups[slices.IndexFunc(groups, func(group *replicav1.Group) bool { return group.Region == region })]
}

// newRegionsCluster returns a cluster over two regions with an unconfined partition and one that is
// confined to the home region.
func newRegionsCluster(t require.TestingT, seed uint64, mutation mutation) *simCluster {
	cluster := newSimCluster(t, seed, mutation, regionsNodeCount, 1)
	cluster.regionOf = make(map[string]string)
	var nodes []directory.Replica
	for number := range regionsNodeCount {
		name := fmt.Sprintf("n%d", number)
		cluster.regionOf[name] = simRegion(number)
		nodes = append(nodes, directory.Replica{Node: name, Zone: name})
	}
	confined := initialConfinedGroup(nodes, cluster.regionOf, homeRegion)
	confined.Partition = 1
	p := &simPartition{simCluster: cluster, group: confined, granted: make(map[string]int64), copies: make(map[string]*simCopy)}
	cluster.partitions = append(cluster.partitions, p)
	for _, member := range confined.Members {
		p.must(cluster.nodes[member.Node].state().write(groupRecord(confined), identityRecord(confined.Partition, &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: cluster.random.Uint64() | 1, Recovered: true,
		})))
	}
	return cluster.enableAnnouncements(seed)
}

// groupSeenByProposer applies the mutations that concern the region of a group.
func (p *simPartition) groupSeenByProposer() *replicav1.Group {
	if p.mutation != ignoreRegion && p.mutation != dropGroupRegion {
		return p.group
	}
	anywhere := proto.CloneOf(p.group)
	anywhere.Region = ""
	return anywhere
}

// groupToInstall returns the group that becomes current. A proposer that does not know regions
// drops the region permanently; one that ignores it does not.
func (p *simPartition) groupToInstall(next *replicav1.Group) *replicav1.Group {
	if p.mutation == ignoreRegion {
		next.Region = p.group.Region
	}
	return next
}

// regionViolation returns a guarantee that is violated by records or seats in another region.
func (c *simCluster) regionViolation() string {
	for _, partition := range c.partitions[1:] {
		for _, name := range c.nodeNames {
			if c.regionOf[name] == homeRegion {
				continue
			}
			if records, _, _, err := c.nodes[name].state().recordsAfter(partition.group.Partition, 0, 1<<30); err != nil || len(records) > 0 {
				return fmt.Sprintf("node %s of another region holds %d records of a confined partition (%v)", name, len(records), err)
			}
			if memberForNode(partition.group, name) != nil {
				return fmt.Sprintf("node %s of another region has a seat of a confined partition", name)
			}
		}
	}
	return ""
}

// runRegionsSimulation runs one schedule over two regions.
func runRegionsSimulation(t require.TestingT, seed uint64, m mutation) string {
	cluster := newRegionsCluster(t, seed, m)
	defer cluster.close()
	for range simSteps * len(cluster.partitions) {
		cluster.step()
		if cluster.violation != "" {
			return cluster.violation
		}
		if violation := cluster.regionViolation(); violation != "" {
			return violation
		}
	}
	return ""
}

// The schedules contain disk losses, late announcements, and nodes that join and leave in either
// region. Nothing acknowledged may be lost, and no confined record may leave its region.
func TestConfinedPartitionsKeepGuaranteesWithinRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runRegionsSimulation(t, rapid.Uint64().Draw(t, "seed"), noMutation))
	})
}

func TestSimulationDetectsEachRegionMutation(t *testing.T) {
	requireDetected(t, 600, runRegionsSimulation, ignoreRegion, dropGroupRegion, skipFsync, countEmptyReplica, recoverFromOne, retireBeforeTransfer)
}

// The search of TestGroupRecoversAfterLastFault over two regions. No group may wait for a node that
// cannot take a seat in it.
func TestConfinedGroupRecoversWithinRegion(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		cluster := newRegionsCluster(t, seed, noMutation)
		require.Empty(t, runLivenessSimulation(cluster), "seed %d", seed)
		require.Empty(t, cluster.regionViolation(), "seed %d", seed)
	}
}

// Changes a group repeatedly while nodes of all regions fail, retire and return. A seat may only be
// given to a node of the group's region.
func TestConfinedGroupStaysWithinRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		nodes, regionOf := randomRegions(random)
		groups := initialGroups(nodes, regionOf)
		groups = append(groups, initialConfinedGroups(groups, nodes, regionOf)...)
		for i, region := range groups[0].Confined {
			inRegion := nodesInRegion(region, nodes, regionOf)
			groups = append(groups, singleSeatConfinedGroup(groups[0], groups[0].Partitions-uint32(len(groups[0].Confined)-i), inRegion[0], len(inRegion)))
		}
		for _, group := range groups {
			for range 30 {
				down, retiring := randomNodeSet(random, nodes), randomNodeSet(random, nodes)
				next := nextGroup(groupStatus{
					group: group, nodes: nodes, retiring: retiring, regionOf: regionOf,
					isHealthy: func(node string) bool { return !down[node] }, isInSync: func(node string) bool { return !down[node] },
				})
				if next == nil {
					continue
				}
				require.Equal(t, group.Region, next.Region)
				require.Equal(t, group.Confined, next.Confined)
				require.NotEmpty(t, next.Members)
				for _, member := range next.Members {
					if group.Region != "" {
						require.Equal(t, group.Region, regionOf[member.Zone], member.Node)
					}
				}
				group = next
			}
		}
	})
}

// randomRegions returns nodes in up to four regions. Some zones have no region.
func randomRegions(random *rand.Rand) ([]directory.Replica, map[string]string) {
	nodes, regionOf := fleetNodes(1+random.IntN(8), 1+random.IntN(3)), make(map[string]string)
	for _, node := range nodes {
		if random.IntN(8) > 0 {
			regionOf[node.Zone] = fmt.Sprintf("region-%d", random.IntN(4))
		}
	}
	return nodes, regionOf
}

func randomNodeSet(random *rand.Rand, nodes []directory.Replica) map[string]bool {
	chosen := make(map[string]bool)
	for _, node := range nodes {
		chosen[node.Node] = random.IntN(6) == 0
	}
	return chosen
}
