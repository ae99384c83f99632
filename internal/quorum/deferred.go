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
	// deferDelay is how long a record waits to be sent with another call.
	deferDelay = 200 * time.Millisecond
	// maxDeferred is the number of waiting records from which they are written immediately.
	maxDeferred = 128
	// deferredWriteTimeout limits the write of records that were not sent with another call.
	deferredWriteTimeout = 3 * time.Second
)

// deferredRecords are records that can be written later, with the next reservation, because an
// additional record does not make a call more expensive.
type deferredRecords struct {
	mutex   sync.Mutex
	records []*replicav1.Record
	// wake signals that there are records to write.
	wake chan struct{}
}

func newDeferredRecords() *deferredRecords { return &deferredRecords{wake: make(chan struct{}, 1)} }

// add stores records until they are taken.
func (d *deferredRecords) add(records ...*replicav1.Record) {
	d.mutex.Lock()
	d.records = append(d.records, records...)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all waiting records. The caller must add them again if they are not
// written.
func (d *deferredRecords) takeAll() []*replicav1.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	taken := d.records
	d.records = nil
	return taken
}

// takePartition removes and returns the records that belong to one of the given number of
// partitions.
func (d *deferredRecords) takePartition(partition uint32, partitions int) (taken []*replicav1.Record) {
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

func (d *deferredRecords) isFull() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.records) >= maxDeferred
}

// AppendDeferred writes a record with the next reservation, or after deferDelay. It is for
// records that no caller waits for: a record is lost if this process ends before it is written,
// or if no majority accepts it in time.
func (c *Client) AppendDeferred(record *replicav1.Record) {
	if c.disabled.Has(mechanism.DeferredSettlements) {
		c.AppendInBackground(record)
		return
	}
	c.deferred.add(record)
}

// AppendInBackground writes a record, together with all waiting records, in the background.
func (c *Client) AppendInBackground(record *replicav1.Record) {
	c.deferred.add(record)
	go c.WriteDeferred(context.Background())
}

// RunDeferred writes records that were not sent with a reservation until ctx ends. Then it writes
// the remaining ones.
func (c *Client) RunDeferred(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-c.deferred.wake:
		case <-ctx.Done():
		}
		if !c.deferred.isFull() {
			pause.For(ctx, deferDelay)
		}
		c.WriteDeferred(context.WithoutCancel(ctx))
	}
	c.sendAllDrawSettlements(context.WithoutCancel(ctx))
	c.WriteDeferred(context.WithoutCancel(ctx))
}

// WriteDeferred writes the waiting records with one call per partition. It takes at most
// deferredWriteTimeout, or less if ctx ends earlier.
func (c *Client) WriteDeferred(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deferredWriteTimeout)
	defer cancel()
	partitions := c.budgetPartitionCount()
	byPartition := make(map[uint32][]*replicav1.Record)
	for _, record := range c.deferred.takeAll() {
		partition := PartitionOf(programOf(record), partitions)
		byPartition[partition] = append(byPartition[partition], record)
	}
	var writes sync.WaitGroup
	for _, records := range byPartition {
		writes.Go(func() {
			if err := c.Append(ctx, programOf(records[0]), records...); err != nil {
				// The reservations of these records remain, which only costs their programs
				// budget.
				eventDeferredRecordsLost.Log("records", len(records), "cause", err.Error())
			}
		})
	}
	writes.Wait()
}
