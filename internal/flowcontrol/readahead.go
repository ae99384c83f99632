package flowcontrol

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// aheadChunk is how much is read ahead at a time.
	aheadChunk = 8 << 10
	// aheadPoll is how often it is looked for room again where all of it is held for others.
	aheadPoll = 20 * time.Millisecond
)

// ReadAhead passes reads through to a reader until Begin is called, and from then on takes bytes
// off it ahead of the reads, up to a bound: the sender is not kept waiting by whom the bytes are
// for. At the bound, or where the account has no room, the sender waits. It serves one reader.
type ReadAhead struct {
	from   io.Reader
	bounds BufferLimits
	holder *Reservation

	mutex   sync.Mutex
	changed *sync.Cond
	// reading is set while a read passes through.
	reading bool
	begun   bool
	stopped bool
	// filled is closed when no more is read ahead; nil before Begin.
	filled chan struct{}
	chunks [][]byte
	held   int
	err    error
	course ReadAheadStats
}

// Stats is how a read-ahead went, for logs.
type ReadAheadStats struct {
	// StartedAt and Ended are when it began and when its reader ended; zero until then.
	StartedAt, EndedAt time.Time
	// LastReadAt is when bytes came last, CapacityWait for how long it waited, before reads, for what it
	// may hold.
	LastReadAt   time.Time
	CapacityWait time.Duration
	// BytesRead is how many bytes it took off the reader, Most how many it held at once.
	BytesRead, MaxBuffered int
}

// Stats returns how the read-ahead has gone so far.
func (r *ReadAhead) Stats() ReadAheadStats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.course
}

// BufferLimits are how many bytes one answer may hold.
type BufferLimits struct {
	// Base holds while the account has room, Most while no more than half of it is taken: a
	// few long answers are held whole, and many share what there is.
	Base, Max int
}

// NewReadAhead returns a reader from another one, which holds bytes within bounds in a holder.
func NewReadAhead(from io.Reader, bounds BufferLimits, holder *Reservation) *ReadAhead {
	ahead := &ReadAhead{from: from, bounds: bounds, holder: holder}
	ahead.changed = sync.NewCond(&ahead.mutex)
	return ahead
}

// Start begins to read ahead, unless a read is under way: then nothing is kept waiting.
func (r *ReadAhead) Start() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.begun || r.reading || r.stopped {
		return
	}
	r.begun = true
	r.course.StartedAt = time.Now()
	r.filled = make(chan struct{})
	go r.fill()
}

// BytesRead returns what was read ahead, then what comes, then the error that the reader ended with.
func (r *ReadAhead) Read(data []byte) (int, error) {
	if r.passThrough() {
		defer r.passedThrough()
		return r.from.Read(data)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.held == 0 && r.err == nil {
		r.changed.Wait()
	}
	if r.held == 0 {
		return 0, r.err
	}
	count := copy(data, r.chunks[0])
	r.chunks[0] = r.chunks[0][count:]
	if len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	r.held -= count
	r.holder.Release(count)
	r.changed.Broadcast()
	return count, nil
}

// passThrough reports whether a read goes to the reader itself, and notes it.
func (r *ReadAhead) passThrough() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reading = !r.begun
	return r.reading
}

func (r *ReadAhead) passedThrough() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reading = false
}

// Stop ends the read-ahead. wake must make a read that is under way return; it is called only if
// one is. What was read ahead and not read is given up.
func (r *ReadAhead) Stop(wake func()) {
	r.mutex.Lock()
	r.stopped = true
	begun, ended := r.begun, r.err != nil
	r.changed.Broadcast()
	r.mutex.Unlock()
	if !begun {
		return
	}
	if !ended {
		wake()
	}
	<-r.filled
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.holder.Release(r.held)
	r.chunks, r.held = nil, 0
}

// fill reads ahead until the reader ends or Stop is called.
func (r *ReadAhead) fill() {
	defer close(r.filled)
	chunk := make([]byte, aheadChunk)
	for began := time.Now(); r.awaitRoom(); began = time.Now() {
		waited := time.Since(began)
		count, err := r.from.Read(chunk)
		r.holder.Release(aheadChunk - count)
		r.mutex.Lock()
		r.course.CapacityWait += waited
		if count > 0 {
			r.course.LastReadAt = time.Now()
			r.chunks = append(r.chunks, bytes.Clone(chunk[:count]))
			r.held += count
			r.course.BytesRead += count
			r.course.MaxBuffered = max(r.course.MaxBuffered, r.held)
		}
		if err != nil {
			r.course.EndedAt = time.Now()
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

// awaitRoom waits for room for one more chunk and takes it; false is that Stop was called.
func (r *ReadAhead) awaitRoom() bool {
	for {
		r.mutex.Lock()
		for r.held+aheadChunk > r.bounds.Max && !r.stopped {
			r.changed.Wait()
		}
		stopped, next := r.stopped, r.held+aheadChunk
		r.mutex.Unlock()
		if stopped {
			return false
		}
		if next <= r.bounds.Base || r.holder.account.spare() {
			if r.holder.TryAcquire(aheadChunk) {
				return true
			}
			r.holder.account.evict(aheadChunk)
		}
		time.Sleep(aheadPoll)
	}
}
