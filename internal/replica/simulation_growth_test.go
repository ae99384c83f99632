package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const growthSchedules = 2000

// runGrowthSimulation runs one schedule in which a group grows to the given number of seats, and
// returns the first violated guarantee.
func runGrowthSimulation(t require.TestingT, seed uint64, m mutation, seats uint32) string {
	p := newSimPartition(t, seed, m)
	defer p.close()
	p.enableAnnouncements(seed)
	p.group.Target = seats
	for i := simReplicas; i < int(seats); i++ {
		p.addNode(fmt.Sprintf("n%d", i))
	}
	for range simSteps {
		if p.growthStep(); p.violation != "" {
			return p.violation
		}
	}
	return ""
}

// growthStep performs one random step; no node retires.
func (p *simPartition) growthStep() {
	p.steps++
	switch chance := p.random.IntN(100); {
	case p.faultFreeStep(chance):
	case chance < 88:
		p.restart(p.randomNode(), false)
	case chance < 92:
		p.loseDiskIfTolerated()
	case chance < 96:
		p.propose()
	default:
		p.distributeGroupToRandomNode()
	}
}

// A new member lacked the records acknowledged after its copy, and the next lost disk lost a turn.
func TestNothingIsLostWhileGroupGrows(t *testing.T) {
	for seats := uint32(simReplicas); seats <= maxSeats; seats++ {
		t.Run(fmt.Sprintf("to %d members", seats), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(growthSchedules) {
				require.Empty(t, runGrowthSimulation(t, seed, noMutation, seats), fmt.Sprintf("seed %d", seed))
			}
		})
	}
}

func TestSimulationDetectsStaleJoiner(t *testing.T) {
	requireDetected(t, growthSchedules, func(t require.TestingT, seed uint64, m mutation) string {
		return runGrowthSimulation(t, seed, m, maxSeats)
	}, countStaleJoiner)
}
