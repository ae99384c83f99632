// Package loan keeps the accounts of budgets lent to one replica (the holder), and decides how
// much is lent. It does no I/O and reads no clock: callers pass in requests and times, and
// receive decisions and the accounts to write.
//
// A loan is a reservation of a program that is stored by a majority and names its holder. It
// counts with its whole amount until it is settled. Whatever happens to the holder, turns can
// therefore not draw more than the majority has granted. Invariants:
//   - The holder opens an account only if its incarnation (the lifetime of its data folder) is
//     the one named by the loan. Another incarnation may have lost earlier draws.
//   - The holder's answers depend only on state that is on its disk.
//   - A closed account never changes, not even one closed before it was opened. Every caller
//     therefore receives the same account.
//   - An account is closed no earlier than quorum.SettleDelay after it was opened. Reservations
//     that are granted in one round depend on this.
//   - Only the process that opened an account serves draws on it, and for at most Lifetime. The
//     majority drops a program from which it has received no records for long, and a restarted
//     process does not know when the account was opened.
package loan

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// Lifetime is how long draws on an account are served: some turns with the pauses between them.
// The majority keeps a loan for this much longer than the other records of its program.
const Lifetime = 15 * time.Second

// AccountSet is the set of accounts of one seat. It is not safe for concurrent use.
type AccountSet struct {
	// settleDelay is the minimum time between the opening and the closing of an account.
	settleDelay time.Duration
	accounts    map[string]*accountState
	// byProgram lists the accounts of each program in the order in which they were added.
	byProgram map[string][]*accountState
}

// accountState is an account with the state that this process keeps in memory only.
type accountState struct {
	account *replicav1.Account
	// knownSince is when this process opened the account or read it from disk.
	knownSince time.Time
	// openedHere is set if this process opened the account.
	openedHere bool
	// retention is how long the account is kept after it was returned to the majority.
	retention time.Duration
	// returnedAt is when this process wrote the closed account's return records to the majority;
	// zero until then.
	returnedAt time.Time
}

// NewAccountSet returns an empty set. settleDelay is quorum.SettleDelay.
func NewAccountSet(settleDelay time.Duration) *AccountSet {
	return &AccountSet{settleDelay: settleDelay, accounts: make(map[string]*accountState), byProgram: make(map[string][]*accountState)}
}

// Apply adopts a written account and reports whether it changed the set.
func (s *AccountSet) Apply(now time.Time, account *replicav1.Account, retention time.Duration) bool {
	state := s.accounts[account.Loan]
	if state == nil {
		state = &accountState{knownSince: now}
		s.accounts[account.Loan] = state
		s.byProgram[account.Program] = append(s.byProgram[account.Program], state)
	} else if state.account.Step >= account.Step {
		return false
	}
	state.account, state.retention = account, max(state.retention, retention)
	return true
}

// NewAccount returns the account to write for a new loan, or nil if the loan already has one: an
// account is opened only once.
func (s *AccountSet) NewAccount(program string, opening *replicav1.LoanOpening) *replicav1.Account {
	if s.accounts[opening.Loan] != nil {
		return nil
	}
	return &replicav1.Account{Loan: opening.Loan, Program: program, Amount: opening.Amount, Step: 1}
}

// MarkOpened records that this process opened an account that has been applied.
func (s *AccountSet) MarkOpened(loan string) { s.accounts[loan].openedHere = true }

// DrawResult is the answer to a draw.
type DrawResult struct {
	Outcome replicav1.LoanOutcome
	// Account must be written before answering; nil if nothing changes.
	Account *replicav1.Account
	// Remaining is the number of tokens that can still be drawn.
	Remaining int64
}

// Draw draws tokens from one of the program's open accounts. A repeated draw is granted again but
// counts once.
func (s *AccountSet) Draw(now time.Time, program string, draw *replicav1.LoanDraw) DrawResult {
	result := DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NONE}
	for _, state := range s.byProgram[program] {
		if !state.drawable(now) {
			continue
		}
		remaining := Remaining(state.account)
		if findDraw(state.account, draw.Id) != nil {
			return DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Remaining: remaining}
		}
		if draw.Most < 0 || draw.Most > remaining {
			result = DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_EXHAUSTED, Remaining: max(remaining, result.Remaining)}
			continue
		}
		updated := nextStep(state.account)
		updated.Draws = append(updated.Draws, &replicav1.Entry{Id: draw.Id, Most: draw.Most})
		return DrawResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: updated, Remaining: remaining - draw.Most}
	}
	return result
}

// Settle returns the account to write after the settlement of a draw, if it changes. accepted is
// set if an account accepts the settlement or has accepted it before. A closed account accepts
// none, because its unsettled draws were returned to the majority.
func (s *AccountSet) Settle(settlement *replicav1.Settlement) (account *replicav1.Account, accepted bool) {
	for _, state := range s.byProgram[settlement.Program] {
		draw := findDraw(state.account, settlement.Id)
		switch {
		case draw == nil:
			continue
		case draw.Settled:
			// The settlement is repeated. The first one may have been accepted before the account
			// was closed.
			return nil, true
		case state.account.Closed:
			return nil, false
		}
		updated := nextStep(state.account)
		settled := findDraw(updated, settlement.Id)
		settled.Settled, settled.Used = true, max(0, min(settlement.Used, draw.Most))
		return updated, true
	}
	return nil, false
}

