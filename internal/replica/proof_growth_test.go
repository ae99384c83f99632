package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// growthSchedules is how many schedules are played of groups that grow.
const growthSchedules = 2000

// runGrowthProof plays one schedule in which a group grows to as many seats as are wanted, and
// returns the first broken promise.
func runGrowthProof(t require.TestingT, seed uint64, broken breakage, seats uint32) string {
	p := newProof(t, seed, broken)
	defer p.close()
	p.announce(seed)
	p.group.Target = seats
	for i := proofReplicas; i < int(seats); i++ {
		p.addNode(fmt.Sprintf("n%d", i))
	}
	for range proofSteps {
		if p.growthStep(); p.violation != "" {
			return p.violation
		}
	}
	return ""
}

// growthStep does one thing; nobody retires.
func (p *proof) growthStep() {
	p.steps++
	switch chance := p.random.IntN(100); {
	case p.faultless(chance):
	case chance < 88:
		p.restart(p.any(), false)
	case chance < 92:
		p.wipe()
	case chance < 96:
		p.propose()
	default:
		p.spread()
	}
}

// A member that had joined lacked what was acknowledged after its copy, and with the next lost disk a turn was gone.
func TestNothingIsLostWhileGroupGrows(t *testing.T) {
	for seats := uint32(proofReplicas); seats <= maxSeats; seats++ {
		t.Run(fmt.Sprintf("to %d members", seats), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(growthSchedules) {
				require.Empty(t, runGrowthProof(t, seed, noBreakage, seats), fmt.Sprintf("seed %d", seed))
			}
		})
	}
}

func TestSimulationDetectsStaleJoiner(t *testing.T) {
	requireSeen(t, growthSchedules, func(t require.TestingT, seed uint64, broken breakage) string {
		return runGrowthProof(t, seed, broken, maxSeats)
	}, joinAtReceipt)
}
