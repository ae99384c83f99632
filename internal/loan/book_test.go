package loan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	life        = 7
	otherLife   = 8
	settleDelay = 120 * time.Millisecond
	retention   = time.Minute
)

var start = time.Unix(5000, 0)

// holder is a book with the disk that its accounts are written to.
type holder struct {
	*AccountSet
	life uint64
	disk map[string]*replicav1.Account
}

func newHolder() *holder {
	return &holder{AccountSet: NewAccountSet(settleDelay), life: life, disk: make(map[string]*replicav1.Account)}
}

func (h *holder) write(now time.Time, account *replicav1.Account) {
	if account != nil && h.Apply(now, account, retention) {
		h.disk[account.Loan] = proto.CloneOf(account)
	}
}

func (h *holder) open(now time.Time, loan string, amount int64, incarnation uint64) {
	if h.life != incarnation {
		return
	}
	if account := h.NewAccount("p", &replicav1.LoanOpening{Loan: loan, Amount: amount, Incarnation: incarnation}); account != nil {
		h.write(now, account)
		h.MarkOpened(loan)
	}
}

func (h *holder) draw(now time.Time, id string, most int64) replicav1.LoanOutcome {
	drawing := h.Draw(now, "p", &replicav1.LoanDraw{Id: id, Most: most})
	h.write(now, drawing.Account)
	return drawing.Outcome
}

func (h *holder) settle(now time.Time, id string, used int64) bool {
	account, taken := h.Settle(&replicav1.Settlement{Id: id, Program: "p", Used: used})
	h.write(now, account)
	return taken
}

func (h *holder) close(now time.Time, loan string, incarnation uint64) CloseResult {
	closing := h.Close(now, "p", &replicav1.LoanClosing{Loan: loan, Incarnation: incarnation}, h.life)
	if closing.MustWrite {
		h.write(now, closing.Account)
	}
	return closing
}

func (h *holder) restart(now time.Time) {
	h.AccountSet = NewAccountSet(settleDelay)
	for _, account := range h.disk {
		h.Apply(now, account, retention)
	}
}

func (h *holder) wipe() {
	h.AccountSet, h.disk, h.life = NewAccountSet(settleDelay), make(map[string]*replicav1.Account), h.life+1
}

const (
	none      = replicav1.LoanOutcome_LOAN_OUTCOME_NONE
	done      = replicav1.LoanOutcome_LOAN_OUTCOME_DONE
	exhausted = replicav1.LoanOutcome_LOAN_OUTCOME_EXHAUSTED
	notYet    = replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET
)

func TestDrawsAreLimitedToLoanAmount(t *testing.T) {
	h := newHolder()
	require.Equal(t, none, h.draw(start, "a", 10))
	h.open(start, "l", 100, life)
	require.Equal(t, done, h.draw(start, "a", 60))
	require.Equal(t, done, h.draw(start, "a", 60), "the same draw counts once")
	require.Equal(t, exhausted, h.draw(start, "b", 41))
	require.True(t, h.settle(start, "a", 20))
	require.Equal(t, done, h.draw(start, "b", 80))
	require.Equal(t, exhausted, h.draw(start, "c", 1))
}

func TestClosedLoanIsTheSameForEveryCaller(t *testing.T) {
	h := newHolder()
	h.open(start, "l", 100, life)
	h.draw(start, "a", 30)
	h.draw(start, "b", 30)
	h.settle(start, "a", 10)
	require.Equal(t, notYet, h.close(start.Add(settleDelay-1), "l", life).Outcome)
	later := start.Add(settleDelay)
	first := h.close(later, "l", life)
	require.Equal(t, done, first.Outcome)
	require.False(t, h.settle(later, "b", 5), "what was not settled is the majority's")
	require.True(t, h.settle(later, "a", 10), "a settlement that is told twice was taken")
	require.Equal(t, none, h.draw(later, "c", 1))
	h.restart(later)
	h.open(later, "l", 100, life)
	require.Equal(t, none, h.draw(later, "c", 1))
	require.True(t, proto.Equal(first.Account, h.close(later, "l", life).Account))
	records := ReturnRecords(first.Account, retention)
	require.Len(t, records, 2)
	require.Equal(t, "b", records[0].GetReservation().Id)
	require.EqualValues(t, 10, records[1].GetSettlement().Used)
}

func TestLoanClosedBeforeOpeningStaysClosed(t *testing.T) {
	h := newHolder()
	require.Equal(t, none, h.close(start, "l", otherLife).Outcome, "another life may have opened it")
	require.Equal(t, done, h.close(start, "l", life).Outcome)
	h.open(start, "l", 100, life)
	require.Equal(t, none, h.draw(start, "a", 1))
}

