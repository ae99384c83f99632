package turn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

var start = time.Unix(5000, 0)

func turnRecord(id, previous string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Previous: previous}}}
}

func reservation(id, program string, most int64) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{Id: id, Program: program, Most: most}}}
}

func settlement(id, program string, used int64) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{Id: id, Program: program, Used: used}}}
}

func TestAChainEndsWhereALinkIsMissing(t *testing.T) {
	store := NewStore()
	store.Apply(start, turnRecord("c", "b"))
	store.Apply(start, turnRecord("a", ""))
	require.Len(t, store.Chain("c"), 1)
	require.Empty(t, store.Chain("b"))
	store.Apply(start, turnRecord("b", "a"))
	require.Len(t, store.Chain("c"), 3)
}

func TestARecordIsTakenOnce(t *testing.T) {
	store := NewStore()
	require.True(t, store.Apply(start, turnRecord("a", "")))
	require.False(t, store.Apply(start, turnRecord("a", "other")), "turns never change")
	require.Empty(t, store.Chain("a")[0].Previous)
	require.True(t, store.Apply(start, reservation("r", "p", 5)))
	require.False(t, store.Apply(start, reservation("r", "p", 9)))
}

func TestAfterPassesEveryRecordOnInParts(t *testing.T) {
	store := NewStore()
	for _, id := range []string{"a", "b", "c", "d"} {
		store.Apply(start, turnRecord(id, ""))
	}
	var position uint64
	var seen []string
	for more := true; more; {
		var records []Stored
		records, position, more = store.After(position, 1)
		for _, record := range records {
			seen = append(seen, record.GetTurn().Id)
		}
	}
	require.Equal(t, []string{"a", "b", "c", "d"}, seen)
}

// TestTheOrderOfRecordsDoesNotMatter compares two stores that got the same
// records in different orders, and the ledger with a plain sum.
func TestTheOrderOfRecordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*replicav1.Record
		var committed int64
		for n := range rapid.IntRange(0, 8).Draw(t, "reservations") {
			id := string(rune('a' + n))
			most := rapid.Int64Range(0, 50).Draw(t, "most")
			records = append(records, reservation(id, "p", most))
			if !rapid.Bool().Draw(t, "settled") {
				committed += most
				continue
			}
			used := rapid.Int64Range(0, most).Draw(t, "used")
			records = append(records, settlement(id, "p", used))
			committed += used
		}
		order := rapid.Permutation(records).Draw(t, "order")
		one, other := NewStore(), NewStore()
		ledger := make(Ledger)
		for i, record := range order {
			one.Apply(start, record)
			if i%2 == 0 {
				other.Apply(start, record)
			}
		}
		for _, record := range order {
			other.Apply(start, record)
		}
		ledger.Merge(one.Entries("p"))
		ledger.Merge(other.Entries("p"))
		require.Equal(t, committed, ledger.Committed(""))
		require.True(t, ledger.Fits("new", 10, committed+10))
		require.False(t, ledger.Fits("new", 11, committed+10))
	})
}

// TestASettlementKnownToOneReplicaHolds merges a replica that has it and one
// that does not.
func TestASettlementKnownToOneReplicaHolds(t *testing.T) {
	with, without := NewStore(), NewStore()
	for _, store := range []*Store{with, without} {
		store.Apply(start, reservation("r", "p", 40))
	}
	with.Apply(start, settlement("r", "p", 7))
	ledger := make(Ledger)
	ledger.Merge(without.Entries("p"))
	ledger.Merge(with.Entries("p"))
	ledger.Merge(without.Entries("p"))
	require.Equal(t, int64(7), ledger.Committed(""))
}

func kept(record *replicav1.Record, retention time.Duration) *replicav1.Record {
	record.RetentionMs = retention.Milliseconds()
	return record
}

func TestSpaceIsGivenBackAfterTheRetention(t *testing.T) {
	store := NewStore()
	store.Apply(start, kept(turnRecord("a", ""), time.Minute))
	store.Apply(start, kept(reservation("r", "p", 5), time.Minute))
	store.Apply(start, kept(settlement("r", "p", 5), time.Minute))
	store.Expire(start.Add(time.Minute))
	require.Equal(t, 3, store.Len())
	store.Expire(start.Add(time.Minute + ExpiryMargin + time.Second))
	require.Zero(t, store.Len())
	require.Zero(t, store.Bytes())
	require.Empty(t, store.Chain("a"))
	require.Empty(t, store.Entries("p"))
}