// CloseResult is the answer to a request to close a loan.
type CloseResult struct {
	Outcome replicav1.LoanOutcome
	// Account is the closed account. It must be written before answering if MustWrite is set.
	Account   *replicav1.Account
	MustWrite bool
	// RetryAfter is the time after which the account may be closed, if it may not be closed yet.
	RetryAfter time.Duration
}

// Close closes a loan permanently. An unknown loan was never opened if currentIncarnation, the
// incarnation of the data folder, is the one named by the loan. It is then stored as closed, so
// that it is never opened.
func (s *AccountSet) Close(now time.Time, program string, closing *replicav1.LoanClosing, currentIncarnation uint64) CloseResult {
	state := s.accounts[closing.Loan]
	switch {
	case state == nil && currentIncarnation != closing.Incarnation:
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NONE}
	case state == nil:
		neverOpened := &replicav1.Account{Loan: closing.Loan, Program: program, Step: 1, Closed: true}
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: neverOpened, MustWrite: true}
	case state.account.Closed:
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: state.account}
	}
	if wait := state.knownSince.Add(s.settleDelay).Sub(now); wait > 0 {
		return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET, RetryAfter: wait}
	}
	updated := nextStep(state.account)
	updated.Closed = true
	return CloseResult{Outcome: replicav1.LoanOutcome_LOAN_OUTCOME_DONE, Account: updated, MustWrite: true}
}

// ExpiredAccounts returns the open accounts that no longer serve draws. If another member has
// taken the seat, it returns all open accounts, because no caller asks this replica for them any
// more.
func (s *AccountSet) ExpiredAccounts(now time.Time, seatLost bool) (expired []*replicav1.Account) {
	for _, state := range s.accounts {
		if !state.account.Closed && (seatLost || !state.drawable(now)) {
			expired = append(expired, state.account)
		}
	}
	return expired
}

// UnreturnedAccounts returns the closed accounts that this process has not returned to the
// majority. The caller that closed an account may not have returned it either.
func (s *AccountSet) UnreturnedAccounts() (accounts []RetainedAccount) {
	for _, state := range s.accounts {
		if state.account.Closed && state.returnedAt.IsZero() {
			accounts = append(accounts, RetainedAccount{Account: state.account, Retention: state.retention})
		}
	}
	return accounts
}

// MarkReturned records that the majority has the return records of a closed account.
func (s *AccountSet) MarkReturned(now time.Time, loan string) {
	if state := s.accounts[loan]; state != nil && state.account.Closed {
		state.returnedAt = now
	}
}

// pruneMargin is how much longer than its retention a returned account is kept, so that no call
// about its loan is still in flight.
const pruneMargin = 5 * time.Second

// PruneReturned removes accounts whose retention has passed since their return to the majority.
// Accounts that were not returned are never removed: if closed again, such a loan would count as
// unused.
func (s *AccountSet) PruneReturned(now time.Time) {
	for id, state := range s.accounts {
		if state.returnedAt.IsZero() || now.Sub(state.returnedAt) < state.retention+pruneMargin {
			continue
		}
		delete(s.accounts, id)
		program := state.account.Program
		s.byProgram[program] = slices.DeleteFunc(s.byProgram[program], func(other *accountState) bool { return other == state })
		if len(s.byProgram[program]) == 0 {
			delete(s.byProgram, program)
		}
	}
}

// RetainedAccount is an account with its retention.
type RetainedAccount struct {
	*replicav1.Account
	Retention time.Duration
}

// Accounts returns all accounts.
func (s *AccountSet) Accounts() (accounts []RetainedAccount) {
	for _, state := range s.accounts {
		accounts = append(accounts, RetainedAccount{Account: state.account, Retention: state.retention})
	}
	return accounts
}

// Counts returns the number of open accounts and of all accounts.
func (s *AccountSet) Counts() (open, total int) {
	for _, state := range s.accounts {
		if !state.account.Closed {
			open++
		}
	}
	return open, len(s.accounts)
}

// drawable reports whether this process serves draws on the account.
func (a *accountState) drawable(now time.Time) bool {
	return a.openedHere && !a.account.Closed && now.Sub(a.knownSince) < Lifetime
}

// Committed returns the number of tokens that an account's draws have used or may still use.
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

// Remaining returns the number of tokens that can still be drawn from an open account.
func Remaining(account *replicav1.Account) int64 { return account.Amount - Committed(account) }

// ReturnRecords returns the records that return a closed account to the majority. Unsettled draws
// become reservations, and the loan is settled with the sum used by the settled draws. The
// records must be written in this order, so that the draws are counted at all times.
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

// nextStep returns a copy of an account with the next step number.
func nextStep(account *replicav1.Account) *replicav1.Account {
	copied := proto.CloneOf(account)
	copied.Step++
	return copied
}

func findDraw(account *replicav1.Account, id string) *replicav1.Entry {
	for _, draw := range account.Draws {
		if draw.Id == id {
			return draw
		}
	}
	return nil
}
