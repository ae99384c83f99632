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
	unsettled := &replicav1.Entry{Id: "not settled", Most: 10}
	ledger := func(entries ...*replicav1.Entry) turn.Ledger {
		merged := make(turn.Ledger)
		merged.Merge(entries)
		return merged
	}
	require.True(t, OneRoundSuffices(ledger(own), time.Millisecond, limit, "own"))
	require.True(t, OneRoundSuffices(ledger(own, settled), limit, limit, "own"))
	require.False(t, OneRoundSuffices(ledger(own, settled), limit+1, limit, "own"))
	require.False(t, OneRoundSuffices(ledger(own, unsettled), time.Millisecond, limit, "own"))
	require.GreaterOrEqual(t, SettleDelay, 2*OneRoundLimit, "required by the invariant at OneRoundSuffices")
}

// TestLedgerMergeIsOrderIndependent compares merged answers with a simple reference
// implementation, for answers in any order and with repetitions.
func TestLedgerMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "reservations")
		maxTokens := make([]int64, count)
		settledAt := make([]bool, count)
		used := make([]int64, count)
		for i := range count {
			maxTokens[i] = rapid.Int64Range(0, 50).Draw(t, "most")
			used[i] = rapid.Int64Range(0, maxTokens[i]).Draw(t, "used")
		}
		ledger := make(turn.Ledger)
		seen := make([]bool, count)
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			i := rapid.IntRange(0, count-1).Draw(t, "which")
			settled := rapid.Bool().Draw(t, "settled")
			entry := &replicav1.Entry{Id: fmt.Sprint(i), Most: maxTokens[i], Settled: settled}
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
				committed, allSettled = committed+maxTokens[i], false
			}
		}
		require.Equal(t, committed, ledger.Committed("none"))
		require.Equal(t, settledSum, ledger.Settled())
		require.Equal(t, allSettled, ledger.OthersSettled("none"))
	})
}

// TestDeferredRecordsAreTakenExactlyOnce runs random sequences of additions, successful writes
// and failed writes.
func TestDeferredRecordsAreTakenExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deferred := newDeferredRecords()
		addedCount, written := 0, map[string]int{}
		write := func() {
			for _, record := range deferred.takeAll() {
				written[record.GetReservation().Id]++
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				deferred.add(reservation(fmt.Sprint(addedCount)))
				addedCount++
			case 1:
				write()
			default:
				deferred.add(deferred.takeAll()...)
			}
		}
		write()
		require.Len(t, written, addedCount)
		for id, count := range written {
			require.Equal(t, 1, count, id)
		}
	})
}
