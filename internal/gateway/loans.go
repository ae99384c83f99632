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

// blockedByLoans is the error of a reservation that may fit once outstanding loans are
// recalled.
type blockedByLoans struct {
	loans []*replicav1.Entry
}

func (e *blockedByLoans) Error() string {
	return "outstanding loans of the program's budget block the reservation"
}

// drawIfLikely draws tokens for the turn from a loan of its program if there is likely to be
// one. A loan is a part of the program's budget that one replica of this zone may allocate by
// itself. It reports whether the turn may begin.
func (t *turnState) drawIfLikely(ctx context.Context, timeout time.Duration) bool {
	r := t.request
	if !t.loansEnabled() || r.metadata.PreviousTurnID == "" && !r.gateway.lentPrograms.contains(r.programKey) {
		// As far as this gateway knows the turn starts its program, which has no loan yet.
		return false
	}
	return t.drawFromHolder(ctx, timeout)
}

// loansEnabled reports whether this gateway uses loans.
func (t *turnState) loansEnabled() bool {
	return t.request.gateway.options.EnabledMechanisms.Has(mechanism.BudgetLoans)
}

// pendingDraw is a draw that had not been answered when the turn stopped waiting for it.
type pendingDraw struct {
	draw *quorum.PendingDraw
	// reservationID is the reservation of the draw.
	reservationID string
}

// drawFromHolder draws from the replica of this zone that holds the program's loans, if any. If
// the draw is not answered in time, it becomes the turn's pending draw and the turn gets a new
// reservation id.
func (t *turnState) drawFromHolder(ctx context.Context, timeout time.Duration) bool {
	r := t.request
	t.releasePendingDraw()
	holder := r.gateway.quorum.LoanHolder(r.programKey)
	if holder == nil {
		r.addLogEntry(eventLoanNotDrawn, "reason", "no_holder")
		return false
	}
	draw := r.gateway.quorum.StartDraw(holder, r.programKey, t.reservationID, r.metadata.MaxTokens)
	if drawn, answered := t.awaitDraw(ctx, draw, timeout); answered {
		return drawn
	}
	t.pendingDraw = &pendingDraw{draw: draw, reservationID: t.reservationID}
	t.reservationID = newReservationID()
	return false
}

// awaitDraw waits for a draw under the turn's reservation and reports whether the turn may
// begin on it.
func (t *turnState) awaitDraw(ctx context.Context, draw *quorum.PendingDraw, timeout time.Duration) (drawn, answered bool) {
	r := t.request
	outcome, left, answered := draw.Await(ctx, timeout)
	if !answered {
		r.addLogEntry(eventLoanNotDrawn, "reason", "no_answer_yet", "waited_ms", timeout.Milliseconds())
		return false, false
	}
	if outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		r.addLogEntry(eventLoanNotDrawn, "reason", outcome.String(), "left", left)
		return false, true
	}
	t.loanHolder, t.grantedAt = draw.Holder(), time.Now()
	r.gateway.lentPrograms.add(r.programKey)
	t.budgetTight = left < r.metadata.MaxTokens
	r.gateway.metrics.recordLoan(loanDrawn)
	r.addLogEntry(eventLoanDrawn, "reservation", t.reservationID, "most", r.metadata.MaxTokens, "left", left)
	return true, true
}

// awaitPendingDraw waits for the pending draw after the majority, which was asked instead, has not
// answered, and reports whether the turn may begin on it. A holder with a slow disk answers later
// than quorum.DrawTimeout, and the draw is still valid then. If it succeeds, the reservation that
// the majority may have recorded is withdrawn.
func (t *turnState) awaitPendingDraw() bool {
	if t.pendingDraw == nil {
		return false
	}
	r := t.request
	withdrawal := t.settlementRecord(&stream{request: r})
	pending := t.pendingDraw
	t.pendingDraw = nil
	majorityReservationID := t.reservationID
	t.reservationID = pending.reservationID
	drawn, answered := t.awaitDraw(r.incoming.Context(), pending.draw, min(quorum.NoMajorityDrawTimeout, r.slack()))
	if drawn {
		r.gateway.quorum.AppendDeferred(withdrawal)
		return true
	}
	if !answered {
		r.gateway.quorum.SettleDraw(pending.draw.Holder(), t.settlementRecord(&stream{request: r}))
	}
	t.reservationID = majorityReservationID
	return false
}

// releasePendingDraw releases the tokens of a pending draw that the turn no longer needs.
func (t *turnState) releasePendingDraw() {
	if t.pendingDraw == nil {
		return
	}
	pending, currentReservationID := t.pendingDraw, t.reservationID
	t.pendingDraw = nil
	t.reservationID = pending.reservationID
	t.request.gateway.quorum.SettleDraw(pending.draw.Holder(), t.settlementRecord(&stream{request: t.request}))
	t.reservationID = currentReservationID
}

// beginOnLoanOnly begins a turn while no majority answers. It returns cause if the turn cannot
// draw on a loan, or has to be stored, which needs a majority.
func (t *turnState) beginOnLoanOnly(ctx context.Context, cause error) (*turnState, error) {
	if t.request.route.Stateful {
		return nil, cause
	}
	t.hasReservation, t.reservationID = true, newReservationID()
	if !t.drawIfLikely(ctx, quorum.NoMajorityDrawTimeout) {
		t.releasePendingDraw()
		t.hasReservation = false
		return nil, cause
	}
	if err := t.request.admitWithWait(ctx); err != nil {
		t.settle(&stream{request: t.request})
		return nil, err
	}
	return t, nil
}

