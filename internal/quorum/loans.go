package quorum

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// DrawTimeout is how long a turn waits for its draw, which takes a fraction of a millisecond
	// within a zone. If the holder is slow, the turn makes a reservation at a majority instead,
	// which takes a few milliseconds.
	DrawTimeout = 30 * time.Millisecond
	// NoMajorityDrawTimeout is the draw timeout while no majority answers: without the holder the
	// turn would be refused.
	NoMajorityDrawTimeout = loanTimeout
	// loanTimeout limits one loan call. The holder waits for the sync in progress and for its own
	// sync before it answers, and no other member can answer instead.
	loanTimeout = 2 * callTimeout
	// drawSettlementTimeout is how long the client tries to send a draw's settlement to the
	// holder. A settlement that is not delivered costs its program budget.
	drawSettlementTimeout = 3 * time.Second
)

var eventDrawUnsettled = event.Define(2765, event.Warning, "the settlement of a turn that drew on a loan cannot be sent to the loan's holder; the turn counts with its maximum", "Check the network connection to the holder.")

// LoanHolder is a replica that holds loans: parts of programs' budgets that turns draw on without
// a majority.
type LoanHolder struct {
	member *replicav1.Member
	group  *replicav1.Group
}

// LoanHolder returns the replica of this process's zone that holds a program's loans. All
// gateways of the zone choose the same one. It returns nil if the zone has none, or if the
// replica has been silent for SilenceTolerance or longer. A shorter silence may be a slow disk,
// and the holder is the only alternative while no majority answers.
func (c *Client) LoanHolder(program string) *LoanHolder {
	group := c.programGroup(program)
	if group == nil {
		return nil
	}
	var chosen *replicav1.Member
	var highest uint64
	for _, member := range group.Members {
		if member.Zone != c.zone || IsJoining(member) {
			continue
		}
		if rank := xxhash.Sum64String(program + "\x00" + member.Node); chosen == nil || rank > highest {
			chosen, highest = member, rank
		}
	}
	if chosen == nil || c.reachability.isUnavailable(chosen.Address) {
		return nil
	}
	return &LoanHolder{member: chosen, group: group}
}

// incarnationCache stores the latest known incarnations of replicas.
type incarnationCache struct {
	// byNode is keyed by partition and node.
	byNode sync.Map
}

type incarnationKey struct {
	partition uint32
	node      string
}

func (c *incarnationCache) record(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) {
	if !standing.Member || !standing.Recovered {
		return
	}
	key := incarnationKey{group.Partition, member.Node}
	if known, found := c.byNode.Load(key); !found || known.(uint64) != standing.Incarnation {
		c.byNode.Store(key, standing.Incarnation)
	}
}

// HolderIdentity returns the identity that a loan must name to be held by the replica, or nil
// while its incarnation is unknown.
func (c *Client) HolderIdentity(holder *LoanHolder) *replicav1.LoanHolder {
	incarnation, known := c.incarnations.byNode.Load(incarnationKey{holder.group.Partition, holder.member.Node})
	if !known {
		return nil
	}
	return &replicav1.LoanHolder{Node: holder.member.Node, Incarnation: incarnation.(uint64)}
}

// PendingDraw is a draw that was requested from a holder.
type PendingDraw struct {
	holder *LoanHolder
	// answers receives the holder's answer, or nil if there is none, and is then closed.
	answers chan *replicav1.LoanResponse
}

// Holder returns the replica that was asked.
func (d *PendingDraw) Holder() *LoanHolder { return d.holder }

// StartDraw asks a holder for maxTokens, the maximum that a turn may generate. Pending
// settlements for the same holder are sent along. The call continues after its waiters have given
// up, because its settlements count and a slow holder must not be considered silent.
func (c *Client) StartDraw(holder *LoanHolder, program, id string, maxTokens int64) *PendingDraw {
	pending := &PendingDraw{holder: holder, answers: make(chan *replicav1.LoanResponse, 1)}
	go func() {
		pending.answers <- c.callDraw(holder, program, id, maxTokens)
		close(pending.answers)
	}()
	return pending
}

// Await returns the outcome of the draw. answered is false if no answer arrived within the
// timeout. In that case the tokens may have been drawn, and Await may be called again.
func (d *PendingDraw) Await(ctx context.Context, timeout time.Duration) (outcome replicav1.LoanOutcome, remaining int64, answered bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-d.answers:
		return response.GetOutcome(), response.GetLeft(), response != nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return replicav1.LoanOutcome_LOAN_OUTCOME_NONE, 0, false
}

