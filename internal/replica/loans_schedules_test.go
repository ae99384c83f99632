package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// overtakenByALoan plays the schedule of overtakenReservation in which the settlement that
// comes too soon is that of a loan, whose turn has left unused.
func overtakenByALoan(t *testing.T, broken breakage) string {
	p := newLoanProof(t, 1, broken)
	defer p.close()
	overtaken := p.reserveProof()
	p.deliverAll(overtaken, "n0")
	for range 2 {
		granted := p.reserveProof()
		p.deliverAll(granted, "n0", "n1", "n1", "n2")
		require.True(t, granted.done)
	}
	last := p.reserveProof()
	const amount = proofBudget - 2*proofMost - 1
	last.record.GetReservation().Most = 1
	lent := &replicav1.Reservation{Id: "l", Program: "p", Most: amount, Holder: &replicav1.LoanHolder{
		Node: "n2", Incarnation: p.nodes["n2"].state().currentIdentity(p.group.Partition).Incarnation,
	}}
	each := &proofLoan{reservation: lent}
	p.lending.loans = append(p.lending.loans, each)
	last.loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: lent}}
	p.deliverAll(last, "n1", "n2", "n1", "n2")
	require.True(t, each.granted)
	p.granted["p"]--
	p.begin(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{
		Id: last.record.GetReservation().Id, Program: "p",
	}}})
	p.deliverAll(p.writes[len(p.writes)-1], "n2")
	p.openLoan()
	response := p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Call: &replicav1.LoanRequest_Draw{
		Draw: &replicav1.LoanDraw{Id: "d", Most: amount},
	}})
	require.Equal(t, replicav1.LoanOutcome_LOAN_OUTCOME_DONE, response.Outcome)
	p.handOut("p", amount)
	p.lending.used["p"] += amount
	p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Settlements: []*replicav1.Settlement{{Id: "d", Program: "p", Used: amount}}})
	p.closeLoan()
	if each.returned {
		p.deliverAll(p.writes[len(p.writes)-1], "n2")
	}
	p.deliverAll(overtaken, "n2", "n1", "n2")
	require.True(t, overtaken.done)
	return p.violation
}

func TestLoanStaysOpenUntilConcurrentRoundsEnd(t *testing.T) {
	require.Empty(t, overtakenByALoan(t, noBreakage))
	require.NotEmpty(t, overtakenByALoan(t, earlyClosing))
}

// powerLossAfterDraws takes a holder's power right after it has granted draws, and spends
// what its loan then gives back.
func powerLossAfterDraws(t *testing.T, broken breakage) string {
	p := newLoanProof(t, 1, broken)
	defer p.close()
	first := p.reserveProof()
	lent := &replicav1.Reservation{Id: "l", Program: "p", Most: 2 * proofMost, Holder: &replicav1.LoanHolder{
		Node: "n2", Incarnation: p.nodes["n2"].state().currentIdentity(p.group.Partition).Incarnation,
	}}
	each := &proofLoan{reservation: lent}
	p.lending.loans = append(p.lending.loans, each)
	first.loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: lent}}
	p.deliverAll(first, "n0", "n1", "n0", "n1")
	require.True(t, each.granted)
	p.openLoan()
	for _, id := range []string{"d1", "d2"} {
		response := p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Call: &replicav1.LoanRequest_Draw{
			Draw: &replicav1.LoanDraw{Id: id, Most: proofMost},
		}})
		require.Equal(t, replicav1.LoanOutcome_LOAN_OUTCOME_DONE, response.Outcome)
		p.handOut("p", proofMost)
	}
	p.restart(p.nodes["n2"], true)
	p.steps += proofSettle
	p.closeLoan()
	require.True(t, each.returned)
	p.deliverAll(p.writes[len(p.writes)-1], "n0", "n1", "n2")
	for range 2 {
		p.deliverAll(p.reserveProof(), "n0", "n1", "n0", "n1")
	}
	return p.violation
}

func TestDrawIsSyncedBeforeItIsAnswered(t *testing.T) {
	require.Empty(t, powerLossAfterDraws(t, noBreakage))
	require.NotEmpty(t, powerLossAfterDraws(t, unsyncedDraw))
}
