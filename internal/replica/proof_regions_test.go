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
	// homeNodes of regionsNodes nodes lie in the home region at first.
	homeNodes, regionsNodes = 3, 5
)

// proofRegion returns where the node of a number lies: those that come later lie in either
// region by turns.
func proofRegion(number int) string {
	if number < homeNodes || number >= regionsNodes && number%2 == 0 {
		return homeRegion
	}
	return awayRegion
}

// firstConfined returns the first group of one region.
func firstConfined(nodes []directory.Replica, regionOf map[string]string, region string) *replicav1.Group {
	groups := wholeConfined(foundingGroups(nodes, regionOf), nodes, regionOf)
	return groups[slices.IndexFunc(groups, func(group *replicav1.Group) bool { return group.Region == region })]
}

// newRegionsFleet returns a fleet over two regions with a partition that is confined to
// neither and one that is confined to the home region.
func newRegionsFleet(t require.TestingT, seed uint64, broken breakage) *proofFleet {
	fleet := newProofFleet(t, seed, broken, regionsNodes, 1)
	fleet.regionOf = make(map[string]string)
	var nodes []directory.Replica
	for number := range regionsNodes {
		name := fmt.Sprintf("n%d", number)
		fleet.regionOf[name] = proofRegion(number)
		nodes = append(nodes, directory.Replica{Node: name, Zone: name})
	}
	confined := firstConfined(nodes, fleet.regionOf, homeRegion)
	confined.Partition = 1
	p := &proof{proofFleet: fleet, group: confined, granted: make(map[string]int64), copies: make(map[string]*proofCopy)}
	fleet.partitions = append(fleet.partitions, p)
	for _, member := range confined.Members {
		p.must(fleet.nodes[member.Node].state().write(groupRecord(confined), identityRecord(confined.Partition, &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: fleet.random.Uint64() | 1, Recovered: true,
		})))
	}
	return fleet.announce(seed)
}

// proposedFrom applies the breakages that concern where seats may lie.
func (p *proof) proposedFrom() *replicav1.Group {
	if p.broken != otherRegion && p.broken != oldGroupRegion {
		return p.group
	}
	anywhere := proto.CloneOf(p.group)
	anywhere.Region = ""
	return anywhere
}

// proposed returns the group that comes into force: a node that knows nothing of regions
// drops them for good, one that ignores them does not.
func (p *proof) proposed(next *replicav1.Group) *replicav1.Group {
	if p.broken == otherRegion {
		next.Region = p.group.Region
	}
	return next
}

// strayed returns a promise that was broken by what rests in another region.
func (f *proofFleet) strayed() string {
	for _, partition := range f.partitions[1:] {
		for _, name := range f.order {
			if f.regionOf[name] == homeRegion {
				continue
			}
			if records, _, _, err := f.nodes[name].state().after(partition.group.Partition, 0, 1<<30); err != nil || len(records) > 0 {
				return fmt.Sprintf("node %s of another region holds %d records of a confined partition (%v)", name, len(records), err)
			}
			if seatOf(partition.group, name) != nil {
				return fmt.Sprintf("node %s of another region has a seat of a confined partition", name)
			}
		}
	}
	return ""
}

// runRegionsProof plays one schedule over two regions.
func runRegionsProof(t require.TestingT, seed uint64, broken breakage) string {
	fleet := newRegionsFleet(t, seed, broken)
	defer fleet.close()
	for range proofSteps * len(fleet.partitions) {
		fleet.step()
		if fleet.violation != "" {
			return fleet.violation
		}
		if strayed := fleet.strayed(); strayed != "" {
			return strayed
		}
	}
	return ""
}

// TestConfinedPartitionsKeepGuaranteesWithinRegion plays lost disks, late words, nodes
// that come and go, in either region: nothing acknowledged is lost, and nothing strays.
func TestConfinedPartitionsKeepGuaranteesWithinRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runRegionsProof(t, rapid.Uint64().Draw(t, "seed"), noBreakage))
	})
}

func TestSimulationDetectsEachRegionMutation(t *testing.T) {
	requireSeen(t, 600, runRegionsProof, otherRegion, oldGroupRegion, skipSync, countEmpty, recoverFromOne, retireUnemptied)
}

// TestConfinedGroupRecoversWithinRegion is the search of TestGroupRecoversAfterLastFault over
// two regions: no group waits for a node that may not take its seat.
func TestConfinedGroupRecoversWithinRegion(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		fleet := newRegionsFleet(t, seed, noBreakage)
		require.Empty(t, runLiveness(fleet), "seed %d", seed)
		require.Empty(t, fleet.strayed(), "seed %d", seed)
	}
}

// TestConfinedGroupStaysWithinRegion changes a group again and again while nodes of all
// regions fall silent, retire and come: a seat goes to a node of the region or to none.
func TestConfinedGroupStaysWithinRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		nodes, regionOf := regionsOfFleet(random)
		groups := foundingGroups(nodes, regionOf)
		groups = append(groups, wholeConfined(groups, nodes, regionOf)...)
		for i, region := range groups[0].Confined {
			within := nodesWithin(region, nodes, regionOf)
			groups = append(groups, confinedGroup(groups[0], groups[0].Partitions-uint32(len(groups[0].Confined)-i), within[0], len(within)))
		}
		for _, group := range groups {
			for range 30 {
				down, retiring := someNodes(random, nodes), someNodes(random, nodes)
				next := nextGroup(observation{
					group: group, nodes: nodes, retiring: retiring, regions: regionOf,
					healthy: func(node string) bool { return !down[node] }, settled: func(node string) bool { return !down[node] },
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

// regionsOfFleet returns nodes in up to four regions, and some whose zone has none.
func regionsOfFleet(random *rand.Rand) ([]directory.Replica, map[string]string) {
	nodes, regionOf := fleet(1+random.IntN(8), 1+random.IntN(3)), make(map[string]string)
	for _, node := range nodes {
		if random.IntN(8) > 0 {
			regionOf[node.Zone] = fmt.Sprintf("region-%d", random.IntN(4))
		}
	}
	return nodes, regionOf
}

func someNodes(random *rand.Rand, nodes []directory.Replica) map[string]bool {
	chosen := make(map[string]bool)
	for _, node := range nodes {
		chosen[node.Node] = random.IntN(6) == 0
	}
	return chosen
}