func TestOnlyOpeningProcessServesDrawsForLifetime(t *testing.T) {
	h := newHolder()
	h.open(start, "l", 100, life)
	require.Empty(t, h.ExpiredAccounts(start.Add(Lifetime-1), false))
	require.Len(t, h.ExpiredAccounts(start, true), 1)
	require.Equal(t, done, h.draw(start.Add(Lifetime-1), "a", 1))
	require.Equal(t, none, h.draw(start.Add(Lifetime), "b", 1))
	require.Len(t, h.ExpiredAccounts(start.Add(Lifetime), false), 1)
	h.restart(start)
	require.Equal(t, none, h.draw(start, "c", 1))
	require.Len(t, h.ExpiredAccounts(start, false), 1)
	require.Equal(t, notYet, h.close(start, "l", life).Outcome, "it may have been opened just before")
}

func TestAccountIsPrunedAfterReturn(t *testing.T) {
	h := newHolder()
	h.open(start, "l", 100, life)
	later := start.Add(time.Hour)
	h.PruneReturned(later)
	require.Len(t, h.Accounts(), 1, "it is open")
	h.close(later, "l", life)
	h.PruneReturned(later.Add(time.Hour))
	require.Len(t, h.UnreturnedAccounts(), 1, "nobody has told the majority")
	h.MarkReturned(later, "l")
	require.Empty(t, h.UnreturnedAccounts())
	h.PruneReturned(later.Add(retention))
	require.Len(t, h.Accounts(), 1)
	h.PruneReturned(later.Add(retention + forgetMargin))
	require.Empty(t, h.Accounts())
	require.Empty(t, h.programs)
}

// lent is a loan as the majority knows it, and what was handed out of it.
type lent struct {
	id          string
	incarnation uint64
	amount      int64
	drawn, used map[string]int64
	// returned is what its closing told, nil until then.
	returned []*replicav1.Record
}

// TestDrawsNeverExceedLoanUnderRandomCalls plays calls in any order, doubled and late, with
// restarts and wiped disks, against a count of what was handed out.
func TestDrawsNeverExceedLoanUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now, serial := newHolder(), start, 0
		var loans []*lent
		anyLoan := func() *lent { return loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")] }
		t.Repeat(map[string]func(*rapid.T){
			"lend": func(*rapid.T) {
				serial++
				loans = append(loans, &lent{
					id: fmt.Sprint("l", serial), incarnation: h.life, amount: rapid.Int64Range(0, 100).Draw(t, "amount"),
					drawn: map[string]int64{}, used: map[string]int64{},
				})
			},
			"open": func(*rapid.T) {
				if len(loans) > 0 {
					each := anyLoan()
					h.open(now, each.id, each.amount, each.incarnation)
				}
			},
			"draw": func(*rapid.T) {
				serial++
				id, most := fmt.Sprint("d", serial), rapid.Int64Range(0, 60).Draw(t, "most")
				if h.draw(now, id, most) != done {
					return
				}
				for _, each := range loans {
					if account := h.disk[each.id]; account != nil && drawn(account, id) != nil {
						each.drawn[id] = most
					}
				}
			},
			"settle": func(*rapid.T) {
				if len(loans) == 0 {
					return
				}
				each := anyLoan()
				ids := slices.Sorted(maps.Keys(each.drawn))
				if len(ids) == 0 {
					return
				}
				id := rapid.SampledFrom(ids).Draw(t, "settled")
				if used, again := each.used[id]; again {
					h.settle(now, id, used)
				} else if used := each.drawn[id] / 2; h.settle(now, id, used) {
					each.used[id] = used
				}
			},
			"close": func(*rapid.T) {
				if len(loans) == 0 {
					return
				}
				each := anyLoan()
				closing := h.close(now, each.id, each.incarnation)
				if closing.Outcome != done {
					return
				}
				records := ReturnRecords(closing.Account, retention)
				if each.returned != nil {
					require.Equal(t, fmt.Sprint(each.returned), fmt.Sprint(records), "told differently")
				}
				each.returned = records
			},
			"time": func(*rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{1, settleDelay, Lifetime}).Draw(t, "passes"))
			},
			"restart": func(*rapid.T) { h.restart(now) },
			"wipe":    func(*rapid.T) { h.wipe() },
			"": func(*rapid.T) {
				for _, each := range loans {
					checkLoan(t, each)
				}
			},
		})
	})
}

// checkLoan compares what was handed out of a loan with its amount, and with what its
// closing gave back.
func checkLoan(t *rapid.T, each *lent) {
	var handedOut, counted int64
	for id, most := range each.drawn {
		if used, settled := each.used[id]; settled {
			most = used
		}
		handedOut += most
	}
	require.LessOrEqual(t, handedOut, each.amount)
	if each.returned == nil {
		return
	}
	for _, record := range each.returned {
		counted += record.GetReservation().GetMost() + record.GetSettlement().GetUsed()
	}
	require.Equal(t, handedOut, counted, "what was given back is not what was not handed out")
}
