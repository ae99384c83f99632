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
	incarnation      = 7
	otherIncarnation = 8
	settleDelay      = 120 * time.Millisecond
	retention        = time.Minute
)

var start = time.Unix(5000, 0)

// testHolder is an account set with a simulated disk.
type testHolder struct {
	*AccountSet
	incarnation uint64
	disk        map[string]*replicav1.Account
}

func newTestHolder() *testHolder {
	return &testHolder{AccountSet: NewAccountSet(settleDelay), incarnation: incarnation, disk: make(map[string]*replicav1.Account)}
}

func (h *testHolder) write(now time.Time, account *replicav1.Account) {
	if account != nil && h.Apply(now, account, retention) {
		h.disk[account.Loan] = proto.CloneOf(account)
	}
}

func (h *testHolder) open(now time.Time, loan string, amount int64, incarnation uint64) {
	if h.incarnation != incarnation {
		return
	}
	if account := h.NewAccount("p", &replicav1.LoanOpening{Loan: loan, Amount: amount, Incarnation: incarnation}); account != nil {
		h.write(now, account)
		h.MarkOpened(loan)
	}
}

func (h *testHolder) draw(now time.Time, id string, maxTokens int64) replicav1.LoanOutcome {
	result := h.Draw(now, "p", &replicav1.LoanDraw{Id: id, Most: maxTokens})
	h.write(now, result.Account)
	return result.Outcome
}

func (h *testHolder) settle(now time.Time, id string, used int64) bool {
	account, accepted := h.Settle(&replicav1.Settlement{Id: id, Program: "p", Used: used})
	h.write(now, account)
	return accepted
}

func (h *testHolder) close(now time.Time, loan string, incarnation uint64) CloseResult {
	result := h.Close(now, "p", &replicav1.LoanClosing{Loan: loan, Incarnation: incarnation}, h.incarnation)
	if result.MustWrite {
		h.write(now, result.Account)
	}
	return result
}

func (h *testHolder) restart(now time.Time) {
	h.AccountSet = NewAccountSet(settleDelay)
	for _, account := range h.disk {
		h.Apply(now, account, retention)
	}
}

func (h *testHolder) wipeDisk() {
	h.AccountSet, h.disk, h.incarnation = NewAccountSet(settleDelay), make(map[string]*replicav1.Account), h.incarnation+1
}

const (
	outcomeNone      = replicav1.LoanOutcome_LOAN_OUTCOME_NONE
	outcomeDone      = replicav1.LoanOutcome_LOAN_OUTCOME_DONE
	outcomeExhausted = replicav1.LoanOutcome_LOAN_OUTCOME_EXHAUSTED
	outcomeNotYet    = replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET
)

func TestDrawsAreLimitedToLoanAmount(t *testing.T) {
	holder := newTestHolder()
	require.Equal(t, outcomeNone, holder.draw(start, "a", 10))
	holder.open(start, "l", 100, incarnation)
	require.Equal(t, outcomeDone, holder.draw(start, "a", 60))
	require.Equal(t, outcomeDone, holder.draw(start, "a", 60), "the same draw counts once")
	require.Equal(t, outcomeExhausted, holder.draw(start, "b", 41))
	require.True(t, holder.settle(start, "a", 20))
	require.Equal(t, outcomeDone, holder.draw(start, "b", 80))
	require.Equal(t, outcomeExhausted, holder.draw(start, "c", 1))
}

func TestClosedLoanIsTheSameForEveryCaller(t *testing.T) {
	holder := newTestHolder()
	holder.open(start, "l", 100, incarnation)
	holder.draw(start, "a", 30)
	holder.draw(start, "b", 30)
	holder.settle(start, "a", 10)
	require.Equal(t, outcomeNotYet, holder.close(start.Add(settleDelay-1), "l", incarnation).Outcome)
	later := start.Add(settleDelay)
	first := holder.close(later, "l", incarnation)
	require.Equal(t, outcomeDone, first.Outcome)
	require.False(t, holder.settle(later, "b", 5), "an unsettled draw belongs to the majority after closing")
	require.True(t, holder.settle(later, "a", 10), "a repeated settlement must be accepted")
	require.Equal(t, outcomeNone, holder.draw(later, "c", 1))
	holder.restart(later)
	holder.open(later, "l", 100, incarnation)
	require.Equal(t, outcomeNone, holder.draw(later, "c", 1))
	require.True(t, proto.Equal(first.Account, holder.close(later, "l", incarnation).Account))
	records := ReturnRecords(first.Account, retention)
	require.Len(t, records, 2)
	require.Equal(t, "b", records[0].GetReservation().Id)
	require.EqualValues(t, 10, records[1].GetSettlement().Used)
}

func TestLoanClosedBeforeOpeningStaysClosed(t *testing.T) {
	holder := newTestHolder()
	require.Equal(t, outcomeNone, holder.close(start, "l", otherIncarnation).Outcome, "another incarnation may have opened the loan")
	require.Equal(t, outcomeDone, holder.close(start, "l", incarnation).Outcome)
	holder.open(start, "l", 100, incarnation)
	require.Equal(t, outcomeNone, holder.draw(start, "a", 1))
}

