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
	// DrawTimeout is how long a turn waits for its draw, which takes a fraction of a
	// millisecond within a zone: beside a slow holder it reserves at a majority, which
	// takes a few.
	DrawTimeout = 30 * time.Millisecond
	// NoMajorityDrawTimeout is the same where no majority answers: the holder is all that there is,
	// and the turn would be refused.
	NoMajorityDrawTimeout = loanTimeout
	// loanTimeout bounds one call of a loan: its holder waits for the sync in progress, and for
	// its own, before it answers, and no other member answers instead.
	loanTimeout = 2 * callTimeout
	// settleDrawsFor is how long a draw's settlement is tried to be told to the holder. One
	// that is not told costs its program budget.
	settleDrawsFor = 3 * time.Second
)

var eventDrawUnsettled = event.Define(2765, event.Warning, "a turn on a loan cannot be settled at the loan's holder; it counts at its most", "Look at the link to the holder.")

// LoanHolder is the replica that lends to a program's turns.
type LoanHolder struct {
	member *replicav1.Member
	group  *replicav1.Group
}

// LoanHolder returns the replica of this process's zone that holds a program's loans: all
// gateways of the zone choose the same one. It returns nil where the zone has none, or the
// one that it has does not answer for longer than a moment: its disk may be slow, and where no
// majority answers it is all that there is.
func (c *Client) LoanHolder(program string) *LoanHolder {
	group := c.group(program)
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
	if chosen == nil || c.reach.isAway(chosen.Address) {
		return nil
	}
	return &LoanHolder{member: chosen, group: group}
}

// lives are the incarnations that replicas last told of themselves.
type lives struct {
	// incarnations are by partition and node.
	incarnations sync.Map
}

type lifeKey struct {
	partition uint32
	node      string
}

func (l *lives) note(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) {
	if !standing.Member || !standing.Recovered {
		return
	}
	key := lifeKey{group.Partition, member.Node}
	if known, found := l.incarnations.Load(key); !found || known.(uint64) != standing.Incarnation {
		l.incarnations.Store(key, standing.Incarnation)
	}
}

// HolderIdentity returns what a loan must name to be held by the replica, or nil while its
// incarnation is not known.
func (c *Client) HolderIdentity(holder *LoanHolder) *replicav1.LoanHolder {
	incarnation, known := c.lives.incarnations.Load(lifeKey{holder.group.Partition, holder.member.Node})
	if !known {
		return nil
	}
	return &replicav1.LoanHolder{Node: holder.member.Node, Incarnation: incarnation.(uint64)}
}

// PendingDraw is a draw that a holder was asked for.
type PendingDraw struct {
	holder *LoanHolder
	// answers gets the holder's answer, or nil where there is none, and is closed then.
	answers chan *replicav1.LoanResponse
}

// LoanHolder returns the replica that was asked.
func (d *PendingDraw) Holder() *LoanHolder { return d.holder }

// StartDraw asks a holder for the most that a turn may generate. Settlements of draws at the
// same holder go along. The call goes on after those who await it have given up: its
// settlements count, and a holder that is slow is not silent.
func (c *Client) StartDraw(holder *LoanHolder, program, id string, most int64) *PendingDraw {
	drawing := &PendingDraw{holder: holder, answers: make(chan *replicav1.LoanResponse, 1)}
	go func() {
		drawing.answers <- c.draw(holder, program, id, most)
		close(drawing.answers)
	}()
	return drawing
}

// Await returns the outcome of the draw. answered is false where no word came within the
// time given; then the tokens may be drawn, and the draw may be awaited again.
func (d *PendingDraw) Await(ctx context.Context, patience time.Duration) (outcome replicav1.LoanOutcome, left int64, answered bool) {
	wait := time.NewTimer(patience)
	defer wait.Stop()
	select {
	case response := <-d.answers:
		return response.GetOutcome(), response.GetLeft(), response != nil
	case <-wait.C:
	case <-ctx.Done():
	}
	return replicav1.LoanOutcome_LOAN_OUTCOME_NONE, 0, false
}

