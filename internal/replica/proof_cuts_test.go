package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// cutShare is in how many steps one member is cut off, longestCut for how many steps at most.
	cutShare, longestCut = 25, 120
	// lookShare is in how many steps the members look whether their group is to change.
	lookShare = 6
	// cutSchedules is how many schedules are played of members that are cut off.
	cutSchedules = 1500
)

// proofCuts cuts one node at a time off from the others, which clients reach all the same.
type proofCuts struct {
	random *rand.Rand
	// node is cut off until a step; "" is none.
	node  string
	until int64
}

// cut reports whether a node is cut off from the others.
func (f *proofFleet) cut(node string) bool { return f.cuts != nil && f.cuts.node == node }

// removedLost reports whether the member that was removed last has lost what it held: with the
// next disk two would be lost, until the others have exchanged what they hold.
func (p *proof) removedLost() bool {
	if p.group.Removed == nil {
		return false
	}
	identity := p.nodes[p.group.Removed.Node].state().currentIdentity(p.group.Partition)
	return !identity.GetRecovered() || identity.Claim != p.group.Removed.Claim
}

// cutStep begins or ends a cut, and lets the members look at their group.
func (p *proof) cutStep() {
	if p.cuts.node != "" && p.steps >= p.cuts.until {
		p.cuts.node = ""
	}
	if p.cuts.node == "" && p.cuts.random.IntN(cutShare) == 0 {
		p.cuts.node = p.group.Members[p.cuts.random.IntN(len(p.group.Members))].Node
		p.cuts.until = p.steps + p.cuts.random.Int64N(longestCut)
	}
	if p.cuts.random.IntN(lookShare) == 0 {
		p.propose()
	}
}

// runCutsProof plays one schedule in which members are cut off, and returns the first broken
// promise, or why the group does not come back after it.
func runCutsProof(t require.TestingT, seed uint64, broken breakage) string {
	p := newProof(t, seed, broken)
	defer p.close()
	p.announce(seed)
	p.cuts = &proofCuts{random: rand.New(rand.NewPCG(seed, 19))}
	for range proofSteps {
		p.cutStep()
		if p.step(); p.violation != "" {
			return p.violation
		}
	}
	p.cuts.node = ""
	return p.stuckAfter(2 * livenessRounds)
}

func TestNothingIsLostWhenIsolatedMembersAreRemoved(t *testing.T) {
	for seed := range uint64(cutSchedules) {
		require.Empty(t, runCutsProof(t, seed, noBreakage), fmt.Sprintf("seed %d", seed))
	}
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runCutsProof(t, rapid.Uint64().Draw(t, "seed"), noBreakage))
	})
}

func TestSimulationDetectsEachRemovalMutation(t *testing.T) {
	requireSeen(t, 10*cutSchedules, runCutsProof, forgetRemoved, skipExchange, ignoreSeen, skipFence)
}
