package quorum

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// OneRoundLimit is the maximum duration, by the caller's monotonic clock, of a round that
	// writes a reservation and reads its program's committed total, if that total is to be used.
	OneRoundLimit = 60 * time.Millisecond
	// SettleDelay is the minimum time between the grant of a reservation and its settlement, for
	// a turn that has used tokens.
	SettleDelay = 2 * OneRoundLimit
)

// OneRoundSuffices reports whether the committed total returned with the write of a reservation
// is enough to grant it. Several concurrent reservations may each miss another one, in a cycle,
// so a total that includes another unsettled reservation must be read again after the write. If
// all others are settled and the round was short, no unsettled reservation can be missing:
//
//   - Of two reservations, at least one sees the other: their majorities share a replica, which
//     received one of them first.
//   - A reservation that this one misses sees this one. Both are in progress at the same time, so
//     the other one is not granted in one round unless it saw this one settled.
//   - A settled reservation that this one sees was granted at least SettleDelay before its
//     settlement, and therefore at least OneRoundLimit before this round began. The same holds
//     for the reservations that were granted before it, so this round sees them all.
//
// own are the ids of the reservations written by the round: a turn's and, if any, that of a loan
// requested with it. limit and the settlement delay are OneRoundLimit and SettleDelay, in any
// unit of time.
func OneRoundSuffices[T ~int64](ledger turn.Ledger, elapsed, limit T, own ...string) bool {
	return elapsed <= limit && ledger.OthersSettled(own...)
}

// Reserve writes a reservation to a majority and returns what a majority of recovered replicas
// knows of its program. Deferred records of the same partition are sent along. If the answers to
// the write are not sufficient, the committed total is read again after the write. others are
// further reservations of the same program by this caller: a loan requested with a turn.
func (c *Client) Reserve(ctx context.Context, record *replicav1.Record, others ...*replicav1.Record) (turn.Ledger, error) {
	reservation := record.GetReservation()
	records, ownIDs := []*replicav1.Record{record}, []string{reservation.Id}
	for _, other := range others {
		records, ownIDs = append(records, other), append(ownIDs, other.GetReservation().Id)
	}
	programs := []string{reservation.Program}
	partitions := c.budgetPartitionCount()
	deferred := c.deferred.takePartition(PartitionOf(reservation.Program, partitions), partitions)
	startedAt := c.now()
	ledger, err := c.append(ctx, reservation.Program, &replicav1.AppendRequest{Records: append(deferred[:len(deferred):len(deferred)], records...), Programs: programs})
	if err != nil {
		c.deferred.add(deferred...)
		return nil, err
	}
	c.counts.reservations.Add(1)
	if !c.disabled.Has(mechanism.OneRoundReservations) && OneRoundSuffices(ledger, c.now().Sub(startedAt), OneRoundLimit, ownIDs...) {
		return ledger, nil
	}
	c.counts.rereads.Add(1)
	reread, err := c.append(ctx, reservation.Program, &replicav1.AppendRequest{Programs: programs})
	if err != nil {
		return nil, err
	}
	ledger.MergeLedger(reread)
	return ledger, nil
}