// draw makes the call of a draw; nil means that there was no answer.
func (c *Client) draw(holder *LoanHolder, program, id string, most int64) *replicav1.LoanResponse {
	along := c.drawn.take(holder.key())
	response := c.callHolder(context.Background(), holder, &replicav1.LoanRequest{
		Program: program, Call: &replicav1.LoanRequest_Draw{Draw: &replicav1.LoanDraw{Id: id, Most: most}},
		Settlements: settlementsOf(along),
	})
	if response == nil {
		c.settleDrawsAgain(holder, along)
		return nil
	}
	c.notTaken(along, response)
	return response
}

// settleDrawsAgain has settlements told once more that may not have come.
func (c *Client) settleDrawsAgain(holder *LoanHolder, records []*replicav1.Record) {
	for _, record := range records {
		c.SettleDraw(holder, record)
	}
}

// OpenLoan tells a holder that a majority has granted a loan. It is to be called once for
// a loan. refused is set where the holder has answered that it does not open it; then it
// never was open. Without an answer the loan may be held by nobody, and is taken back when
// it is missed.
func (c *Client) OpenLoan(ctx context.Context, holder *LoanHolder, granted *replicav1.Reservation, retention time.Duration) (refused bool) {
	response := c.callHolder(ctx, holder, &replicav1.LoanRequest{
		Program: granted.Program, Call: &replicav1.LoanRequest_Open{Open: &replicav1.LoanOpening{
			Loan: granted.Id, Amount: granted.Most, Incarnation: granted.Holder.Incarnation, RetentionMs: retention.Milliseconds(),
		}},
	})
	return response != nil && response.Outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE
}

// drawSettlements are what turns on loans have used, until their holders know.
type drawSettlements struct {
	mutex   sync.Mutex
	waiting map[heldPartition]*holderSettlements
}

// heldPartition names a holder's accounts of one partition.
type heldPartition struct {
	address   string
	partition uint32
}

func (h *LoanHolder) key() heldPartition { return heldPartition{h.member.Address, h.group.Partition} }

// holderSettlements wait for one holder.
type holderSettlements struct {
	holder  *LoanHolder
	records []*replicav1.Record
}

// add notes a settlement and reports whether it is the first one that waits.
func (d *drawSettlements) add(holder *LoanHolder, records ...*replicav1.Record) (first bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.waiting[holder.key()]
	if first = known == nil; first {
		known = &holderSettlements{holder: holder}
		d.waiting[holder.key()] = known
	}
	known.records = append(known.records, records...)
	return first
}

// take returns the settlements that wait for a holder and forgets them.
func (d *drawSettlements) take(key heldPartition) []*replicav1.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.waiting[key]
	delete(d.waiting, key)
	if known == nil {
		return nil
	}
	return known.records
}

// holders returns those for which settlements wait.
func (d *drawSettlements) holders() (holders []*LoanHolder) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, each := range d.waiting {
		holders = append(holders, each.holder)
	}
	return holders
}

// SettleDraw tells a holder what a turn on its loan has used: with the next draw there, or
// after deferredFor. What the holder does not take, because the loan is closed, is the
// majority's.
func (c *Client) SettleDraw(holder *LoanHolder, record *replicav1.Record) {
	if c.drawn.add(holder, record) {
		time.AfterFunc(deferredFor, func() { c.writeDrawn(context.Background(), holder) })
	}
}

// SettleDrawNow is SettleDraw without the wait.
func (c *Client) SettleDrawNow(holder *LoanHolder, record *replicav1.Record) {
	c.drawn.add(holder, record)
	go c.writeDrawn(context.Background(), holder)
}

// writeDrawn tells a holder the settlements that wait for it.
func (c *Client) writeDrawn(ctx context.Context, holder *LoanHolder) {
	records := c.drawn.take(holder.key())
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleDrawsFor)
	defer cancel()
	for wait := retryPause; ; wait = min(2*wait, lastRetryPause) {
		response := c.callHolder(ctx, holder, &replicav1.LoanRequest{Settlements: settlementsOf(records)})
		if response != nil {
			c.notTaken(records, response)
			return
		}
		if !pause.For(ctx, wait) {
			// Only the holder's word tells whether the majority may be told.
			eventDrawUnsettled.Log("draws", len(records), "holder", holder.member.Node)
			return
		}
	}
}

