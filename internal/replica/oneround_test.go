package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// reserveProof begins a reservation of one program.
func (p *proof) reserveProof() *proofWrite {
	p.serial++
	p.begin(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
		Id: fmt.Sprintf("r%d", p.serial), Program: "p", Most: proofMost,
	}}})
	return p.writes[len(p.writes)-1]
}

// deliverAll brings a write to members, in order; a step passes with each.
func (p *proof) deliverAll(write *proofWrite, names ...string) {
	for _, name := range names {
		p.steps++
		p.deliverTo(write, p.nodes[name])
	}
}

// overtakenReservation plays the one schedule in which a round goes wrong that is
// long, or meets a settlement that comes too soon: the first answer to a
// reservation is from before two others were granted, and the second one shows
// only a third, which is settled. held is how long the reservation is held up.
func overtakenReservation(t *testing.T, broken breakage, held int64) string {
	p := newProof(t, 1, broken)
	p.oneRound, p.timing = true, rand.New(rand.NewPCG(1, 11))
	defer p.close()
	overtaken := p.reserveProof()
	p.deliverAll(overtaken, "n0")
	for range 2 {
		granted := p.reserveProof()
		p.deliverAll(granted, "n0", "n1", "n1", "n2")
		require.True(t, granted.done)
	}
	last := p.reserveProof()
	p.deliverAll(last, "n1", "n2", "n1", "n2")
	require.True(t, last.done)
	require.Len(t, p.unsettled, 3, "three turns fit the budget")
	p.steps += held
	p.unsettled = p.unsettled[2:]
	if p.settle(); len(p.unsettled) == 0 {
		p.deliverAll(p.writes[len(p.writes)-1], "n2")
	}
	p.deliverAll(overtaken, "n2", "n1", "n2")
	require.True(t, overtaken.done)
	return p.violation
}

func TestOvertakenReservationIsNotGranted(t *testing.T) {
	require.Empty(t, overtakenReservation(t, noBreakage, 0), "the settlement must wait, and the round is read again")
	require.Empty(t, overtakenReservation(t, noBreakage, proofSettle), "the round was long, and is read again")
	require.NotEmpty(t, overtakenReservation(t, longRound, proofSettle))
	require.NotEmpty(t, overtakenReservation(t, earlySettlement, 0))
}

// TestOneRoundSumWithPendingReservationsIsRejected plays schedules that a search found.
func TestOneRoundSumWithPendingReservationsIsRejected(t *testing.T) {
	for _, seed := range []uint64{1207, 1402, 1471} {
		require.NotEmpty(t, runOneRoundProof(t, seed, unsettledRound), seed)
		require.Empty(t, runOneRoundProof(t, seed, noBreakage), seed)
	}
	const longRoundSeed = 43338
	require.NotEmpty(t, runOneRoundProof(t, longRoundSeed, longRound))
	require.Empty(t, runOneRoundProof(t, longRoundSeed, noBreakage))
}
