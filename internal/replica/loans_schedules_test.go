package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// loanClosedDuringReservation runs the schedule of reservationOvertakenByOthers, except that the
// settlement made too early is that of a loan. The turn whose reservation was written with the loan
// uses none of its tokens.
func loanClosedDuringReservation(t *testing.T, m mutation) string {
	p := newLoanSimulation(t, 1, m)
	defer p.close()
	overtaken := p.startReservation()
	p.deliverInOrder(overtaken, "n0")
	for range 2 {
		granted := p.startReservation()
		p.deliverInOrder(granted, "n0", "n1", "n1", "n2")
		require.True(t, granted.done)
	}
	last := p.startReservation()
	const amount = simBudget - 2*simMaxTokens - 1
	last.record.GetReservation().Most = 1
	loanReservation := &replicav1.Reservation{Id: "l", Program: "p", Most: amount, Holder: &replicav1.LoanHolder{
		Node: "n2", Incarnation: p.nodes["n2"].state().currentIdentity(p.group.Partition).Incarnation,
	}}
	entry := &simLoan{reservation: loanReservation}
	p.loanState.loans = append(p.loanState.loans, entry)
	last.loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: loanReservation}}
	p.deliverInOrder(last, "n1", "n2", "n1", "n2")
	require.True(t, entry.granted)
	p.granted["p"]--
	p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{
		Id: last.record.GetReservation().Id, Program: "p",
	}}})
	p.deliverInOrder(p.writes[len(p.writes)-1], "n2")
	p.openLoan()
	response := p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Call: &replicav1.LoanRequest_Draw{
		Draw: &replicav1.LoanDraw{Id: "d", Most: amount},
	}})
	require.Equal(t, replicav1.LoanOutcome_LOAN_OUTCOME_DONE, response.Outcome)
	p.addGrantedTokens("p", amount)
	p.loanState.used["p"] += amount
	p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Settlements: []*replicav1.Settlement{{Id: "d", Program: "p", Used: amount}}})
	p.closeLoan()
	if entry.returned {
		p.deliverInOrder(p.writes[len(p.writes)-1], "n2")
	}
	p.deliverInOrder(overtaken, "n2", "n1", "n2")
	require.True(t, overtaken.done)
	return p.violation
}

func TestLoanStaysOpenUntilConcurrentRoundsEnd(t *testing.T) {
	require.Empty(t, loanClosedDuringReservation(t, noMutation))
	require.NotEmpty(t, loanClosedDuringReservation(t, closeTooEarly))
}

// powerLossAfterDraws cuts a holder's power immediately after it has granted draws, and then spends
// what its loan returns.
func powerLossAfterDraws(t *testing.T, m mutation) string {
	p := newLoanSimulation(t, 1, m)
	defer p.close()
	first := p.startReservation()
	loanReservation := &replicav1.Reservation{Id: "l", Program: "p", Most: 2 * simMaxTokens, Holder: &replicav1.LoanHolder{
		Node: "n2", Incarnation: p.nodes["n2"].state().currentIdentity(p.group.Partition).Incarnation,
	}}
	entry := &simLoan{reservation: loanReservation}
	p.loanState.loans = append(p.loanState.loans, entry)
	first.loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: loanReservation}}
	p.deliverInOrder(first, "n0", "n1", "n0", "n1")
	require.True(t, entry.granted)
	p.openLoan()
	for _, id := range []string{"d1", "d2"} {
		response := p.callLoan("n2", &replicav1.LoanRequest{Program: "p", Call: &replicav1.LoanRequest_Draw{
			Draw: &replicav1.LoanDraw{Id: id, Most: simMaxTokens},
		}})
		require.Equal(t, replicav1.LoanOutcome_LOAN_OUTCOME_DONE, response.Outcome)
		p.addGrantedTokens("p", simMaxTokens)
	}
	p.restart(p.nodes["n2"], true)
	p.steps += simSettleDelay
	p.closeLoan()
	require.True(t, entry.returned)
	p.deliverInOrder(p.writes[len(p.writes)-1], "n0", "n1", "n2")
	for range 2 {
		p.deliverInOrder(p.startReservation(), "n0", "n1", "n0", "n1")
	}
	return p.violation
}

func TestDrawIsSyncedBeforeItIsAnswered(t *testing.T) {
	require.Empty(t, powerLossAfterDraws(t, noMutation))
	require.NotEmpty(t, powerLossAfterDraws(t, unsyncedDraw))
}
