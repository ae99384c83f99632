package quorum

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// OneRoundLimit is how long a round that writes a reservation and reads its
	// program's sum may take, by the caller's steady clock, for that sum to count.
	OneRoundLimit = 60 * time.Millisecond
	// SettleDelay is how long after its reservation was granted a turn that has
	// used tokens may be settled at the earliest.
	SettleDelay = 2 * OneRoundLimit
)

// OneRoundSuffices reports whether the sum that came with the write of a reservation is
// enough to grant it. Each of several reservations at once may miss another, in a
// cycle, so a sum that shows another one under way must be read again after the
// write. Where all others are settled and the round was short, none under way can
// be missing:
//
//   - Of two reservations at least one sees the other: their majorities share a
//     replica, which took one of them first.
//   - A reservation that this one misses sees this one. It is under way at the same
//     time, and does not count in one round itself unless it saw this one settled.
//   - A settled reservation that this one sees was granted SettleDelay before its
//     settlement at the earliest, so at least OneRoundLimit before this round began,
//     and so were those that it was granted after: this round sees them all.
//
// own are the reservations that the round wrote: a turn's and, with it, a loan's. limit
// and the delay of settlements are OneRoundLimit and SettleDelay, in any unit of time.
func OneRoundSuffices[T ~int64](ledger turn.Ledger, took, limit T, own ...string) bool {
	return took <= limit && ledger.OthersSettled(own...)
}

// Reserve writes a reservation to a majority and returns what a majority of
// recovered replicas knows of its program. Deferred records of its partition go along. Where the answers to the write do not
// tell enough, the sum is read once more after the write. others are the caller's further
// reservations of the same program: a loan that is wished for with a turn.
func (c *Client) Reserve(ctx context.Context, record *replicav1.Record, others ...*replicav1.Record) (turn.Ledger, error) {
	reservation := record.GetReservation()
	written, own := []*replicav1.Record{record}, []string{reservation.Id}
	for _, other := range others {
		written, own = append(written, other), append(own, other.GetReservation().Id)
	}
	programs := []string{reservation.Program}
	partitions := c.partitions()
	along := c.deferred.takePartition(PartitionOf(reservation.Program, partitions), partitions)
	began := c.now()
	ledger, err := c.append(ctx, reservation.Program, &replicav1.AppendRequest{Records: append(along[:len(along):len(along)], written...), Programs: programs})
	if err != nil {
		c.deferred.add(along...)
		return nil, err
	}
	c.counts.reservations.Add(1)
	if !c.disabled.Has(mechanism.OneRoundReservations) && OneRoundSuffices(ledger, c.now().Sub(began), OneRoundLimit, own...) {
		return ledger, nil
	}
	c.counts.secondRounds.Add(1)
	later, err := c.append(ctx, reservation.Program, &replicav1.AppendRequest{Programs: programs})
	if err != nil {
		return nil, err
	}
	ledger.MergeLedger(later)
	return ledger, nil
}