// newReservationID returns a random reservation id.
func newReservationID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// loanRequest is a loan that is requested along with a turn's reservation; nil requests none.
type loanRequest struct {
	request *request
	holder  *quorum.LoanHolder
	record  *replicav1.Record
}

// newLoanRequest returns the loan to request along with the turn, or nil.
func (t *turnState) newLoanRequest() *loanRequest {
	r := t.request
	if !t.loansEnabled() {
		return nil
	}
	holder := r.gateway.quorum.LoanHolder(r.programKey)
	if holder == nil {
		return nil
	}
	holderName := r.gateway.quorum.HolderIdentity(holder)
	maxTokens := r.metadata.MaxTokens
	amount := loan.Amount(maxTokens, r.metadata.TokenBudget-r.gateway.spentTokens.get(r.programKey)-maxTokens)
	if holderName == nil || amount == 0 {
		return nil
	}
	reservation := &replicav1.Reservation{Id: newReservationID(), Program: r.programKey, Most: amount, Holder: holderName}
	return &loanRequest{request: r, holder: holder, record: &replicav1.Record{
		Kind: &replicav1.Record_Reservation{Reservation: reservation}, RetentionMs: r.loanRecordRetention().Milliseconds(),
	}}
}

// loanRecordRetention is how long a loan is recorded. The last turn that draws on it begins
// loan.Lifetime after it was opened.
func (r *request) loanRecordRetention() time.Duration { return r.recordRetention() + loan.Lifetime }

// records returns the records to write along with the turn's reservation.
func (l *loanRequest) records() []*replicav1.Record {
	if l == nil {
		return nil
	}
	return []*replicav1.Record{l.record}
}

// removeFrom removes the requested loan from a ledger, because the turn takes precedence over
// it.
func (l *loanRequest) removeFrom(ledger turn.Ledger) {
	if l != nil {
		delete(ledger, l.record.GetReservation().Id)
	}
}

// openIfFits opens the loan if it fits the budget together with everything in the ledger,
// including the turn. Otherwise it withdraws the loan.
func (l *loanRequest) openIfFits(ledger turn.Ledger) {
	if l == nil {
		return
	}
	reservation, gateway := l.record.GetReservation(), l.request.gateway
	if !ledger.Fits(reservation.Id, reservation.Most, l.request.metadata.TokenBudget) {
		l.withdraw()
		return
	}
	gateway.lentPrograms.add(reservation.Program)
	gateway.metrics.recordLoan(loanGranted)
	l.request.addLogEntry(eventLoanGranted, "loan", reservation.Id, "amount", reservation.Most, "holder", reservation.Holder.Node)
	go func() {
		if gateway.quorum.OpenLoan(context.Background(), l.holder, reservation, l.request.loanRecordRetention()) {
			l.withdraw()
		}
	}()
}

// withdraw settles a loan that is not opened.
func (l *loanRequest) withdraw() {
	if l == nil {
		return
	}
	reservation := l.record.GetReservation()
	l.request.gateway.quorum.AppendDeferred(&replicav1.Record{
		Kind:        &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{Id: reservation.Id, Program: reservation.Program}},
		RetentionMs: l.record.RetentionMs,
	})
}

// recallLoans recalls the loans that block the turn. The returned tokens are recorded with
// the next reservation.
func (t *turnState) recallLoans(ctx context.Context, blocked *blockedByLoans) error {
	r := t.request
	for _, loan := range blocked.loans {
		records, err := r.gateway.quorum.RecallLoan(ctx, r.programKey, loan, r.loanRecordRetention())
		if err != nil {
			r.gateway.metrics.recordLoan(loanNotRecalled)
			return err
		}
		r.gateway.metrics.recordLoan(loanRecalled)
		r.addLogEntry(eventLoanRecalled, "loan", loan.Id, "lent", loan.Most, "holder", loan.Holder.GetNode())
		for _, record := range records {
			r.gateway.quorum.AppendDeferred(record)
		}
	}
	return nil
}

// maxLoanRecalls bounds how often a turn recalls the loans that block it. A retry may be
// needed because recalled tokens have not reached the majority yet, or because another loan
// was granted in the meantime.
const maxLoanRecalls = 3

// reserveRecallingLoans calls reserveOnce, and retries after recalling the loans that block
// the reservation.
func (t *turnState) reserveRecallingLoans(ctx context.Context) error {
	for try := 0; ; try++ {
		err := t.reserveOnce(ctx)
		var blocked *blockedByLoans
		if !errors.As(err, &blocked) {
			return err
		}
		if try == maxLoanRecalls {
			entry := blocked.loans[0]
			return &quorum.LoanOutstanding{Program: t.request.programKey, Holder: entry.Holder.GetNode(), Lent: entry.Most}
		}
		t.settle(&stream{request: t.request})
		if try == 0 && t.drawFromUnknownLoan(ctx) {
			return nil
		}
		if err := t.recallLoans(ctx, blocked); err != nil {
			return err
		}
	}
}

// drawFromUnknownLoan draws on a loan of this zone that this gateway did not know of, if there is
// one.
func (t *turnState) drawFromUnknownLoan(ctx context.Context) bool {
	if !t.loansEnabled() {
		return false
	}
	t.reservationID = newReservationID()
	t.hasReservation = t.drawFromHolder(ctx, quorum.DrawTimeout)
	t.releasePendingDraw()
	return t.hasReservation
}
