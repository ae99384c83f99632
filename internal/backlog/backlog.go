// Package backlog queues requests for a service whose workers are all full, and detects early which
// requests will not get a slot in time. It does no I/O, does not read a clock and is not safe for
// concurrent use.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
)

// initialWaitEstimate is the assumed wait for a slot before any was observed. It is longer than
// several responses of a tool, or one of a model worker with a dozen slots.
const initialWaitEstimate = 400 * time.Millisecond

// Entry is a waiting request.
type Entry struct {
	// priorityRank is the priority of the request; 0 is the most urgent.
	priorityRank int
	// deadline is when the request must have a slot to be answered in time.
	deadline time.Time
	// enqueuedAt is when the request arrived.
	enqueuedAt time.Time
	// sequence numbers the requests in the order of their arrival.
	sequence uint64
}

// Backlog holds the requests that wait for one service, ordered by priority, then by deadline, then
// by arrival.
type Backlog struct {
	limit    int
	entries  []*Entry
	sequence uint64
	// slotInterval is the time between two admissions while requests were waiting.
	slotInterval estimate.Latency
	// lastAdmission is the time of the last admission, or of the arrival at an empty backlog if
	// that is later.
	lastAdmission time.Time
	// admittedWait is how long admitted requests waited.
	admittedWait estimate.Latency
}

// New returns a backlog for up to limit requests.
func New(limit int) *Backlog {
	backlog := &Backlog{limit: limit}
	backlog.admittedWait.SetInitial(initialWaitEstimate)
	return backlog
}

// compareEntries returns the order of two entries.
func compareEntries(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.priorityRank, b.priorityRank), a.deadline.Compare(b.deadline), cmp.Compare(a.sequence, b.sequence))
}

// Enqueue adds a request. It returns nil if the request is not expected to get a slot before its
// deadline, or if the backlog is full of requests that precede it. In a full backlog the last entry
// is dropped.
func (b *Backlog) Enqueue(now time.Time, priorityRank int, deadline time.Time) *Entry {
	if len(b.entries) == 0 {
		b.lastAdmission = now
	}
	b.sequence++
	entry := &Entry{priorityRank: priorityRank, deadline: deadline, enqueuedAt: now, sequence: b.sequence}
	position, _ := slices.BinarySearchFunc(b.entries, entry, compareEntries)
	if position >= b.limit || b.missesDeadline(now, position, deadline) {
		return nil
	}
	b.insert(position, entry)
	return entry
}

// insert inserts an entry at a position; in a full backlog the last entry is dropped.
func (b *Backlog) insert(position int, entry *Entry) {
	b.entries = slices.Insert(b.entries, position, entry)
	b.entries = b.entries[:min(len(b.entries), b.limit)]
}

// Len returns the number of waiting requests.
func (b *Backlog) Len() int { return len(b.entries) }

// First returns the request that gets the next slot, or nil.
func (b *Backlog) First() *Entry {
	if len(b.entries) == 0 {
		return nil
	}
	return b.entries[0]
}

// HasHigherPriority reports whether a request of a more urgent priority rank is waiting.
func (b *Backlog) HasHigherPriority(priorityRank int) bool {
	return len(b.entries) > 0 && b.entries[0].priorityRank < priorityRank
}

// position returns how many requests precede an entry, and whether the entry is still waiting.
func (b *Backlog) position(entry *Entry) (int, bool) {
	return slices.BinarySearchFunc(b.entries, entry, compareEntries)
}

// ShouldReject reports whether an entry is not expected to get a slot before its deadline, has
// waited longer than admitted requests usually do, or was dropped from a full backlog.
func (b *Backlog) ShouldReject(now time.Time, entry *Entry) bool {
	position, waiting := b.position(entry)
	return !waiting || now.Sub(entry.enqueuedAt) > b.admittedWait.Typical() || b.missesDeadline(now, position, entry.deadline)
}

// missesDeadline reports whether the preceding requests are expected to take all the time until the
// deadline.
func (b *Backlog) missesDeadline(now time.Time, position int, deadline time.Time) bool {
	return now.Add(time.Duration(position) * b.slotInterval.Mean()).After(deadline)
}

// ExpectedWait returns the expected wait of a new request of a priority rank. If no slot has become
// available for longer than usual, it assumes the same time again.
func (b *Backlog) ExpectedWait(now time.Time, priorityRank int) time.Duration {
	if len(b.entries) == 0 {
		return 0
	}
	preceding := 0
	for preceding < len(b.entries) && b.entries[preceding].priorityRank <= priorityRank {
		preceding++
	}
	return max(b.slotInterval.Mean(), now.Sub(b.lastAdmission)) + time.Duration(preceding)*b.slotInterval.Mean()
}

// Admit records that an entry got a slot at the given time, and removes it if it is still waiting.
func (b *Backlog) Admit(at time.Time, entry *Entry) {
	b.Remove(entry)
	b.slotInterval.Observe(max(0, at.Sub(b.lastAdmission)))
	b.admittedWait.Observe(at.Sub(entry.enqueuedAt))
	b.lastAdmission = at
}

// Requeue puts an entry that was removed to request a slot back at its position.
func (b *Backlog) Requeue(entry *Entry) {
	if position, waiting := b.position(entry); !waiting {
		b.insert(position, entry)
	}
}

// Remove removes an entry that got no slot, and reports whether it was still waiting.
func (b *Backlog) Remove(entry *Entry) bool {
	position, waiting := b.position(entry)
	if waiting {
		b.entries = slices.Delete(b.entries, position, position+1)
	}
	return waiting
}
