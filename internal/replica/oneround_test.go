package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// startReservation starts a reservation of one program.
func (p *simPartition) startReservation() *simWrite {
	p.lastID++
	p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
		Id: fmt.Sprintf("r%d", p.lastID), Program: "p", Most: simMaxTokens,
	}}})
	return p.writes[len(p.writes)-1]
}

// deliverInOrder delivers a write to members in the given order, one per step.
func (p *simPartition) deliverInOrder(write *simWrite, names ...string) {
	for _, name := range names {
		p.steps++
		p.deliverTo(write, p.nodes[name])
	}
}

// reservationOvertakenByOthers runs a schedule in which a round fails that takes too long, or that
// meets a settlement made too early. The first answer to a reservation precedes two other grants,
// and the second answer shows only a third one, which is settled. delay is how long the reservation
// is held up.
func reservationOvertakenByOthers(t *testing.T, m mutation, delay int64) string {
	p := newSimPartition(t, 1, m)
	p.allowOneRound, p.budgetRandom = true, rand.New(rand.NewPCG(1, 11))
	defer p.close()
	overtaken := p.startReservation()
	p.deliverInOrder(overtaken, "n0")
	for range 2 {
		granted := p.startReservation()
		p.deliverInOrder(granted, "n0", "n1", "n1", "n2")
		require.True(t, granted.done)
	}
	last := p.startReservation()
	p.deliverInOrder(last, "n1", "n2", "n1", "n2")
	require.True(t, last.done)
	require.Len(t, p.unsettled, 3, "three turns fit the budget")
	p.steps += delay
	p.unsettled = p.unsettled[2:]
	if p.settle(); len(p.unsettled) == 0 {
		p.deliverInOrder(p.writes[len(p.writes)-1], "n2")
	}
	p.deliverInOrder(overtaken, "n2", "n1", "n2")
	require.True(t, overtaken.done)
	return p.violation
}

func TestOvertakenReservationIsNotGranted(t *testing.T) {
	require.Empty(t, reservationOvertakenByOthers(t, noMutation, 0), "the settlement has to wait, and the sum is read again")
	require.Empty(t, reservationOvertakenByOthers(t, noMutation, simSettleDelay), "the round took too long, and the sum is read again")
	require.NotEmpty(t, reservationOvertakenByOthers(t, oneRoundIgnoresDuration, simSettleDelay))
	require.NotEmpty(t, reservationOvertakenByOthers(t, earlySettlement, 0))
}

// The seeds were found by a search.
func TestOneRoundSumWithPendingReservationsIsRejected(t *testing.T) {
	for _, seed := range []uint64{1207, 1402, 1471} {
		require.NotEmpty(t, runOneRoundSimulation(t, seed, oneRoundIgnoresPending), seed)
		require.Empty(t, runOneRoundSimulation(t, seed, noMutation), seed)
	}
	const longRoundSeed = 43338
	require.NotEmpty(t, runOneRoundSimulation(t, longRoundSeed, oneRoundIgnoresDuration))
	require.Empty(t, runOneRoundSimulation(t, longRoundSeed, noMutation))
}
