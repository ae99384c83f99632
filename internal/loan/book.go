// Package loan keeps the accounts of budgets that were lent to one replica, and decides
// how much is lent. It is pure: calls and the time go in, decisions and the accounts to
// be written come out.
//
// A loan is a reservation of a program that a majority holds and that names its holder.
// It counts at its whole amount until it is settled, so whatever becomes of the holder,
// no more can be handed out than the majority has granted. Invariants:
//   - The holder opens an account only as the life of its data folder that the loan
//     names: another life may have forgotten what was drawn.
//   - What the holder answers rests on what is on its disk.
//   - A closed account never changes, nor does one that is closed before it is opened, so
//     that every caller learns the same of it.
//   - An account is closed turn.SettleDelay after it was opened at the earliest, which
//     reservations that count in one round rest on.
//   - Only the process that opened an account hands out of it, for Lifetime at most: the
//     majority forgets a program that it has not heard of for long, and a process that
//     begins anew does not know how long ago that was.
package loan

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// Lifetime is for how long an account may be drawn on: some turns with the pauses between
// them. The majority keeps a loan for that much longer than its program's other records.
const Lifetime = 15 * time.Second

// AccountSet is the accounts of one seat. It is not safe for concurrent use.
type AccountSet struct {
	// settleDelay is how long after its opening an account may be closed.
	settleDelay time.Duration
	accounts    map[string]*held
	// programs are the accounts of each program, in the order in which they came.
	programs map[string][]*held
}

// held is an account and what this process knows of its time.
type held struct {
	account *replicav1.Account
	// known is when this process opened the account or read it from the disk.
	known time.Time
	// opened is set where this process opened it.
	opened bool
	// retention is how long the account is kept after the majority has it back.
	retention time.Duration
	// returned is when this process wrote to the majority what a closed account gives
	// back; zero until then.
	returned time.Time
}

// NewAccountSet returns a book without accounts. settleDelay is turn's delay of settlements.
func NewAccountSet(settleDelay time.Duration) *AccountSet {
	return &AccountSet{settleDelay: settleDelay, accounts: make(map[string]*held), programs: make(map[string][]*held)}
}

// Apply takes an account as it was written and reports whether that is news.
func (b *AccountSet) Apply(now time.Time, account *replicav1.Account, retention time.Duration) bool {
	known := b.accounts[account.Loan]
	if known == nil {
		known = &held{known: now}
		b.accounts[account.Loan] = known
		b.programs[account.Program] = append(b.programs[account.Program], known)
	} else if known.account.Step >= account.Step {
		return false
	}
	known.account, known.retention = account, max(known.retention, retention)
	return true
}

// NewAccount returns the account to be written for a loan, or nil where it is known already:
// an account is opened once.
func (b *AccountSet) NewAccount(program string, opening *replicav1.LoanOpening) *replicav1.Account {
	if b.accounts[opening.Loan] != nil {
		return nil
	}
	return &replicav1.Account{Loan: opening.Loan, Program: program, Amount: opening.Amount, Step: 1}
}

// MarkOpened notes that this process has opened an account that it has applied.
func (b *AccountSet) MarkOpened(loan string) { b.accounts[loan].opened = true }

// DrawResult is the answer to a draw.
type DrawResult struct {
	Outcome replicav1.LoanOutcome
	// RetainedAccount is to be written before the answer; nil where nothing changes.
	Account *replicav1.Account
	// Remaining is what may still be drawn, in tokens.
	Remaining int64
}

// Draw hands out tokens of one of the program's open accounts. The same draw once more is
// granted again and counts once.
func (b *AccountSet) Draw(now time.Time, program string, draw *replicav1.LoanDraw) DrawResult {
	answer := DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NONE}
	for _, known := range b.programs[program] {
		if !known.drawable(now) {
			continue
		}
		left := Remaining(known.account)
		if drawn(known.account, draw.Id) != nil {
			return DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Remaining: left}
		}
		if draw.Most < 0 || draw.Most > left {
			answer = DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_EXHAUSTED, Remaining: max(left, answer.Remaining)}
			continue
		}
		next := after(known.account)
		next.Draws = append(next.Draws, &replicav1.Entry{Id: draw.Id, Most: draw.Most})
		return DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: next, Remaining: left - draw.Most}
	}
	return answer
}

// Settle returns the account to be written after a draw was settled, and whether there is
// one that takes the settlement, or has taken it. A closed one takes none: its unsettled
// draws are the majority's.
func (b *AccountSet) Settle(settlement *replicav1.Settlement) (account *replicav1.Account, taken bool) {
	for _, known := range b.programs[settlement.Program] {
		draw := drawn(known.account, settlement.Id)
		switch {
		case draw == nil:
			continue
		case draw.Settled:
			// Told twice. The first one may have been taken before the account was closed.
			return nil, true
		case known.account.Closed:
			return nil, false
		}
		next := after(known.account)
		settled := drawn(next, settlement.Id)
		settled.Settled, settled.Used = true, max(0, min(settlement.Used, draw.Most))
		return next, true
	}
	return nil, false
}

// CloseResult is the answer to the wish to close a loan.
type CloseResult struct {
	Outcome replicav1.LoanOutcome
	// RetainedAccount is as it was closed. It is to be written before the answer, where New is set.
	Account   *replicav1.Account
	MustWrite bool
	// RetryAfter is when the account may be closed that may not be yet.
	RetryAfter time.Duration
}

