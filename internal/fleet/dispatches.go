package fleet

import (
	"sync/atomic"
	"time"
)

const (
	// dispatchSpan is the time that one bucket of dispatches covers.
	dispatchSpan = 50 * time.Millisecond
	// dispatchBuckets bounds how old a report may be: 64 spans are 3.2 s, longer
	// than a silent engine counts as alive.
	dispatchBuckets = 64
)

// dispatches counts what this daemon sent to one engine, by the time of the
// dispatch, so that what a report of any recent time does not show can be
// summed up. It needs no lock.
type dispatches struct {
	buckets [dispatchBuckets]atomic.Pointer[dispatchBucket]
}

// dispatchBucket counts the dispatches of one span that have not ended.
type dispatchBucket struct {
	// span is the number of the span since the Unix epoch.
	span    int64
	running atomic.Int64
	tokens  atomic.Int64
}

// add counts a dispatch until the returned function is called.
func (d *dispatches) add(now time.Time, tokens int64) (ended func()) {
	bucket := d.bucket(spanOf(now))
	bucket.running.Add(1)
	bucket.tokens.Add(tokens)
	var once atomic.Bool
	return func() {
		if once.CompareAndSwap(false, true) {
			bucket.running.Add(-1)
			bucket.tokens.Add(-tokens)
		}
	}
}

// bucket returns the span's bucket, in place of one of an older span.
func (d *dispatches) bucket(span int64) *dispatchBucket {
	place := &d.buckets[span%dispatchBuckets]
	for {
		found := place.Load()
		if found != nil && found.span >= span {
			return found
		}
		made := &dispatchBucket{span: span}
		if place.CompareAndSwap(found, made) {
			return made
		}
	}
}

// since sums up the dispatches after a time that have not ended. The span that
// the time falls in counts whole.
func (d *dispatches) since(after time.Time) (running int, tokens int64) {
	first := spanOf(after)
	for i := range d.buckets {
		bucket := d.buckets[i].Load()
		if bucket != nil && bucket.span >= first {
			running += int(bucket.running.Load())
			tokens += bucket.tokens.Load()
		}
	}
	return running, tokens
}

func spanOf(t time.Time) int64 { return t.UnixNano() / int64(dispatchSpan) }

// used reports whether anything was sent in the time that the buckets cover.
func (d *dispatches) used(now time.Time) bool {
	first := spanOf(now) - dispatchBuckets
	for i := range d.buckets {
		if bucket := d.buckets[i].Load(); bucket != nil && bucket.span > first {
			return true
		}
	}
	return false
}