func TestOnlyOpeningProcessServesDrawsForLifetime(t *testing.T) {
	holder := newTestHolder()
	holder.open(start, "l", 100, incarnation)
	require.Empty(t, holder.ExpiredAccounts(start.Add(Lifetime-1), false))
	require.Len(t, holder.ExpiredAccounts(start, true), 1)
	require.Equal(t, outcomeDone, holder.draw(start.Add(Lifetime-1), "a", 1))
	require.Equal(t, outcomeNone, holder.draw(start.Add(Lifetime), "b", 1))
	require.Len(t, holder.ExpiredAccounts(start.Add(Lifetime), false), 1)
	holder.restart(start)
	require.Equal(t, outcomeNone, holder.draw(start, "c", 1))
	require.Len(t, holder.ExpiredAccounts(start, false), 1)
	require.Equal(t, outcomeNotYet, holder.close(start, "l", incarnation).Outcome, "the account may have been opened just before the restart")
}

func TestAccountIsPrunedAfterReturn(t *testing.T) {
	holder := newTestHolder()
	holder.open(start, "l", 100, incarnation)
	later := start.Add(time.Hour)
	holder.PruneReturned(later)
	require.Len(t, holder.Accounts(), 1, "an open account must not be pruned")
	holder.close(later, "l", incarnation)
	holder.PruneReturned(later.Add(time.Hour))
	require.Len(t, holder.UnreturnedAccounts(), 1, "the account has not been returned to the majority")
	holder.MarkReturned(later, "l")
	require.Empty(t, holder.UnreturnedAccounts())
	holder.PruneReturned(later.Add(retention))
	require.Len(t, holder.Accounts(), 1)
	holder.PruneReturned(later.Add(retention + pruneMargin))
	require.Empty(t, holder.Accounts())
	require.Empty(t, holder.byProgram)
}

// modelLoan is a loan as granted by the majority, with the draws made on it.
type modelLoan struct {
	id          string
	incarnation uint64
	amount      int64
	drawn, used map[string]int64
	// returnRecords are the records returned when the loan was closed; nil until then.
	returnRecords []*replicav1.Record
}

// TestDrawsNeverExceedLoanUnderRandomCalls runs calls in random order, repeated and late, with
// restarts and wiped disks, and compares the result with a count of the granted draws.
func TestDrawsNeverExceedLoanUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, now, serial := newTestHolder(), start, 0
		var loans []*modelLoan
		anyLoan := func() *modelLoan { return loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")] }
		t.Repeat(map[string]func(*rapid.T){
			"lend": func(*rapid.T) {
				serial++
				loans = append(loans, &modelLoan{
					id: fmt.Sprint("l", serial), incarnation: holder.incarnation, amount: rapid.Int64Range(0, 100).Draw(t, "amount"),
					drawn: map[string]int64{}, used: map[string]int64{},
				})
			},
			"open": func(*rapid.T) {
				if len(loans) > 0 {
					loan := anyLoan()
					holder.open(now, loan.id, loan.amount, loan.incarnation)
				}
			},
			"draw": func(*rapid.T) {
				serial++
				id, maxTokens := fmt.Sprint("d", serial), rapid.Int64Range(0, 60).Draw(t, "most")
				if holder.draw(now, id, maxTokens) != outcomeDone {
					return
				}
				for _, loan := range loans {
					if account := holder.disk[loan.id]; account != nil && findDraw(account, id) != nil {
						loan.drawn[id] = maxTokens
					}
				}
			},
			"settle": func(*rapid.T) {
				if len(loans) == 0 {
					return
				}
				loan := anyLoan()
				ids := slices.Sorted(maps.Keys(loan.drawn))
				if len(ids) == 0 {
					return
				}
				id := rapid.SampledFrom(ids).Draw(t, "settled")
				if used, settled := loan.used[id]; settled {
					holder.settle(now, id, used)
				} else if used := loan.drawn[id] / 2; holder.settle(now, id, used) {
					loan.used[id] = used
				}
			},
			"close": func(*rapid.T) {
				if len(loans) == 0 {
					return
				}
				loan := anyLoan()
				result := holder.close(now, loan.id, loan.incarnation)
				if result.Outcome != outcomeDone {
					return
				}
				records := ReturnRecords(result.Account, retention)
				if loan.returnRecords != nil {
					require.Equal(t, fmt.Sprint(loan.returnRecords), fmt.Sprint(records), "closing a loan again must return the same records")
				}
				loan.returnRecords = records
			},
			"time": func(*rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{1, settleDelay, Lifetime}).Draw(t, "passes"))
			},
			"restart": func(*rapid.T) { holder.restart(now) },
			"wipe":    func(*rapid.T) { holder.wipeDisk() },
			"": func(*rapid.T) {
				for _, loan := range loans {
					checkModelLoan(t, loan)
				}
			},
		})
	})
}

// checkModelLoan compares the draws on a loan with its amount, and with the records returned when
// it was closed.
func checkModelLoan(t *rapid.T, loan *modelLoan) {
	var drawn, returned int64
	for id, committed := range loan.drawn {
		if used, settled := loan.used[id]; settled {
			committed = used
		}
		drawn += committed
	}
	require.LessOrEqual(t, drawn, loan.amount)
	if loan.returnRecords == nil {
		return
	}
	for _, record := range loan.returnRecords {
		returned += record.GetReservation().GetMost() + record.GetSettlement().GetUsed()
	}
	require.Equal(t, drawn, returned, "the returned records must account for all draws")
}
