// Package backlog orders requests that wait for a place at a service whose workers are
// all full, and tells early which of them wait in vain. It does no I/O, reads no clock and
// is not safe for concurrent use.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// firstWait is for how long a place is waited for before any was seen to come: several
// answers of a tool end within that, and one of a model worker with a dozen places.
const firstWait = 400 * time.Millisecond

// Entry is a request that waits.
type Entry struct {
	// rank is the urgency of its kind; 0 goes first.
	rank int
	// latest is when it must have a place to be answered in its time.
	latest time.Time
	// joined is when it came.
	joined time.Time
	// serial is the order in which entries came.
	serial uint64
}

// Backlog is the requests that wait for one service: the more urgent kind first, then
// those with less time left, then those that came first.
type Backlog struct {
	limit   int
	entries []*Entry
	serial  uint64
	// interval is the time between two requests that got a place while others waited.
	interval estimate.Latency
	// since is when the last one got a place, or, if none has since then, when the oldest
	// came to an empty backlog.
	since time.Time
	// waits is how long those waited that got a place.
	waits estimate.Latency
}

// New returns a backlog of up to limit requests.
func New(limit int) *Backlog {
	created := &Backlog{limit: limit}
	created.waits.SetInitial(firstWait)
	return created
}

// precedes orders entries.
func precedes(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.latest.Compare(b.latest), cmp.Compare(a.serial, b.serial))
}

// Enqueue adds a request. It returns nil where the request would wait in vain, or where the
// backlog is full of those that go before it. In a full one the last gives way.
func (b *Backlog) Enqueue(now time.Time, rank int, latest time.Time) *Entry {
	if len(b.entries) == 0 {
		b.since = now
	}
	b.serial++
	entry := &Entry{rank: rank, latest: latest, joined: now, serial: b.serial}
	place, _ := slices.BinarySearchFunc(b.entries, entry, precedes)
	if place >= b.limit || b.tooFarBack(now, place, latest) {
		return nil
	}
	b.insert(place, entry)
	return entry
}

// insert puts an entry at its place; in a full backlog the last gives way.
func (b *Backlog) insert(place int, entry *Entry) {
	b.entries = slices.Insert(b.entries, place, entry)
	b.entries = b.entries[:min(len(b.entries), b.limit)]
}

// Len returns how many requests wait.
func (b *Backlog) Len() int { return len(b.entries) }

// First returns the request that gets the next place, or nil.
func (b *Backlog) First() *Entry {
	if len(b.entries) == 0 {
		return nil
	}
	return b.entries[0]
}

// HasHigherPriority reports whether any request of a more urgent kind waits.
func (b *Backlog) HasHigherPriority(rank int) bool {
	return len(b.entries) > 0 && b.entries[0].rank < rank
}

// place returns how many requests go before an entry, or false if it does not wait any
// more.
func (b *Backlog) place(entry *Entry) (int, bool) {
	return slices.BinarySearchFunc(b.entries, entry, precedes)
}

// ShouldReject reports whether an entry is not expected to get a place in time, has waited for
// longer than those did that got one, or has had to give way to others.
func (b *Backlog) ShouldReject(now time.Time, entry *Entry) bool {
	place, waits := b.place(entry)
	return !waits || now.Sub(entry.joined) > b.waits.Typical() || b.tooFarBack(now, place, entry.latest)
}

// tooFarBack reports whether those that go before take up the time until a moment.
func (b *Backlog) tooFarBack(now time.Time, place int, latest time.Time) bool {
	return now.Add(time.Duration(place) * b.interval.Mean()).After(latest)
}

// ExpectedWait returns after what time a request that would come now, of the given kind, is
// likely to get a place. Where none has come for longer than usual, it may take as long
// again.
func (b *Backlog) ExpectedWait(now time.Time, rank int) time.Duration {
	if len(b.entries) == 0 {
		return 0
	}
	before := 0
	for before < len(b.entries) && b.entries[before].rank <= rank {
		before++
	}
	return max(b.interval.Mean(), now.Sub(b.since)) + time.Duration(before)*b.interval.Mean()
}

// Admit notes that an entry got a place at a moment, and removes it if it still waits.
func (b *Backlog) Admit(at time.Time, entry *Entry) {
	b.Remove(entry)
	b.interval.Observe(max(0, at.Sub(b.since)))
	b.waits.Observe(at.Sub(entry.joined))
	b.since = at
}

// Requeue puts an entry that had left, to ask for a place, back where it was.
func (b *Backlog) Requeue(entry *Entry) {
	if place, waits := b.place(entry); !waits {
		b.insert(place, entry)
	}
}

// Remove removes an entry that has got no place, and reports whether it still waited.
func (b *Backlog) Remove(entry *Entry) bool {
	place, waits := b.place(entry)
	if waits {
		b.entries = slices.Delete(b.entries, place, place+1)
	}
	return waits
}
