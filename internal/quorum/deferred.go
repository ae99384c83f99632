package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// deferredFor is how long a record waits for another call that takes it along.
	deferredFor = 200 * time.Millisecond
	// maxDeferred is how many records wait at most; more are written at once.
	maxDeferred = 128
	// deferredTimeout bounds the writing of records that nothing took along.
	deferredTimeout = 3 * time.Second
)

// deferred are records that may be written a little later, with the next
// reservation: a call costs the same with one record more.
type deferred struct {
	mutex   sync.Mutex
	records []*replicav1.Record
	// wake is told when there are records to write.
	wake chan struct{}
}

func newDeferred() *deferred { return &deferred{wake: make(chan struct{}, 1)} }

// add keeps records until they are taken.
func (d *deferred) add(records ...*replicav1.Record) {
	d.mutex.Lock()
	d.records = append(d.records, records...)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take returns the records that wait and forgets them. They are to be added again
// unless they were written.
func (d *deferred) take() []*replicav1.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	taken := d.records
	d.records = nil
	return taken
}

// takePartition takes those records that belong to one of so many partitions.
func (d *deferred) takePartition(partition uint32, partitions int) (taken []*replicav1.Record) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := d.records[:0]
	for _, record := range d.records {
		if PartitionOf(programOf(record), partitions) == partition {
			taken = append(taken, record)
			continue
		}
		kept = append(kept, record)
	}
	clear(d.records[len(kept):])
	d.records = kept
	return taken
}

func (d *deferred) full() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.records) >= maxDeferred
}

// AppendDeferred writes a record with the next reservation, or after deferredFor. It
// is for records that nothing waits for: one is lost where this process ends before
// it is written, or where no majority takes it in time.
func (c *Client) AppendDeferred(record *replicav1.Record) {
	if c.disabled.Has(mechanism.DeferredSettlements) {
		c.AppendInBackground(record)
		return
	}
	c.deferred.add(record)
}

// AppendInBackground writes a record, with those that wait, in the background.
func (c *Client) AppendInBackground(record *replicav1.Record) {
	c.deferred.add(record)
	go c.WriteDeferred(context.Background())
}

// RunDeferred writes records that no reservation took along, until ctx ends; then
// it writes what is left.
func (c *Client) RunDeferred(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-c.deferred.wake:
		case <-ctx.Done():
		}
		if !c.deferred.full() {
			pause.For(ctx, deferredFor)
		}
		c.WriteDeferred(context.WithoutCancel(ctx))
	}
	c.writeAllDrawn(context.WithoutCancel(ctx))
	c.WriteDeferred(context.WithoutCancel(ctx))
}

// WriteDeferred writes the records that wait, one call for each partition. It takes
// deferredTimeout at most, and less where ctx ends before.
func (c *Client) WriteDeferred(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deferredTimeout)
	defer cancel()
	partitions := c.partitions()
	byPartition := make(map[uint32][]*replicav1.Record)
	for _, record := range c.deferred.take() {
		partition := PartitionOf(programOf(record), partitions)
		byPartition[partition] = append(byPartition[partition], record)
	}
	var writing sync.WaitGroup
	for _, records := range byPartition {
		writing.Go(func() {
			if err := c.Append(ctx, programOf(records[0]), records...); err != nil {
				// Their reservations stand, which only costs their programs budget.
				eventDeferredLost.Log("records", len(records), "cause", err.Error())
			}
		})
	}
	writing.Wait()
}
