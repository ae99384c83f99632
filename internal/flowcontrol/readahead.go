package flowcontrol

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// readAheadChunkBytes is the number of bytes that are read ahead at a time.
	readAheadChunkBytes = 8 << 10
	// capacityPollInterval is how often the budget is checked while it has no capacity.
	capacityPollInterval = 20 * time.Millisecond
)

// ReadAhead passes reads through to a reader until Start is called. From then on it reads from the
// source ahead of the reads, up to a limit, so a slow consumer does not block the sender. The
// sender is blocked at the limit or while the budget has no capacity. It supports a single reader.
type ReadAhead struct {
	source      io.Reader
	limits      BufferLimits
	reservation *Reservation

	mutex   sync.Mutex
	changed *sync.Cond
	// passingThrough is set during a read that is passed through.
	passingThrough bool
	started        bool
	stopped        bool
	// fillDone is closed when the fill goroutine has ended; nil before Start.
	fillDone chan struct{}
	chunks   [][]byte
	buffered int
	err      error
	stats    ReadAheadStats
}

// ReadAheadStats describes the course of a read-ahead, for logs.
type ReadAheadStats struct {
	// StartedAt is when the read-ahead started, EndedAt when its source ended. They are zero until
	// then.
	StartedAt, EndedAt time.Time
	// LastReadAt is when bytes were last read from the source. CapacityWait is how long reads were
	// delayed for lack of capacity.
	LastReadAt   time.Time
	CapacityWait time.Duration
	// BytesRead is the number of bytes read from the source, MaxBuffered the maximum number of
	// bytes buffered at a time.
	BytesRead, MaxBuffered int
}

// Stats returns the statistics so far.
func (r *ReadAhead) Stats() ReadAheadStats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stats
}

// BufferLimits are the limits on the bytes buffered for one response.
type BufferLimits struct {
	// Base is the limit while the budget has capacity. Max is the limit while at most half of the
	// budget is in use. A few long responses can thus be buffered completely, while many responses
	// share the budget.
	Base, Max int
}

// NewReadAhead returns a reader that buffers bytes of source within the limits, using a
// reservation.
func NewReadAhead(source io.Reader, limits BufferLimits, reservation *Reservation) *ReadAhead {
	ahead := &ReadAhead{source: source, limits: limits, reservation: reservation}
	ahead.changed = sync.NewCond(&ahead.mutex)
	return ahead
}

// Start starts to read ahead, unless a read is in progress, in which case the sender is not
// blocked.
func (r *ReadAhead) Start() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.started || r.passingThrough || r.stopped {
		return
	}
	r.started = true
	r.stats.StartedAt = time.Now()
	r.fillDone = make(chan struct{})
	go r.fill()
}

// Read returns buffered bytes, then bytes as they arrive, then the error that the source ended
// with.
func (r *ReadAhead) Read(data []byte) (int, error) {
	if r.beginPassThrough() {
		defer r.endPassThrough()
		return r.source.Read(data)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.buffered == 0 && r.err == nil {
		r.changed.Wait()
	}
	if r.buffered == 0 {
		return 0, r.err
	}
	count := copy(data, r.chunks[0])
	r.chunks[0] = r.chunks[0][count:]
	if len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	r.buffered -= count
	r.reservation.Release(count)
	r.changed.Broadcast()
	return count, nil
}

// beginPassThrough reports whether a read is passed through, and marks it as in progress.
func (r *ReadAhead) beginPassThrough() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passingThrough = !r.started
	return r.passingThrough
}

func (r *ReadAhead) endPassThrough() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passingThrough = false
}

// Stop ends the read-ahead and discards the buffered bytes. unblock must make a read from the
// source that is in progress return; it is only called if the source has not ended.
func (r *ReadAhead) Stop(unblock func()) {
	r.mutex.Lock()
	r.stopped = true
	started, ended := r.started, r.err != nil
	r.changed.Broadcast()
	r.mutex.Unlock()
	if !started {
		return
	}
	if !ended {
		unblock()
	}
	<-r.fillDone
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reservation.Release(r.buffered)
	r.chunks, r.buffered = nil, 0
}

// fill reads ahead until the source ends or Stop is called.
func (r *ReadAhead) fill() {
	defer close(r.fillDone)
	chunk := make([]byte, readAheadChunkBytes)
	for waitStart := time.Now(); r.awaitCapacity(); waitStart = time.Now() {
		waited := time.Since(waitStart)
		count, err := r.source.Read(chunk)
		r.reservation.Release(readAheadChunkBytes - count)
		r.mutex.Lock()
		r.stats.CapacityWait += waited
		if count > 0 {
			r.stats.LastReadAt = time.Now()
			r.chunks = append(r.chunks, bytes.Clone(chunk[:count]))
			r.buffered += count
			r.stats.BytesRead += count
			r.stats.MaxBuffered = max(r.stats.MaxBuffered, r.buffered)
		}
		if err != nil {
			r.stats.EndedAt = time.Now()
		}
		r.err = err
		r.changed.Broadcast()
		r.mutex.Unlock()
		if err != nil {
			return
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.err = &ReadAheadStopped{}
	r.changed.Broadcast()
}

// awaitCapacity waits for the capacity for one chunk and acquires it. It returns false if Stop was
// called.
func (r *ReadAhead) awaitCapacity() bool {
	for {
		r.mutex.Lock()
		for r.buffered+readAheadChunkBytes > r.limits.Max && !r.stopped {
			r.changed.Wait()
		}
		stopped, next := r.stopped, r.buffered+readAheadChunkBytes
		r.mutex.Unlock()
		if stopped {
			return false
		}
		if next <= r.limits.Base || r.reservation.budget.atMostHalfUsed() {
			if r.reservation.TryAcquire(readAheadChunkBytes) {
				return true
			}
			r.reservation.budget.evict(readAheadChunkBytes)
		}
		time.Sleep(capacityPollInterval)
	}
}
