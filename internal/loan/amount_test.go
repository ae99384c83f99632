package loan

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAmount(t *testing.T) {
	require.Zero(t, Amount(0, 100))
	require.Zero(t, Amount(10, 19))
	require.EqualValues(t, 10, Amount(10, 20))
	require.EqualValues(t, 30, Amount(10, 1000))
}

// lendingCost is the cost of a lending policy in the model.
type lendingCost struct {
	// quorumCalls are calls to a majority and holderCalls are calls to a holder. localRecalls are
	// loans recalled by a turn in the holder's zone. remoteRecalls are loans recalled by a turn
	// in another zone, which is refused if the holder is unreachable.
	quorumCalls, holderCalls, localRecalls, remoteRecalls int
}

// simulateLending runs the turns of the model's programs one after the other. Budgets cover two
// to eight turns of maximum size, turns use between a third and all of their maximum, and one
// turn in ten is in another zone.
func simulateLending(loanAmount func(maxTokens, available int64) int64) (cost lendingCost) {
	const maxTokens = 100
	random := rand.New(rand.NewPCG(3, 5))
	for range 2000 {
		budget := maxTokens * int64(2+random.IntN(7))
		var used, onLoan int64
		for zone, holder := 0, -1; ; {
			if random.IntN(10) == 0 {
				zone = 1 - zone
			}
			turnTokens := int64(maxTokens/3 + random.IntN(2*maxTokens/3))
			if holder == zone {
				if cost.holderCalls++; onLoan >= maxTokens {
					onLoan, used = onLoan-turnTokens, used+turnTokens
					continue
				}
			}
			if cost.quorumCalls++; used+onLoan+maxTokens > budget {
				if onLoan == 0 || used+maxTokens > budget {
					break
				}
				if cost.quorumCalls++; holder == zone {
					cost.localRecalls++
				} else {
					cost.remoteRecalls++
				}
				onLoan, holder = 0, -1
			}
			used += turnTokens
			if lent := loanAmount(maxTokens, budget-used-onLoan); lent > 0 && holder != 1-zone {
				onLoan, holder = onLoan+lent, zone
			}
		}
	}
	return cost
}

// TestLendingReducesQuorumCallsAndRemoteRecalls compares lending policies in the model.
func TestLendingReducesQuorumCallsAndRemoteRecalls(t *testing.T) {
	nothing := simulateLending(func(int64, int64) int64 { return 0 })
	actual := simulateLending(Amount)
	everything := simulateLending(func(_, available int64) int64 { return available })
	twoThirds := simulateLending(func(maxTokens, available int64) int64 { return min(3*maxTokens, 2*available/3) })
	t.Logf("no loans %+v, half of the budget %+v, two thirds %+v, all of it %+v", nothing, actual, twoThirds, everything)
	require.Less(t, actual.quorumCalls, nothing.quorumCalls)
	require.Less(t, actual.remoteRecalls, everything.remoteRecalls)
}