// Close ends a loan for good. One that is not known was never opened if present, the
// life of the data folder, is that which the loan names; then it never will be.
func (b *AccountSet) Close(now time.Time, program string, closing *replicav1.LoanClosing, present uint64) CloseResult {
	known := b.accounts[closing.Loan]
	switch {
	case known == nil && present != closing.Incarnation:
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NONE}
	case known == nil:
		never := &replicav1.Account{Loan: closing.Loan, Program: program, Step: 1, Closed: true}
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: never, MustWrite: true}
	case known.account.Closed:
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: known.account}
	}
	if wait := known.known.Add(b.settleDelay).Sub(now); wait > 0 {
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET, RetryAfter: wait}
	}
	next := after(known.account)
	next.Closed = true
	return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: next, MustWrite: true}
}

// ExpiredAccounts returns the open accounts that can be drawn on no more, or all that are open
// where the seat is another's now and nobody asks here.
func (b *AccountSet) ExpiredAccounts(now time.Time, seatLost bool) (lapsed []*replicav1.Account) {
	for _, known := range b.accounts {
		if !known.account.Closed && (seatLost || !known.drawable(now)) {
			lapsed = append(lapsed, known.account)
		}
	}
	return lapsed
}

// UnreturnedAccounts returns the closed accounts of which this process has not told the majority.
// Whoever closed them may not have done so either.
func (b *AccountSet) UnreturnedAccounts() (accounts []RetainedAccount) {
	for _, known := range b.accounts {
		if known.account.Closed && known.returned.IsZero() {
			accounts = append(accounts, RetainedAccount{Account: known.account, Retention: known.retention})
		}
	}
	return accounts
}

// ReturnRecords notes that the majority has what a closed account gives back.
func (b *AccountSet) MarkReturned(now time.Time, loan string) {
	if known := b.accounts[loan]; known != nil && known.account.Closed {
		known.returned = now
	}
}

// forgetMargin is how much longer than its retention a returned account is kept, so that
// no call about its loan is under way any more.
const forgetMargin = 5 * time.Second

// PruneReturned drops accounts that the majority has had back for longer than their retention.
// One that is not back is never dropped: closed anew, it would count as unused.
func (b *AccountSet) PruneReturned(now time.Time) {
	for id, known := range b.accounts {
		if known.returned.IsZero() || now.Sub(known.returned) < known.retention+forgetMargin {
			continue
		}
		delete(b.accounts, id)
		program := known.account.Program
		b.programs[program] = slices.DeleteFunc(b.programs[program], func(each *held) bool { return each == known })
		if len(b.programs[program]) == 0 {
			delete(b.programs, program)
		}
	}
}

// RetainedAccount is an account with the time for which it is kept.
type RetainedAccount struct {
	*replicav1.Account
	Retention time.Duration
}

// Accounts returns all accounts.
func (b *AccountSet) Accounts() (accounts []RetainedAccount) {
	for _, known := range b.accounts {
		accounts = append(accounts, RetainedAccount{Account: known.account, Retention: known.retention})
	}
	return accounts
}

// Counts returns how many accounts are open and how many are known.
func (b *AccountSet) Counts() (open, known int) {
	for _, each := range b.accounts {
		if !each.account.Closed {
			open++
		}
	}
	return open, len(b.accounts)
}

// drawable reports whether this process hands out of the account.
func (h *held) drawable(now time.Time) bool {
	return h.opened && !h.account.Closed && now.Sub(h.known) < Lifetime
}

// Committed returns what an account's draws have used or may still use, in tokens.
func Committed(account *replicav1.Account) (sum int64) {
	for _, draw := range account.Draws {
		if draw.Settled {
			sum += draw.Used
		} else {
			sum += draw.Most
		}
	}
	return sum
}

// Remaining returns what may still be drawn of an open account, in tokens.
func Remaining(account *replicav1.Account) int64 { return account.Amount - Committed(account) }

// ReturnRecords returns the records by which a closed account goes back to the majority: its
// unsettled draws become reservations, and the loan is settled at what the others have
// used. They are to be written in this order, so that the draws never count as nothing.
func ReturnRecords(account *replicav1.Account, retention time.Duration) (records []*replicav1.Record) {
	var used int64
	for _, draw := range account.Draws {
		if draw.Settled {
			used += draw.Used
			continue
		}
		reservation := &replicav1.Reservation{Id: draw.Id, Program: account.Program, Most: draw.Most}
		records = append(records, &replicav1.Record{
			Kind: &replicav1.Record_Reservation{Reservation: reservation}, RetentionMs: retention.Milliseconds(),
		})
	}
	settlement := &replicav1.Settlement{Id: account.Loan, Program: account.Program, Used: used}
	return append(records, &replicav1.Record{
		Kind: &replicav1.Record_Settlement{Settlement: settlement}, RetentionMs: retention.Milliseconds(),
	})
}

// after returns a copy of an account for its next state.
func after(account *replicav1.Account) *replicav1.Account {
	next := proto.CloneOf(account)
	next.Step++
	return next
}

func drawn(account *replicav1.Account, id string) *replicav1.Entry {
	for _, draw := range account.Draws {
		if draw.Id == id {
			return draw
		}
	}
	return nil
}