func TestATurnIsKeptWithItsChain(t *testing.T) {
	store := NewStore()
	store.Apply(start, kept(turnRecord("a", ""), time.Minute))
	store.Apply(start, kept(turnRecord("other", ""), time.Minute))
	later := start.Add(50 * time.Second)
	store.Apply(later, kept(turnRecord("b", "a"), time.Minute))
	store.Expire(start.Add(80 * time.Second))
	require.Len(t, store.Chain("b"), 2)
	require.Empty(t, store.Chain("other"))
}

func TestABudgetIsKeptWhileItsProgramGoesOn(t *testing.T) {
	store := NewStore()
	store.Apply(start, kept(reservation("old", "p", 5), time.Minute))
	store.Apply(start.Add(50*time.Second), kept(reservation("new", "p", 5), time.Minute))
	store.Expire(start.Add(80 * time.Second))
	require.Len(t, store.Entries("p"), 2, "the sum of a live program loses nothing")
}

func TestPositionsHoldWhileRecordsAreDropped(t *testing.T) {
	store := NewStore()
	store.Apply(start, kept(turnRecord("a", ""), time.Second))
	store.Apply(start, kept(turnRecord("b", ""), time.Hour))
	_, next, _ := store.After(0, 1)
	store.Expire(start.Add(time.Minute))
	records, _, more := store.After(next, 1)
	require.Equal(t, "b", records[0].GetTurn().Id)
	require.False(t, more)
}

// TestABudgetIsNotSpentByALoan holds that a loan counts whole, and that what it may have
// left is not told as spent.
func TestABudgetIsNotSpentByALoan(t *testing.T) {
	ledger := make(Ledger)
	holder := &replicav1.LoanHolder{Node: "n", Incarnation: 7}
	ledger.Merge([]*replicav1.Entry{{Id: "l", Most: 50, Holder: holder}, {Id: "a", Most: 30, Settled: true, Used: 20}})
	require.True(t, ledger.Fits("b", 30, 100))
	require.False(t, ledger.Fits("b", 31, 100))
	require.True(t, ledger.FitsWithoutLoans("b", 80, 100))
	require.False(t, ledger.FitsWithoutLoans("b", 81, 100))
	require.Len(t, ledger.Loans(), 1)
	ledger.Merge([]*replicav1.Entry{{Id: "l", Most: -1, Settled: true, Used: 10}})
	require.Empty(t, ledger.Loans())
	require.EqualValues(t, 30, ledger.Settled())
	require.True(t, ledger.Fits("b", 70, 100))
	require.Equal(t, holder, ledger["l"].Holder)
}

// TestAReplicaTellsWhoHoldsALoan holds that a loan's holder is told with the loan, whichever
// of its records came first.
func TestAReplicaTellsWhoHoldsALoan(t *testing.T) {
	store := NewStore()
	store.Apply(start, settlement("l", "p", 5))
	lent := reservation("l", "p", 50)
	lent.GetReservation().Holder = &replicav1.LoanHolder{Node: "n", Incarnation: 7}
	store.Apply(start, lent)
	require.Equal(t, "n", store.Entries("p")[0].Holder.Node)
}

// TestALoanIsRememberedLongerThanTheTurnsOfItsProgram holds that a program is not
// forgotten with the first of its records.
func TestALoanIsRememberedLongerThanTheTurnsOfItsProgram(t *testing.T) {
	store := NewStore()
	first, lent := reservation("a", "p", 10), reservation("l", "p", 50)
	first.RetentionMs, lent.RetentionMs = 1000, 16000
	store.Apply(start, first)
	store.Apply(start, lent)
	store.Expire(start.Add(16*time.Second + ExpiryMargin))
	require.Len(t, store.Entries("p"), 2)
	store.Expire(start.Add(16*time.Second + ExpiryMargin + 1))
	require.Empty(t, store.Entries("p"))
	require.Zero(t, store.Len())
}