// writeAllDrawn tells all holders what waits for them.
func (c *Client) writeAllDrawn(ctx context.Context) {
	var writing sync.WaitGroup
	for _, holder := range c.drawn.holders() {
		writing.Go(func() { c.writeDrawn(ctx, holder) })
	}
	writing.Wait()
}

// notTaken has the majority told of the settlements that a holder did not take.
func (c *Client) notTaken(records []*replicav1.Record, response *replicav1.LoanResponse) {
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

// callHolder makes one call to a holder; nil means that there was no answer.
func (c *Client) callHolder(ctx context.Context, holder *LoanHolder, request *replicav1.LoanRequest) *replicav1.LoanResponse {
	request.Epoch, request.Partition = holder.group.Epoch, holder.group.Partition
	if c.reach.isAway(holder.member.Address) {
		limited, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		return c.forward(limited, &replicav1.ForwardRequest{
			Address: holder.member.Address, Call: &replicav1.ForwardRequest_Loan{Loan: request},
		}).GetLoan()
	}
	// Probes tell a slow holder from one that is gone.
	slow := time.AfterFunc(callTimeout, func() { c.reach.silent(holder.member.Address) })
	defer slow.Stop()
	return askDirectly(ctx, c, holder.group, holder.member, loanTimeout, connect.NewRequest(request), c.ReplicaClient(holder.member.Address).Loan)
}

// RecallLoan closes a loan at its holder and returns the records by which it goes back to the
// majority. It fails with *LoanOutstanding where the holder gives no word of it in time.
func (c *Client) RecallLoan(ctx context.Context, program string, lent *replicav1.Entry, retention time.Duration) ([]*replicav1.Record, error) {
	holder := c.holderOf(program, lent.Holder)
	if holder == nil {
		return nil, &LoanOutstanding{Program: program, Holder: lent.Holder.Node, Lent: lent.Most}
	}
	for {
		response := c.callHolder(ctx, holder, &replicav1.LoanRequest{
			Program: program, Call: &replicav1.LoanRequest_Close{Close: &replicav1.LoanClosing{
				Loan: lent.Id, Incarnation: lent.Holder.Incarnation, RetentionMs: retention.Milliseconds(),
			}},
		})
		if response.GetOutcome() == replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
			return loan.ReturnRecords(response.Closed, retention), nil
		}
		wait := time.Duration(response.GetAfterMs()+1) * time.Millisecond
		if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_NOT_YET || !pause.For(ctx, wait) {
			return nil, &LoanOutstanding{Program: program, Holder: lent.Holder.Node, Lent: lent.Most}
		}
	}
}

// holderOf returns the replica that a loan names, which may have lost its seat since, or
// nil where no group has it.
func (c *Client) holderOf(program string, named *replicav1.LoanHolder) *LoanHolder {
	group := c.group(program)
	if group == nil {
		return nil
	}
	for _, each := range c.members() {
		if each.Node == named.Node {
			return &LoanHolder{group: group, member: &replicav1.Member{Node: each.Node, Address: each.Address, Zone: each.Zone}}
		}
	}
	return nil
}

// LoanOutstanding reports a turn that does not fit its program's budget beside a loan whose
// holder gives no word: what the loan has left is not known to be spent.
type LoanOutstanding struct {
	Program string
	// LoanHolder is the node that the loan names.
	Holder string
	// Lent is in tokens.
	Lent int64
}

func (e *LoanOutstanding) Error() string {
	return "part of the program's budget is lent to " + e.Holder + ", which does not answer"
}

// Type returns "loan_outstanding".
func (e *LoanOutstanding) Type() failure.Type { return "loan_outstanding" }

// Outcome returns NotRun.
func (e *LoanOutstanding) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *LoanOutstanding) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: retryAfter}
}
