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

// outcome is what a way to lend cost in the model.
type outcome struct {
	// rounds are calls to a majority, draws calls to a holder, own loans that a turn in the
	// holder's zone took back, away those that a turn in another zone did: it is refused
	// where the holder is cut off.
	rounds, draws, own, away int
}

// play lets programs of the model take their turns one after the other: budgets of two to
// eight turns' most, turns that use a third to all of their most, and one turn in ten in
// another zone.
func play(amount func(most, left int64) int64) (total outcome) {
	const most = 100
	random := rand.New(rand.NewPCG(3, 5))
	for range 2000 {
		budget := most * int64(2+random.IntN(7))
		var used, lent int64
		for zone, holder := 0, -1; ; {
			if random.IntN(10) == 0 {
				zone = 1 - zone
			}
			turn := int64(most/3 + random.IntN(2*most/3))
			if holder == zone {
				if total.draws++; lent >= most {
					lent, used = lent-turn, used+turn
					continue
				}
			}
			if total.rounds++; used+lent+most > budget {
				if lent == 0 || used+most > budget {
					break
				}
				if total.rounds++; holder == zone {
					total.own++
				} else {
					total.away++
				}
				lent, holder = 0, -1
			}
			used += turn
			if more := amount(most, budget-used-lent); more > 0 && holder != 1-zone {
				lent, holder = lent+more, zone
			}
		}
	}
	return total
}

// TestLendingReducesQuorumCallsAndRemoteRecalls compares ways to lend in the model.
func TestLendingReducesQuorumCallsAndRemoteRecalls(t *testing.T) {
	none := play(func(int64, int64) int64 { return 0 })
	chosen := play(Amount)
	everything := play(func(_, left int64) int64 { return left })
	twoThirds := play(func(most, left int64) int64 { return min(3*most, 2*left/3) })
	t.Logf("nothing lent %+v, half %+v, two thirds %+v, everything %+v", none, chosen, twoThirds, everything)
	require.Less(t, chosen.rounds, none.rounds)
	require.Less(t, chosen.away, everything.away)
}