// callDraw makes the call of a draw. It returns nil if there was no answer.
func (c *Client) callDraw(holder *LoanHolder, program, id string, maxTokens int64) *replicav1.LoanResponse {
	settlementRecords := c.drawSettlements.take(holder.key())
	response := c.callHolder(context.Background(), holder, &replicav1.LoanRequest{
		Program: program, Call: &replicav1.LoanRequest_Draw{Draw: &replicav1.LoanDraw{Id: id, Most: maxTokens}},
		Settlements: settlementsOf(settlementRecords),
	})
	if response == nil {
		c.requeueDrawSettlements(holder, settlementRecords)
		return nil
	}
	c.appendRejectedSettlements(settlementRecords, response)
	return response
}

// requeueDrawSettlements queues settlements again that may not have arrived.
func (c *Client) requeueDrawSettlements(holder *LoanHolder, records []*replicav1.Record) {
	for _, record := range records {
		c.SettleDraw(holder, record)
	}
}

// OpenLoan tells a holder that a majority has granted a loan. It must be called once per loan.
// refused is set if the holder answered that it does not open the loan; then the loan was never
// open. Without an answer the loan may not be held by anyone, and is recalled when its budget is
// needed.
func (c *Client) OpenLoan(ctx context.Context, holder *LoanHolder, reservation *replicav1.Reservation, retention time.Duration) (refused bool) {
	response := c.callHolder(ctx, holder, &replicav1.LoanRequest{
		Program: reservation.Program, Call: &replicav1.LoanRequest_Open{Open: &replicav1.LoanOpening{
			Loan: reservation.Id, Amount: reservation.Most, Incarnation: reservation.Holder.Incarnation, RetentionMs: retention.Milliseconds(),
		}},
	})
	return response != nil && response.Outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE
}

// drawSettlements are the settlements of draws that have not been sent to their holders yet.
type drawSettlements struct {
	mutex    sync.Mutex
	byHolder map[holderKey]*holderSettlements
}

// holderKey identifies a holder's accounts of one partition.
type holderKey struct {
	address   string
	partition uint32
}

func (h *LoanHolder) key() holderKey { return holderKey{h.member.Address, h.group.Partition} }

// holderSettlements are the pending settlements for one holder.
type holderSettlements struct {
	holder  *LoanHolder
	records []*replicav1.Record
}

// add queues settlements and reports whether they are the first ones that wait for this holder.
func (d *drawSettlements) add(holder *LoanHolder, records ...*replicav1.Record) (first bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pending := d.byHolder[holder.key()]
	if first = pending == nil; first {
		pending = &holderSettlements{holder: holder}
		d.byHolder[holder.key()] = pending
	}
	pending.records = append(pending.records, records...)
	return first
}

// take removes and returns the settlements that wait for a holder.
func (d *drawSettlements) take(key holderKey) []*replicav1.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pending := d.byHolder[key]
	delete(d.byHolder, key)
	if pending == nil {
		return nil
	}
	return pending.records
}

// holders returns the holders with pending settlements.
func (d *drawSettlements) holders() (holders []*LoanHolder) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, pending := range d.byHolder {
		holders = append(holders, pending.holder)
	}
	return holders
}

// SettleDraw tells a holder what a turn on its loan has used, with the next draw at this holder
// or after deferDelay. Settlements that the holder rejects because the loan is closed are written
// to the majority.
func (c *Client) SettleDraw(holder *LoanHolder, record *replicav1.Record) {
	if c.drawSettlements.add(holder, record) {
		time.AfterFunc(deferDelay, func() { c.sendDrawSettlements(context.Background(), holder) })
	}
}

// SettleDrawNow is SettleDraw without the delay.
func (c *Client) SettleDrawNow(holder *LoanHolder, record *replicav1.Record) {
	c.drawSettlements.add(holder, record)
	go c.sendDrawSettlements(context.Background(), holder)
}

// sendDrawSettlements sends a holder its pending settlements.
func (c *Client) sendDrawSettlements(ctx context.Context, holder *LoanHolder) {
	records := c.drawSettlements.take(holder.key())
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drawSettlementTimeout)
	defer cancel()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		response := c.callHolder(ctx, holder, &replicav1.LoanRequest{Settlements: settlementsOf(records)})
		if response != nil {
			c.appendRejectedSettlements(records, response)
			return
		}
		if !pause.For(ctx, backoff) {
			// Without the holder's answer it is unknown whether the settlements may be written to
			// the majority.
			eventDrawUnsettled.Log("draws", len(records), "holder", holder.member.Node)
			return
		}
	}
}

