package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// budgetLent is the outcome of a reservation that may fit once loans are taken back.
type budgetLent struct {
	loans []*replicav1.Entry
}

func (e *budgetLent) Error() string { return "part of the program's budget is lent" }

// draw lets the turn draw on a loan of its program, which one replica of this zone holds,
// and reports whether it may begin.
func (t *turnState) draw(ctx context.Context, patience time.Duration) bool {
	r := t.request
	if !t.lendsHere() || r.envelope.PreviousTurnID == "" && !r.gateway.lent.seen(r.program) {
		// The turn begins its program, as far as is known here: there is no loan yet.
		return false
	}
	return t.drawFromHolder(ctx, patience)
}

// lendsHere reports whether this gateway asks for loans.
func (t *turnState) lendsHere() bool {
	return t.request.gateway.options.EnabledMechanisms.Has(mechanism.BudgetLoans)
}

// lateDraw is a draw that was not answered yet when the turn went on without it.
type lateDraw struct {
	drawing *quorum.PendingDraw
	// reservation names it.
	reservation string
}

// drawFromHolder asks the replica of this zone that holds the program's loans, if any. A draw
// that is not answered in time is kept as the turn's late one, and the turn's reservation is
// named anew.
func (t *turnState) drawFromHolder(ctx context.Context, patience time.Duration) bool {
	r := t.request
	t.abandonLateDraw()
	holder := r.gateway.quorum.LoanHolder(r.program)
	if holder == nil {
		r.note(eventUndrawn, "reason", "no_holder")
		return false
	}
	drawing := r.gateway.quorum.StartDraw(holder, r.program, t.reservation, r.envelope.MaxTokens)
	if drawn, answered := t.awaitDraw(ctx, drawing, patience); answered {
		return drawn
	}
	t.late = &lateDraw{drawing: drawing, reservation: t.reservation}
	t.reservation = newReservationID()
	return false
}

// awaitDraw waits for a draw under the turn's reservation and reports whether the turn may
// begin on it.
func (t *turnState) awaitDraw(ctx context.Context, drawing *quorum.PendingDraw, patience time.Duration) (drawn, answered bool) {
	r := t.request
	outcome, left, answered := drawing.Await(ctx, patience)
	if !answered {
		r.note(eventUndrawn, "reason", "no_answer_yet", "waited_ms", patience.Milliseconds())
		return false, false
	}
	if outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		r.note(eventUndrawn, "reason", outcome.String(), "left", left)
		return false, true
	}
	t.lender, t.granted = drawing.Holder(), time.Now()
	r.gateway.lent.note(r.program)
	t.tight = left < r.envelope.MaxTokens
	r.gateway.metrics.lent(lentDrawn)
	r.note(eventDrawn, "reservation", t.reservation, "most", r.envelope.MaxTokens, "left", left)
	return true, true
}

// drawLate lets the turn begin on its late draw, after the majority that was asked instead has
// not answered: a holder whose disk is slow answers after DrawWait, and its word counts as well
// then. What that majority may hold of the turn is withdrawn.
func (t *turnState) drawLate() bool {
	if t.late == nil {
		return false
	}
	r := t.request
	withdrawn := t.settlement(&stream{request: r})
	late := t.late
	t.late = nil
	asked := t.reservation
	t.reservation = late.reservation
	drawn, answered := t.awaitDraw(r.incoming.Context(), late.drawing, min(quorum.NoMajorityDrawTimeout, r.timeToWait()))
	if drawn {
		r.gateway.quorum.AppendDeferred(withdrawn)
		return true
	}
	if !answered {
		r.gateway.quorum.SettleDraw(late.drawing.Holder(), t.settlement(&stream{request: r}))
	}
	t.reservation = asked
	return false
}

// abandonLateDraw gives back what a draw may hold that the turn does not need any more.
func (t *turnState) abandonLateDraw() {
	if t.late == nil {
		return
	}
	late, named := t.late, t.reservation
	t.late = nil
	t.reservation = late.reservation
	t.request.gateway.quorum.SettleDraw(late.drawing.Holder(), t.settlement(&stream{request: t.request}))
	t.reservation = named
}

// beginOnLoan begins a turn while no majority answers. It fails with the cause where the
// turn is to be kept, which needs a majority, or draws on no loan.
func (t *turnState) beginOnLoan(ctx context.Context, cause error) (*turnState, error) {
	if t.request.route.Stateful {
		return nil, cause
	}
	t.reserved, t.reservation = true, newReservationID()
	if !t.draw(ctx, quorum.NoMajorityDrawTimeout) {
		t.abandonLateDraw()
		t.reserved = false
		return nil, cause
	}
	if err := t.request.admitAlone(ctx); err != nil {
		t.settle(&stream{request: t.request})
		return nil, err
	}
	return t, nil
}

