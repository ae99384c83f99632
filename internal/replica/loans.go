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
	// returnLoansEvery is how often a holder gives loans back whose time is over: what they
	// have left serves nobody meanwhile.
	returnLoansEvery = time.Second
	// returnLoansTimeout bounds the write of what is given back.
	returnLoansTimeout = 3 * time.Second
)

// returnLoans gives the loans back that this node holds and whose time is over, again and
// again.
func (r *Replica) returnLoans(ctx context.Context) {
	for pause.For(ctx, returnLoansEvery) {
		for _, partition := range r.state.holdingLoans() {
			group := r.directory.Group(partition)
			seatLost := group != nil && seatOf(group, r.options.Node) == nil
			if err := r.state.closeLapsed(partition, seatLost); err != nil {
				eventWriteFailed.Log("cause", err.Error())
				continue
			}
			r.settleAtMajority(ctx, partition)
		}
	}
}

// settleAtMajority writes what the closed accounts of a partition give back. What fails is
// written the next time.
func (r *Replica) settleAtMajority(ctx context.Context, partition uint32) {
	var records []*replicav1.Record
	accounts := r.state.unreturned(partition)
	if len(accounts) == 0 {
		return
	}
	for _, account := range accounts {
		records = append(records, loan.ReturnRecords(account.Account, account.Retention)...)
	}
	call, cancel := context.WithTimeout(ctx, returnLoansTimeout)
	defer cancel()
	if err := r.quorum.Append(call, accounts[0].Program, records...); err != nil {
		eventLoansKept.Log("partition", partition, "loans", len(accounts), "cause", err.Error())
		return
	}
	r.state.returned(partition, accounts)
}

// holdingLoans returns the partitions of which accounts are here.
func (s *state) holdingLoans() (partitions []uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for partition, known := range s.partitions {
		if _, accounts := known.book.Counts(); accounts > 0 {
			partitions = append(partitions, partition)
		}
	}
	return partitions
}

// closeLapsed closes the accounts of a partition that can be drawn on no more, and forgets
// those that are not needed.
func (s *state) closeLapsed(partition uint32, seatLost bool) error {
	return s.decide(partition, func(known *partitionState, write func(*replicav1.Record)) {
		now := known.now()
		known.book.PruneReturned(now)
		for _, account := range known.book.ExpiredAccounts(now, seatLost) {
			ended := known.book.Close(now, account.Program, &replicav1.LoanClosing{Loan: account.Loan}, 0)
			if ended.MustWrite {
				write(accountRecord(partition, ended.Account, 0))
			}
		}
	})
}

// unreturned returns the closed accounts of a partition of which the majority was not told
// from here.
func (s *state) unreturned(partition uint32) []loan.RetainedAccount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).book.UnreturnedAccounts()
}

func (s *state) returned(partition uint32, accounts []loan.RetainedAccount) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	book := s.partition(partition).book
	for _, account := range accounts {
		book.MarkReturned(s.now(), account.Loan)
	}
}

// owesLoans reports whether there are loans here of which the majority does not know what
// they have left.
func (s *state) owesLoans() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		if open, _ := each.book.Counts(); open > 0 || len(each.book.UnreturnedAccounts()) > 0 {
			return true
		}
	}
	return false
}

// loans returns how many accounts are open here.
func (s *state) loans() (open int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		here, _ := each.book.Counts()
		open += here
	}
	return open
}

// Loan opens, draws on or closes the account of a loan that this replica holds. The answer
// rests on what is on the disk.
func (s *service) Loan(_ context.Context, request *connect.Request[replicav1.LoanRequest]) (*connect.Response[replicav1.LoanResponse], error) {
	message := request.Msg
	call := &loanCall{request: message, response: &replicav1.LoanResponse{}}
	if err := s.state.decide(message.Partition, call.decide); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	call.response.Standing = s.state.standing(message.Partition, message.Epoch)
	return connect.NewResponse(call.response), nil
}

// loanCall is one call that concerns the loans of a program.
type loanCall struct {
	request  *replicav1.LoanRequest
	response *replicav1.LoanResponse
	known    *partitionState
	record   func(*replicav1.Record)
}

// decide answers the call from what is known and writes what is to be on the disk first.
func (c *loanCall) decide(known *partitionState, record func(*replicav1.Record)) {
	c.known, c.record = known, record
	for _, settlement := range c.request.Settlements {
		account, taken := known.book.Settle(settlement)
		if !taken {
			c.response.NotTaken = append(c.response.NotTaken, settlement.Id)
		}
		c.write(account, 0)
	}
	switch call := c.request.Call.(type) {
	case *replicav1.LoanRequest_Open:
		c.open(call.Open)
	case *replicav1.LoanRequest_Draw:
		drawing := known.book.Draw(known.now(), c.request.Program, call.Draw)
		c.response.Outcome, c.response.Left = drawing.Outcome, drawing.Remaining
		c.write(drawing.Account, 0)
	case *replicav1.LoanRequest_Close:
		c.close(call.Close)
	}
}

// open opens the account of a loan that names this life of the folder.
func (c *loanCall) open(opening *replicav1.LoanOpening) {
	if c.known.identity.GetIncarnation() != opening.Incarnation {
		return
	}
	account := c.known.book.NewAccount(c.request.Program, opening)
	if account == nil {
		return
	}
	c.write(account, opening.RetentionMs)
	c.known.book.MarkOpened(opening.Loan)
	c.response.Outcome, c.response.Left = replicav1.LoanOutcome_LOAN_OUTCOME_DONE, loan.Remaining(account)
}

// close ends a loan and tells what was drawn on it.
func (c *loanCall) close(closing *replicav1.LoanClosing) {
	ended := c.known.book.Close(c.known.now(), c.request.Program, closing, c.known.identity.GetIncarnation())
	c.response.Outcome, c.response.Closed = ended.Outcome, ended.Account
	c.response.AfterMs = uint32(ended.RetryAfter.Milliseconds())
	if ended.MustWrite {
		c.write(ended.Account, closing.RetentionMs)
	}
}

// write takes the next state of an account; nil is none.
func (c *loanCall) write(account *replicav1.Account, retentionMs int64) {
	if account != nil {
		c.record(accountRecord(c.known.partition, account, time.Duration(retentionMs)*time.Millisecond))
	}
}

func accountRecord(partition uint32, account *replicav1.Account, retention time.Duration) *replicav1.Record {
	return &replicav1.Record{
		Partition: partition, Kind: &replicav1.Record_Account{Account: account}, RetentionMs: retention.Milliseconds(),
	}
}