// sendAllDrawSettlements sends all holders their pending settlements.
func (c *Client) sendAllDrawSettlements(ctx context.Context) {
	var sends sync.WaitGroup
	for _, holder := range c.drawSettlements.holders() {
		sends.Go(func() { c.sendDrawSettlements(ctx, holder) })
	}
	sends.Wait()
}

// appendRejectedSettlements writes the settlements that a holder did not accept to the majority.
func (c *Client) appendRejectedSettlements(records []*replicav1.Record, response *replicav1.LoanResponse) {
	for _, record := range records {
		if slices.Contains(response.NotTaken, record.GetSettlement().Id) {
			c.AppendDeferred(record)
		}
	}
}

func settlementsOf(records []*replicav1.Record) (settlements []*replicav1.Settlement) {
	for _, record := range records {
		settlements = append(settlements, record.GetSettlement())
	}
	return settlements
}

// callHolder makes one call to a holder. It returns nil if there was no answer.
func (c *Client) callHolder(ctx context.Context, holder *LoanHolder, request *replicav1.LoanRequest) *replicav1.LoanResponse {
	request.Epoch, request.Partition = holder.group.Epoch, holder.group.Partition
	if c.reachability.isUnavailable(holder.member.Address) {
		callCtx, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		return c.forward(callCtx, &replicav1.ForwardRequest{
			Address: holder.member.Address, Call: &replicav1.ForwardRequest_Loan{Loan: request},
		}).GetLoan()
	}
	// Marking the holder starts probes, which distinguish a slow holder from one that is gone.
	silenceTimer := time.AfterFunc(callTimeout, func() { c.reachability.markUnresponsive(holder.member.Address) })
	defer silenceTimer.Stop()
	return callMember(ctx, c, holder.group, holder.member, loanTimeout, connect.NewRequest(request), c.ReplicaClient(holder.member.Address).Loan)
}

// RecallLoan closes a loan at its holder and returns the records that return it to the majority.
// It fails with *LoanOutstanding if the holder does not close it in time.
func (c *Client) RecallLoan(ctx context.Context, program string, entry *replicav1.Entry, retention time.Duration) ([]*replicav1.Record, error) {
	holder := c.findHolder(program, entry.Holder)
	if holder == nil {
		return nil, &LoanOutstanding{Program: program, Holder: entry.Holder.Node, Lent: entry.Most}
	}
	for {
		response := c.callHolder(ctx, holder, &replicav1.LoanRequest{
			Program: program, Call: &replicav1.LoanRequest_Close{Close: &replicav1.LoanClosing{
				Loan: entry.Id, Incarnation: entry.Holder.Incarnation, RetentionMs: retention.Milliseconds(),
			}},
		})
		if response.GetOutcome() == replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
			return loan.ReturnRecords(response.Closed, retention), nil
		}
		wait := time.Duration(response.GetAfterMs()+1) * time.Millisecond
		if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET || !pause.For(ctx, wait) {
			return nil, &LoanOutstanding{Program: program, Holder: entry.Holder.Node, Lent: entry.Most}
		}
	}
}

// findHolder returns the replica that a loan names, which may have lost its seat since, or nil if
// no group has it.
func (c *Client) findHolder(program string, named *replicav1.LoanHolder) *LoanHolder {
	group := c.programGroup(program)
	if group == nil {
		return nil
	}
	for _, candidate := range c.allMembers() {
		if candidate.Node == named.Node {
			return &LoanHolder{group: group, member: &replicav1.Member{Node: candidate.Node, Address: candidate.Address, Zone: candidate.Zone}}
		}
	}
	return nil
}

// LoanOutstanding reports that a turn does not fit its program's budget besides a loan whose
// holder does not answer. The unused part of the loan is not known to be free.
type LoanOutstanding struct {
	Program string
	// Holder is the node that the loan names.
	Holder string
	// Lent is the loan's amount in tokens.
	Lent int64
}

func (e *LoanOutstanding) Error() string {
	return "part of the program's budget is lent to " + e.Holder + ", which does not answer"
}

// Type returns "loan_outstanding".
func (e *LoanOutstanding) Type() failure.Type { return "loan_outstanding" }

// Outcome returns NotRun.
func (e *LoanOutstanding) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after retryAfter.
func (e *LoanOutstanding) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}