// newReservationID returns a name that no other reservation has.
func newReservationID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// loanWish is a loan that is asked for with a turn's reservation. A nil wish asks for none.
type loanWish struct {
	request *request
	holder  *quorum.LoanHolder
	record  *replicav1.Record
}

// wishLoan returns the loan that is to be asked for with the turn, or nil.
func (t *turnState) wishLoan() *loanWish {
	r := t.request
	if !t.lendsHere() {
		return nil
	}
	holder := r.gateway.quorum.LoanHolder(r.program)
	if holder == nil {
		return nil
	}
	named := r.gateway.quorum.HolderIdentity(holder)
	most := r.envelope.MaxTokens
	amount := loan.Amount(most, r.envelope.TokenBudget-r.gateway.spent.of(r.program)-most)
	if named == nil || amount == 0 {
		return nil
	}
	reservation := &replicav1.Reservation{Id: newReservationID(), Program: r.program, Most: amount, Holder: named}
	return &loanWish{request: r, holder: holder, record: &replicav1.Record{
		Kind: &replicav1.Record_Reservation{Reservation: reservation}, RetentionMs: r.loanRetention().Milliseconds(),
	}}
}

// loanRetention is how long a loan is remembered: the last turn that draws on it begins
// loan.Lifetime after it was opened.
func (r *request) loanRetention() time.Duration { return r.retention() + loan.Lifetime }

// records returns what is to be written with the turn's reservation.
func (w *loanWish) records() []*replicav1.Record {
	if w == nil {
		return nil
	}
	return []*replicav1.Record{w.record}
}

// takeFrom takes the wish out of a ledger: the turn comes before it.
func (w *loanWish) takeFrom(ledger turn.Ledger) {
	if w != nil {
		delete(ledger, w.record.GetReservation().Id)
	}
}

// grant has the loan opened if it fits beside everything that the ledger tells, the turn
// included. Else it is withdrawn.
func (w *loanWish) grant(ledger turn.Ledger) {
	if w == nil {
		return
	}
	wished, gateway := w.record.GetReservation(), w.request.gateway
	if !ledger.Fits(wished.Id, wished.Most, w.request.envelope.TokenBudget) {
		w.withdraw()
		return
	}
	gateway.lent.note(wished.Program)
	gateway.metrics.lent(lentGranted)
	w.request.note(eventLent, "loan", wished.Id, "amount", wished.Most, "holder", wished.Holder.Node)
	go func() {
		if gateway.quorum.OpenLoan(context.Background(), w.holder, wished, w.request.loanRetention()) {
			w.withdraw()
		}
	}()
}

// withdraw settles a loan that is not opened.
func (w *loanWish) withdraw() {
	if w == nil {
		return
	}
	wished := w.record.GetReservation()
	w.request.gateway.quorum.AppendDeferred(&replicav1.Record{
		Kind:        &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{Id: wished.Id, Program: wished.Program}},
		RetentionMs: w.record.RetentionMs,
	})
}

// takeBack takes back the loans that are in the turn's way. What they give back is written
// with the next reservation.
func (t *turnState) takeBack(ctx context.Context, lent *budgetLent) error {
	r := t.request
	for _, entry := range lent.loans {
		records, err := r.gateway.quorum.RecallLoan(ctx, r.program, entry, r.loanRetention())
		if err != nil {
			r.gateway.metrics.lent(lentKept)
			return err
		}
		r.gateway.metrics.lent(lentTakenBack)
		r.note(eventReturned, "loan", entry.Id, "lent", entry.Most, "holder", entry.Holder.GetNode())
		for _, record := range records {
			r.gateway.quorum.AppendDeferred(record)
		}
	}
	return nil
}

// maxTakenBack is how often a turn takes loans back that are in its way. What was taken back
// may be on its way to the majority still, or another loan was granted meanwhile.
const maxTakenBack = 3

// reserveBesideLoans is tryToReserve, after which loans that are in the way are taken back.
func (t *turnState) reserveBesideLoans(ctx context.Context) error {
	for try := 0; ; try++ {
		err := t.tryToReserve(ctx)
		var lent *budgetLent
		if !errors.As(err, &lent) {
			return err
		}
		if try == maxTakenBack {
			entry := lent.loans[0]
			return &quorum.LoanOutstanding{Program: t.request.program, Holder: entry.Holder.GetNode(), Lent: entry.Most}
		}
		t.settle(&stream{request: t.request})
		if try == 0 && t.drawUnheard(ctx) {
			return nil
		}
		if err := t.takeBack(ctx, lent); err != nil {
			return err
		}
	}
}

// drawUnheard draws on a loan of this zone that this gateway has not heard of, if there is
// one.
func (t *turnState) drawUnheard(ctx context.Context) bool {
	if !t.lendsHere() {
		return false
	}
	t.reservation = newReservationID()
	t.reserved = t.drawFromHolder(ctx, quorum.DrawTimeout)
	t.abandonLateDraw()
	return t.reserved
}
