package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

func TestOneRoundSuffices(t *testing.T) {
	const limit = OneRoundLimit
	own := &replicav1.Entry{Id: "own", Most: 10}
	settled := &replicav1.Entry{Id: "settled", Most: 10, Settled: true, Used: 3}
	inFlight := &replicav1.Entry{Id: "under way", Most: 10}
	ledger := func(entries ...*replicav1.Entry) turn.Ledger {
		merged := make(turn.Ledger)
		merged.Merge(entries)
		return merged
	}
	require.True(t, OneRoundSuffices(ledger(own), time.Millisecond, limit, "own"))
	require.True(t, OneRoundSuffices(ledger(own, settled), limit, limit, "own"))
	require.False(t, OneRoundSuffices(ledger(own, settled), limit+1, limit, "own"))
	require.False(t, OneRoundSuffices(ledger(own, inFlight), time.Millisecond, limit, "own"))
	require.GreaterOrEqual(t, SettleDelay, 2*OneRoundLimit, "the invariant at OneRound")
}

// TestLedgerMergeIsOrderIndependent compares the union of what replicas know with a
// plain oracle, for answers in any order and with repeats.
func TestLedgerMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "reservations")
		most := make([]int64, count)
		settledAt := make([]bool, count)
		used := make([]int64, count)
		for i := range count {
			most[i] = rapid.Int64Range(0, 50).Draw(t, "most")
			used[i] = rapid.Int64Range(0, most[i]).Draw(t, "used")
		}
		ledger := make(turn.Ledger)
		seen := make([]bool, count)
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			i := rapid.IntRange(0, count-1).Draw(t, "which")
			settled := rapid.Bool().Draw(t, "settled")
			entry := &replicav1.Entry{Id: fmt.Sprint(i), Most: most[i], Settled: settled}
			if settled {
				entry.Used, settledAt[i] = used[i], true
			}
			seen[i] = true
			if rapid.Bool().Draw(t, "alone") {
				ledger.Merge([]*replicav1.Entry{entry})
				continue
			}
			other := make(turn.Ledger)
			other.Merge([]*replicav1.Entry{entry})
			ledger.MergeLedger(other)
		}
		var committed, settledSum int64
		allSettled := true
		for i := range count {
			switch {
			case !seen[i]:
			case settledAt[i]:
				committed, settledSum = committed+used[i], settledSum+used[i]
			default:
				committed, allSettled = committed+most[i], false
			}
		}
		require.Equal(t, committed, ledger.Committed("none"))
		require.Equal(t, settledSum, ledger.Settled())
		require.Equal(t, allSettled, ledger.OthersSettled("none"))
	})
}

// TestDeferredRecordsAreTakenExactlyOnce plays additions, takings and failed
// writes.
func TestDeferredRecordsAreTakenExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting := newDeferred()
		added, written := 0, map[string]int{}
		write := func() {
			for _, record := range waiting.take() {
				written[record.GetReservation().Id]++
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				waiting.add(reservation(fmt.Sprint(added)))
				added++
			case 1:
				write()
			default:
				waiting.add(waiting.take()...)
			}
		}
		write()
		require.Len(t, written, added)
		for id, times := range written {
			require.Equal(t, 1, times, id)
		}
	})
}
