// Package flowcontrol limits the bytes that a process buffers for slow peers: a budget for all
// peers together, and a bounded read-ahead for each response. Peers that read immediately use none
// of the budget.
package flowcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictAfter is how long a peer must have made no progress before it can be evicted in favor of
	// others. It is longer than a brief pause of a mobile connection, which must not cost a caller
	// its response.
	evictAfter = time.Second
	// evictionPollInterval is how often a reservation that waits for capacity checks for peers to
	// evict. Released bytes wake it immediately.
	evictionPollInterval = 50 * time.Millisecond
)

// Budget limits the total number of bytes that are buffered for all peers of one side. It is safe
// for concurrent use. Acquiring and releasing are single atomic operations while there is capacity.
type Budget struct {
	limit int64
	now   func() time.Time
	used  atomic.Int64

	mutex sync.Mutex
	// blocked are the reservations whose peers are currently not reading.
	blocked map[*Reservation]struct{}
	// released is closed and replaced when bytes are released while others wait for capacity.
	released chan struct{}
	waiters  atomic.Int32
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, blocked: make(map[*Reservation]struct{}), released: make(chan struct{})}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// atMostHalfUsed reports whether at most half of the budget is in use.
func (b *Budget) atMostHalfUsed() bool { return b.used.Load() <= b.limit/2 }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reservation is the part of a budget that is used for one peer. ReleaseAll must be called.
type Reservation struct {
	budget *Budget
	// disconnect closes the peer's connection. It must not block.
	disconnect func()
	bytes      atomic.Int64
	// lastProgress is when the peer last read something, in Unix nanoseconds of the budget's clock.
	lastProgress atomic.Int64
	evicted      atomic.Bool
}

// NewReservation returns an empty reservation. disconnect is called once if the peer is evicted;
// with nil the peer is never evicted.
func (b *Budget) NewReservation(disconnect func()) *Reservation {
	reservation := &Reservation{budget: b, disconnect: disconnect}
	reservation.RecordProgress()
	return reservation
}

// TryAcquire acquires bytes if the budget has the capacity.
func (r *Reservation) TryAcquire(bytes int) bool {
	budget := r.budget
	for {
		used := budget.used.Load()
		if used+int64(bytes) > budget.limit {
			return false
		}
		if budget.used.CompareAndSwap(used, used+int64(bytes)) {
			r.bytes.Add(int64(bytes))
			return true
		}
	}
}

// ForceAcquire acquires bytes that are already buffered, even beyond the limit.
func (r *Reservation) ForceAcquire(bytes int) {
	r.budget.used.Add(int64(bytes))
	r.bytes.Add(int64(bytes))
}

// Acquire acquires bytes. If the budget has no capacity, it evicts the peers that have made no
// progress for the longest time and waits until there is capacity. It fails with *BudgetExhausted
// when ctx ends.
func (r *Reservation) Acquire(ctx context.Context, bytes int) error {
	budget := r.budget
	for {
		if r.TryAcquire(bytes) {
			return nil
		}
		released := budget.addWaiter()
		budget.evict(int64(bytes))
		acquired := r.TryAcquire(bytes)
		if !acquired {
			timer := time.NewTimer(evictionPollInterval)
			select {
			case <-released:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
		budget.removeWaiter()
		if acquired {
			return nil
		}
		if ctx.Err() != nil {
			return &BudgetExhausted{Wanted: bytes, Limit: budget.limit}
		}
	}
}

// Release returns bytes to the budget.
func (r *Reservation) Release(bytes int) {
	r.bytes.Add(-int64(bytes))
	r.budget.release(int64(bytes))
}

// ReleaseAll returns all bytes to the budget.
func (r *Reservation) ReleaseAll() {
	r.MarkUnblocked()
	if bytes := r.bytes.Swap(0); bytes > 0 {
		r.budget.release(bytes)
	}
}

// Bytes returns the number of bytes in use for the peer.
func (r *Reservation) Bytes() int64 { return r.bytes.Load() }

// Limit returns the size of the budget that the reservation is a part of, in bytes.
func (r *Reservation) Limit() int64 { return r.budget.limit }

// RecordProgress records that the peer has read something.
func (r *Reservation) RecordProgress() { r.lastProgress.Store(r.budget.now().UnixNano()) }

// MarkBlocked records that the peer is not reading, so it can be evicted.
func (r *Reservation) MarkBlocked() {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.blocked[r] = struct{}{}
}

// MarkUnblocked reverts MarkBlocked.
func (r *Reservation) MarkUnblocked() {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	delete(r.budget.blocked, r)
}

// Evicted reports whether the peer was evicted in favor of others.
func (r *Reservation) Evicted() bool { return r.evicted.Load() }

// release returns bytes to the budget and wakes those that wait for capacity.
func (b *Budget) release(bytes int64) {
	b.used.Add(-bytes)
	if b.waiters.Load() == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.released)
	b.released = make(chan struct{})
}

// addWaiter returns a channel that is closed when bytes are released. removeWaiter must be called
// afterwards.
func (b *Budget) addWaiter() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiters.Add(1)
	return b.released
}

func (b *Budget) removeWaiter() { b.waiters.Add(-1) }

// evict evicts blocked peers, those without progress for the longest time first, until their bytes
// cover the wanted ones. The bytes are released when the requests of the evicted peers have ended.
func (b *Budget) evict(wanted int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	cutoff := b.now().Add(-evictAfter).UnixNano()
	missing := b.used.Load() + wanted - b.limit
	for reservation := range b.blocked {
		if reservation.evicted.Load() {
			missing -= reservation.bytes.Load()
		}
	}
	for missing > 0 {
		oldest := b.longestBlocked(cutoff)
		if oldest == nil {
			return
		}
		missing -= oldest.bytes.Load()
		oldest.evicted.Store(true)
		oldest.disconnect()
	}
}

// longestBlocked returns the evictable reservation whose peer has made no progress for the longest
// time and since before the given time, or nil. The mutex must be held.
func (b *Budget) longestBlocked(before int64) *Reservation {
	var found *Reservation
	for each := range b.blocked {
		if each.disconnect == nil || each.evicted.Load() || each.bytes.Load() == 0 {
			continue
		}
		if at := each.lastProgress.Load(); at <= before {
			found, before = each, at
		}
	}
	return found
}
