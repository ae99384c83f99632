package quarantine

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

const (
	// retention is how long a record is kept after its last change. Callers and programs return
	// within a minute or two.
	retention = 10 * time.Minute
	// maxRecords bounds the records of a table, which take about 200 bytes each.
	maxRecords = 16384
	// maxEvictionScan is how many of the oldest records are examined for one below MaxWorkerEnds
	// before the oldest one is evicted.
	maxEvictionScan = 64
)

// Record is the count of one request.
type Record struct {
	Key requestkey.Key
	// Generation increases when the count starts again from zero.
	Generation uint32
	// Ends is how many workers have ended under the request, one after another.
	Ends uint32
	// Unordered are random ids of further ends, which were recorded by gateways that did not know of
	// the others. 0 is none.
	Unordered [MaxWorkerEnds]uint64
	// Age is the time since the last change.
	Age time.Duration
}

// Total returns how many workers have ended under the request.
func (r Record) Total() int {
	total := int(r.Ends)
	for _, id := range r.Unordered {
		if id != 0 {
			total++
		}
	}
	return total
}

// mergedWith returns the record that follows from two records of one key.
func (r Record) mergedWith(other Record) Record {
	switch {
	case r.Generation > other.Generation:
		return r
	case r.Generation < other.Generation:
		return other
	}
	r.Ends = max(r.Ends, other.Ends)
	ids := slices.Concat(r.Unordered[:], other.Unordered[:])
	slices.Sort(ids)
	ids = slices.Compact(ids)
	slices.Reverse(ids)
	clear(r.Unordered[:])
	copy(r.Unordered[:], ids)
	return r
}

// Cursor is a position in the changes of one table.
type Cursor struct {
	// Source identifies the table. Another process, or the same one after a restart, has another.
	Source   uint64
	Revision uint64
}

// Table holds the counts of requests under which workers have ended. It is safe for concurrent use.
type Table struct {
	now    func() time.Time
	source uint64
	// size is the number of records, and current holds them by key. Both are read without the mutex.
	size    atomic.Int64
	current sync.Map

	mutex    sync.Mutex
	records  map[requestkey.Key]*list.Element
	order    *list.List
	revision uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// tableEntry is a record of a table. The list of entries is ordered by revision.
type tableEntry struct {
	record    Record
	revision  uint64
	changedAt time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, source: rand.Uint64() | 1, records: make(map[requestkey.Key]*list.Element), order: list.New(), changed: make(chan struct{})}
}

// Len returns the number of records. It takes no lock.
func (t *Table) Len() int { return int(t.size.Load()) }

// Lookup returns the record of a key; the zero count if there is none. It takes no lock.
func (t *Table) Lookup(key requestkey.Key) Record {
	if found, known := t.current.Load(key); known {
		return found.(Record)
	}
	return Record{Key: key}
}

// RecordEnds records that the workers of further attempts of one request have ended. before is the
// record as the first of these attempts began, and ends how many of them have ended. Ends that other
// requests of the same content met at the same time are not added up: no caller has met them one after
// another.
func (t *Table) RecordEnds(before Record, ends int) Record {
	return t.record(Record{Key: before.Key, Generation: before.Generation, Ends: before.Ends + uint32(ends)})
}

// RecordUnorderedEnd records that the worker of one attempt has ended, at a gateway that did not know
// whether others ended before. It counts in addition to all other ends.
func (t *Table) RecordUnorderedEnd(before Record) Record {
	return t.record(Record{Key: before.Key, Generation: before.Generation, Unordered: [MaxWorkerEnds]uint64{rand.Uint64() | 1}})
}

func (t *Table) record(before Record) Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.merge(before)
	return t.Lookup(before.Key)
}

// Clear starts the count of a key again from zero. It returns false if there is nothing to clear.
func (t *Table) Clear(key requestkey.Key) (Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.Lookup(key)
	if known.Total() == 0 {
		return Record{}, false
	}
	cleared := Record{Key: key, Generation: known.Generation + 1}
	return cleared, t.merge(cleared)
}

// Merge adds the records of another table.
func (t *Table) Merge(records ...Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, record := range records {
		t.merge(record)
	}
}

// merge adds a record to the known one of its key. added is false if that changes nothing. The mutex
// must be held.
func (t *Table) merge(record Record) (added bool) {
	if record.Age >= retention {
		return false
	}
	changedAt := t.now().Add(-record.Age)
	record.Age = 0
	if element := t.records[record.Key]; element != nil {
		known := element.Value.(*tableEntry).record
		if record = record.mergedWith(known); record == known {
			return false
		}
		t.order.Remove(element)
	}
	t.revision++
	t.records[record.Key] = t.order.PushBack(&tableEntry{record: record, revision: t.revision, changedAt: changedAt})
	t.current.Store(record.Key, record)
	for len(t.records) > maxRecords {
		t.evict()
	}
	t.size.Store(int64(len(t.records)))
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// evict removes the oldest record, or an old one below MaxWorkerEnds if there is one among the oldest.
// The mutex must be held.
func (t *Table) evict() {
	victim := t.order.Front()
	for element, scanned := victim, 0; element != nil && scanned < maxEvictionScan; element, scanned = element.Next(), scanned+1 {
		if element.Value.(*tableEntry).record.Total() < MaxWorkerEnds {
			victim = element
			break
		}
	}
	t.remove(victim)
}

func (t *Table) remove(element *list.Element) {
	t.order.Remove(element)
	key := element.Value.(*tableEntry).record.Key
	delete(t.records, key)
	t.current.Delete(key)
}

// Expire removes the records that have not changed within the retention time.
func (t *Table) Expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	oldest := t.now().Add(-retention)
	var next *list.Element
	for element := t.order.Front(); element != nil; element = next {
		next = element.Next()
		if element.Value.(*tableEntry).changedAt.Before(oldest) {
			t.remove(element)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// Since returns the records that have changed after a cursor of this table, and the cursor of now. A
// cursor of another table gets all records.
func (t *Table) Since(cursor Cursor) ([]Record, Cursor) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	after := cursor.Revision
	if cursor.Source != t.source {
		after = 0
	}
	now := t.now()
	var records []Record
	for element := t.order.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*tableEntry)
		if entry.revision <= after {
			break
		}
		record := entry.record
		record.Age = now.Sub(entry.changedAt)
		records = append(records, record)
	}
	return records, Cursor{Source: t.source, Revision: t.revision}
}

// Owns reports whether a cursor is a position in the changes of this table.
func (t *Table) Owns(cursor Cursor) bool { return cursor.Source == t.source }

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.revision
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}
