// Package flowcontrol bounds the bytes that a process holds for peers which read slowly: an
// account for all of them together, and a bounded read-ahead for each answer. A peer that takes
// its bytes at once costs the account nothing.
package flowcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictAfter is how long a peer must have taken nothing before its bytes may be given up
	// for others: a moment's pause of a mobile link is shorter, and no caller loses an answer
	// to a neighbour for it.
	evictAfter = time.Second
	// roomPoll is how often a holder that waits for room looks whether a peer has been slow for
	// long enough to be given up; room that is given back is told at once.
	roomPoll = 50 * time.Millisecond
)

// Budget counts the bytes that are held for all peers of one side, and bounds them. It is safe
// for concurrent use; taking and giving back are single atomic steps while there is room.
type Budget struct {
	limit int64
	now   func() time.Time
	held  atomic.Int64

	mutex sync.Mutex
	// slow are the holders whose peer keeps them waiting.
	slow map[*Reservation]struct{}
	// room is closed, and replaced, when bytes are given back while others wait for room.
	room    chan struct{}
	waiting atomic.Int32
}

// NewBudget returns an account of up to limit bytes.
func NewBudget(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, slow: make(map[*Reservation]struct{}), room: make(chan struct{})}
}

// Used returns how many bytes are held.
func (a *Budget) Used() int64 { return a.held.Load() }

// spare reports whether no more than half of the account is taken.
func (a *Budget) spare() bool { return a.held.Load() <= a.limit/2 }

// Limit returns how many bytes may be held.
func (a *Budget) Limit() int64 { return a.limit }

// Reservation is what is held for one peer. Release must be called.
type Reservation struct {
	account *Budget
	// cut ends the peer's connection; it must not block.
	cut   func()
	bytes atomic.Int64
	// progressed is when the peer last took something, in Unix nanoseconds of the account's
	// clock.
	progressed atomic.Int64
	evicted    atomic.Bool
}

// NewReservation returns a holder that holds nothing. cut is called once if the peer is given up for
// others; nil makes a holder that never is.
func (a *Budget) NewReservation(cut func()) *Reservation {
	holder := &Reservation{account: a, cut: cut}
	holder.RecordProgress()
	return holder
}

// TryAcquire takes bytes if there is room for them.
func (h *Reservation) TryAcquire(bytes int) bool {
	account := h.account
	for {
		held := account.held.Load()
		if held+int64(bytes) > account.limit {
			return false
		}
		if account.held.CompareAndSwap(held, held+int64(bytes)) {
			h.bytes.Add(int64(bytes))
			return true
		}
	}
}

// ForceAcquire takes bytes that are there already, whether there is room or not.
func (h *Reservation) ForceAcquire(bytes int) {
	h.account.held.Add(int64(bytes))
	h.bytes.Add(int64(bytes))
}

// Acquire takes bytes. Where there is no room it gives up the peers that have taken nothing for
// longest, and waits until there is, or until ctx ends: then it fails with *BudgetExhausted.
func (h *Reservation) Acquire(ctx context.Context, bytes int) error {
	account := h.account
	for {
		if h.TryAcquire(bytes) {
			return nil
		}
		room := account.awaitRoom()
		account.evict(int64(bytes))
		taken := h.TryAcquire(bytes)
		if !taken {
			timer := time.NewTimer(roomPoll)
			select {
			case <-room:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
		account.doneWaiting()
		if taken {
			return nil
		}
		if ctx.Err() != nil {
			return &BudgetExhausted{Wanted: bytes, Limit: account.limit}
		}
	}
}

// Release gives bytes back.
func (h *Reservation) Release(bytes int) {
	h.bytes.Add(-int64(bytes))
	h.account.give(int64(bytes))
}

// ReleaseAll gives all bytes back.
func (h *Reservation) ReleaseAll() {
	h.MarkUnblocked()
	if bytes := h.bytes.Swap(0); bytes > 0 {
		h.account.give(bytes)
	}
}

// Bytes returns how many bytes are held for the peer.
func (h *Reservation) Bytes() int64 { return h.bytes.Load() }

// RecordProgress notes that the peer has taken something.
func (h *Reservation) RecordProgress() { h.progressed.Store(h.account.now().UnixNano()) }

// MarkBlocked notes that the peer keeps the holder waiting.
func (h *Reservation) MarkBlocked() {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.slow[h] = struct{}{}
}

// MarkUnblocked takes Slow back.
func (h *Reservation) MarkUnblocked() {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	delete(h.account.slow, h)
}

// Evicted reports whether the peer was given up for others.
func (h *Reservation) Evicted() bool { return h.evicted.Load() }

// give takes bytes off the account and tells those who wait for room.
func (a *Budget) give(bytes int64) {
	a.held.Add(-bytes)
	if a.waiting.Load() == 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	close(a.room)
	a.room = make(chan struct{})
}

// awaitRoom returns a channel that is closed when bytes are given back; doneWaiting must be
// called.
func (a *Budget) awaitRoom() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting.Add(1)
	return a.room
}

func (a *Budget) doneWaiting() { a.waiting.Add(-1) }

// evict gives up slow peers, those that have taken nothing for longest first, until their bytes
// make room for wanted ones. Their bytes come back once their requests have ended.
func (a *Budget) evict(wanted int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	latest := a.now().Add(-evictAfter).UnixNano()
	lacking := a.held.Load() + wanted - a.limit
	for given := range a.slow {
		if given.evicted.Load() {
			lacking -= given.bytes.Load()
		}
	}
	for lacking > 0 {
		longest := a.longest(latest)
		if longest == nil {
			return
		}
		lacking -= longest.bytes.Load()
		longest.evicted.Store(true)
		longest.cut()
	}
}

// longest returns the holder that may be given up and whose peer has taken nothing for longest,
// since before a moment, or nil. The mutex is held.
func (a *Budget) longest(before int64) *Reservation {
	var found *Reservation
	for each := range a.slow {
		if each.cut == nil || each.evicted.Load() || each.bytes.Load() == 0 {
			continue
		}
		if at := each.progressed.Load(); at <= before {
			found, before = each, at
		}
	}
	return found
}
