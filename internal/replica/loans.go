package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// returnLoansInterval is the interval at which a holder returns expired loans. Until then
	// nobody can use what they have left.
	returnLoansInterval = time.Second
	// returnLoansTimeout bounds the write of returned loans.
	returnLoansTimeout = 3 * time.Second
)

// runLoanReturns periodically closes the expired loans of this node and returns what they have
// left.
func (r *Replica) runLoanReturns(ctx context.Context) {
	for pause.For(ctx, returnLoansInterval) {
		for _, partition := range r.state.partitionsWithLoans() {
			group := r.directory.Group(partition)
			seatLost := group != nil && memberForNode(group, r.options.Node) == nil
			if err := r.state.closeExpiredLoans(partition, seatLost); err != nil {
				r.writeFailures.log(err)
				continue
			}
			r.writeLoanReturns(ctx, partition)
		}
	}
}

// writeLoanReturns writes the remainders of a partition's closed accounts to a majority. A failed
// writeRecord is repeated in the next round.
func (r *Replica) writeLoanReturns(ctx context.Context, partition uint32) {
	var records []*replicav1.Record
	accounts := r.state.unreturnedAccounts(partition)
	if len(accounts) == 0 {
		return
	}
	for _, account := range accounts {
		records = append(records, loan.ReturnRecords(account.Account, account.Retention)...)
	}
	callCtx, cancel := context.WithTimeout(ctx, returnLoansTimeout)
	defer cancel()
	if err := r.quorum.Append(callCtx, accounts[0].Program, records...); err != nil {
		eventLoanReturnFailed.Log("partition", partition, "loans", len(accounts), "cause", err.Error())
		return
	}
	r.state.markReturned(partition, accounts)
}

// partitionsWithLoans returns the partitions with loan accounts on this node.
func (s *state) partitionsWithLoans() (partitions []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for partition, state := range s.partitions {
		if _, accounts := state.accounts.Counts(); accounts > 0 {
			partitions = append(partitions, partition)
		}
	}
	return partitions
}

// closeExpiredLoans closes the accounts of a partition that no longer permit draws, and drops those
// that are no longer needed. If this node has lost its seat, it closes all open accounts.
func (s *state) closeExpiredLoans(partition uint32, seatLost bool) error {
	return s.update(partition, func(state *partitionState, write func(*replicav1.Record)) {
		now := state.now()
		state.accounts.PruneReturned(now)
		for _, account := range state.accounts.ExpiredAccounts(now, seatLost) {
			closing := state.accounts.Close(now, account.Program, &replicav1.LoanClosing{Loan: account.Loan}, 0)
			if closing.MustWrite {
				write(accountRecord(partition, closing.Account, 0))
			}
		}
	})
}

// unreturnedAccounts returns the closed accounts of a partition that this process has not written
// to a majority.
func (s *state) unreturnedAccounts(partition uint32) []loan.RetainedAccount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).accounts.UnreturnedAccounts()
}

func (s *state) markReturned(partition uint32, accounts []loan.RetainedAccount) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accountSet := s.partition(partition).accounts
	for _, account := range accounts {
		accountSet.MarkReturned(s.now(), account.Loan)
	}
}

// hasUnreturnedLoans reports whether there are loans whose remainder is not yet written to a
// majority.
func (s *state) hasUnreturnedLoans() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		if open, _ := partition.accounts.Counts(); open > 0 || len(partition.accounts.UnreturnedAccounts()) > 0 {
			return true
		}
	}
	return false
}

// openLoanCount returns the number of open accounts.
func (s *state) openLoanCount() (open int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		partitionOpen, _ := partition.accounts.Counts()
		open += partitionOpen
	}
	return open
}

// Loan opens, draws on or closes the account of a loan that this replica holds. It returns after
// the change is on the disk.
func (s *service) Loan(_ context.Context, request *connect.Request[replicav1.LoanRequest]) (*connect.Response[replicav1.LoanResponse], error) {
	message := request.Msg
	call := &loanCall{request: message, response: &replicav1.LoanResponse{}}
	if err := s.state.update(message.Partition, call.execute); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	call.response.Standing = s.state.standing(message.Partition, message.Epoch)
	return connect.NewResponse(call.response), nil
}

// loanCall is one call about the loans of a program.
type loanCall struct {
	request   *replicav1.LoanRequest
	response  *replicav1.LoanResponse
	partition *partitionState
	persist   func(*replicav1.Record)
}

// execute handles the call and persists the resulting account states.
func (c *loanCall) execute(partition *partitionState, persist func(*replicav1.Record)) {
	c.partition, c.persist = partition, persist
	for _, settlement := range c.request.Settlements {
		account, accepted := partition.accounts.Settle(settlement)
		if !accepted {
			c.response.NotTaken = append(c.response.NotTaken, settlement.Id)
		}
		c.persistAccount(account, 0)
	}
	switch call := c.request.Call.(type) {
	case *replicav1.LoanRequest_Open:
		c.open(call.Open)
	case *replicav1.LoanRequest_Draw:
		result := partition.accounts.Draw(partition.now(), c.request.Program, call.Draw)
		c.response.Outcome, c.response.Left = result.Outcome, result.Remaining
		c.persistAccount(result.Account, 0)
	case *replicav1.LoanRequest_Close:
		c.close(call.Close)
	}
}

// open opens the account of a loan if the loan names the present incarnation of this folder.
func (c *loanCall) open(opening *replicav1.LoanOpening) {
	if c.partition.identity.GetIncarnation() != opening.Incarnation {
		return
	}
	account := c.partition.accounts.NewAccount(c.request.Program, opening)
	if account == nil {
		return
	}
	c.persistAccount(account, opening.RetentionMs)
	c.partition.accounts.MarkOpened(opening.Loan)
	c.response.Outcome, c.response.Left = replicav1.LoanOutcome_LOAN_OUTCOME_DONE, loan.Remaining(account)
}

// close ends a loan and returns what was drawn on it.
func (c *loanCall) close(closing *replicav1.LoanClosing) {
	result := c.partition.accounts.Close(c.partition.now(), c.request.Program, closing, c.partition.identity.GetIncarnation())
	c.response.Outcome, c.response.Closed = result.Outcome, result.Account
	c.response.AfterMs = uint32(result.RetryAfter.Milliseconds())
	if result.MustWrite {
		c.persistAccount(result.Account, closing.RetentionMs)
	}
}

// persistAccount adds the next state of an account to the write batch. A nil account is ignored.
func (c *loanCall) persistAccount(account *replicav1.Account, retentionMs int64) {
	if account != nil {
		c.persist(accountRecord(c.partition.number, account, time.Duration(retentionMs)*time.Millisecond))
	}
}

func accountRecord(partition uint32, account *replicav1.Account, retention time.Duration) *replicav1.Record {
	return &replicav1.Record{
		Partition: partition, Kind: &replicav1.Record_Account{Account: account}, RetentionMs: retention.Milliseconds(),
	}
}
