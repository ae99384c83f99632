package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// A member is isolated on average every isolationPeriod steps, for at most maxIsolationSteps.
	isolationPeriod, maxIsolationSteps = 25, 120
	// The members check whether to change their group on average every proposalPeriod steps.
	proposalPeriod     = 6
	isolationSchedules = 1500
)

// simIsolation isolates one node at a time from the other nodes. Clients can still reach it.
type simIsolation struct {
	random *rand.Rand
	// node is isolated until a step; empty means none.
	node      string
	untilStep int64
}

// isIsolated reports whether a node is isolated from the other nodes.
func (c *simCluster) isIsolated(node string) bool {
	return c.isolation != nil && c.isolation.node == node
}

// removedMemberLostRecords reports whether the most recently removed member has lost its records. A
// further disk loss before the exchange is complete would then be the second one.
func (p *simPartition) removedMemberLostRecords() bool {
	if p.group.Removed == nil {
		return false
	}
	identity := p.nodes[p.group.Removed.Node].state().currentIdentity(p.group.Partition)
	return !identity.GetRecovered() || identity.Claim != p.group.Removed.Claim
}

// isolationStep starts or ends an isolation, and lets the members check their group.
func (p *simPartition) isolationStep() {
	if p.isolation.node != "" && p.steps >= p.isolation.untilStep {
		p.isolation.node = ""
	}
	if p.isolation.node == "" && p.isolation.random.IntN(isolationPeriod) == 0 {
		p.isolation.node = p.group.Members[p.isolation.random.IntN(len(p.group.Members))].Node
		p.isolation.untilStep = p.steps + p.isolation.random.Int64N(maxIsolationSteps)
	}
	if p.isolation.random.IntN(proposalPeriod) == 0 {
		p.propose()
	}
}

// runIsolationSimulation runs one schedule with isolated members. It returns the first violated
// guarantee, or why the group does not recover afterwards.
func runIsolationSimulation(t require.TestingT, seed uint64, m mutation) string {
	p := newSimPartition(t, seed, m)
	defer p.close()
	p.enableAnnouncements(seed)
	p.isolation = &simIsolation{random: rand.New(rand.NewPCG(seed, 19))}
	for range simSteps {
		p.isolationStep()
		if p.step(); p.violation != "" {
			return p.violation
		}
	}
	p.isolation.node = ""
	return p.livenessFailure(2 * livenessRounds)
}

func TestNothingIsLostWhenIsolatedMembersAreRemoved(t *testing.T) {
	for seed := range uint64(isolationSchedules) {
		require.Empty(t, runIsolationSimulation(t, seed, noMutation), fmt.Sprintf("seed %d", seed))
	}
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runIsolationSimulation(t, rapid.Uint64().Draw(t, "seed"), noMutation))
	})
}

func TestSimulationDetectsEachRemovalMutation(t *testing.T) {
	requireDetected(t, 10*isolationSchedules, runIsolationSimulation, forgetRemovedMember, skipExchange, ignoreSeenIncarnations, ignoreEpoch)
}
