package gateway

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
)

const (
	// clientWriteTimeout is how long a client may take to accept the next writeChunkBytes of
	// its response before its connection is closed. It is longer than typical pauses of mobile
	// links and shorter than clientUserTimeout, after which the kernel would close the
	// connection without a reason that can be logged.
	clientWriteTimeout = 4 * time.Second
	// writeChunkBytes is the size of one write. It is small so that a client that reads slowly
	// is not taken for one that does not read at all.
	writeChunkBytes = 16 << 10
	// slowWriteDelay is how long a write may take before the worker's response is read ahead.
	// Until then the kernel's receive buffer holds what the worker has sent.
	slowWriteDelay = 25 * time.Millisecond
	// maxReadAheadBytes is how much of one response is buffered for a slow client, and
	// minReadAheadBytes how much once more than half of the memory for all responses is taken.
	// A response of up to maxReadAheadBytes is read from its worker completely, whatever the
	// kernel buffers on the way hold. Longer responses are rare; their workers wait for the
	// client.
	maxReadAheadBytes = 1 << 20
	minReadAheadBytes = 256 << 10
	// clientSendBufferBytes is about half of what the kernel buffers for a client that does not
	// read. It is more than clients in other regions need for their share of a link.
	clientSendBufferBytes = 128 << 10
	// bufferMemoryDivisor is the reciprocal of the fraction of process memory that buffered
	// responses may take, and that buffered bodies may take. maxBufferedBytes bounds either if the
	// memory is large or unknown.
	bufferMemoryDivisor = 8
	maxBufferedBytes    = 32 << 20
)

var eventClientStalled = event.Define(2822, event.Info, "a client was disconnected because it does not read its response", "Check the client and the link to it. A worker has run the request.")

// bufferedBytesLimit returns how many bytes buffered responses may take, and how many buffered
// bodies may take.
func bufferedBytesLimit(options Options) int64 {
	if options.MemoryBytes <= 0 {
		return maxBufferedBytes
	}
	return min(maxBufferedBytes, options.MemoryBytes/bufferMemoryDivisor)
}

// clientWriter writes a response to a client. While a write blocks on the client, the response
// is read ahead from its worker. A client that accepts nothing for clientWriteTimeout, or whose
// buffered bytes other clients need, is disconnected.
type clientWriter struct {
	http.ResponseWriter
	control     *http.ResponseController
	reservation *flowcontrol.Reservation
	slowTimer   *time.Timer

	mutex sync.Mutex
	// ahead is the read-ahead of the response that is being forwarded; nil before there is one.
	ahead *flowcontrol.ReadAhead
	// writing is set during a write, and slow once the write has taken slowWriteDelay.
	writing, slow bool
}

// newClientWriter returns a writer to a client whose buffered bytes count against an account. The
// caller must call release.
func newClientWriter(to http.ResponseWriter, account *flowcontrol.Budget) *clientWriter {
	w := &clientWriter{ResponseWriter: to, control: http.NewResponseController(to)}
	w.reservation = account.NewReservation(w.abortWrites)
	w.extendWriteDeadline()
	return w
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes the data in chunks, each with its own deadline of clientWriteTimeout.
func (w *clientWriter) Write(data []byte) (written int, err error) {
	for err == nil && written < len(data) {
		part := data[written:min(len(data), written+writeChunkBytes)]
		err = w.timedWrite(func() error {
			count, err := w.ResponseWriter.Write(part)
			written += count
			return err
		})
	}
	return written, err
}

// FlushError flushes the data written so far.
func (w *clientWriter) FlushError() error { return w.timedWrite(w.control.Flush) }

// timedWrite runs one write with a deadline and starts read-ahead if it is slow.
func (w *clientWriter) timedWrite(write func() error) error {
	w.extendWriteDeadline()
	w.writeStarted()
	err := write()
	w.writeEnded()
	switch {
	case err == nil:
		w.reservation.RecordProgress()
		return nil
	case w.reservation.Evicted():
		return &flowcontrol.PeerStalled{Cause: flowcontrol.Evicted, Timeout: clientWriteTimeout}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &flowcontrol.PeerStalled{Cause: flowcontrol.NoProgress, Timeout: clientWriteTimeout}
	}
	return err
}

// extendWriteDeadline sets the deadline for the next bytes, unless the client was evicted.
// net/http keeps the last deadline of a connection for its next response, and writes the rest
// of a response under it after the handler has returned.
func (w *clientWriter) extendWriteDeadline() {
	// Test recorders do not support deadlines, and a closed connection makes the write fail.
	_ = w.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if w.reservation.Evicted() {
		w.abortWrites()
	}
}

// abortWrites makes writes to the client fail, including one in progress.
func (w *clientWriter) abortWrites() { _ = w.control.SetWriteDeadline(time.Unix(1, 0)) }

// writeStarted records the start of a write.
func (w *clientWriter) writeStarted() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = true
	if w.slowTimer == nil {
		w.slowTimer = time.AfterFunc(slowWriteDelay, w.markSlow)
		return
	}
	w.slowTimer.Reset(slowWriteDelay)
}

// writeEnded records the end of a write.
func (w *clientWriter) writeEnded() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slowTimer.Stop()
	w.writing = false
	if w.slow {
		w.slow = false
		w.reservation.MarkUnblocked()
	}
}

// markSlow records that a write blocks on the client, and starts read-ahead so that the worker
// does not wait.
func (w *clientWriter) markSlow() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.writing {
		return
	}
	w.slow = true
	w.reservation.MarkBlocked()
	if w.ahead != nil {
		w.ahead.Start()
	}
}

// setReadAhead sets the read-ahead of the response that is forwarded from now on.
func (w *clientWriter) setReadAhead(ahead *flowcontrol.ReadAhead) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ahead = ahead
}

// readAheadLogValues returns log values that describe the read-ahead: how long ago it began and
// ended, how many bytes it read, and how many it buffered at most.
func (w *clientWriter) readAheadLogValues() []any {
	if w == nil {
		return nil
	}
	w.mutex.Lock()
	ahead := w.ahead
	w.mutex.Unlock()
	if ahead == nil {
		return nil
	}
	stats := ahead.Stats()
	if stats.StartedAt.IsZero() {
		return nil
	}
	values := []any{
		"ahead_begun_ms", time.Since(stats.StartedAt).Milliseconds(), "ahead_bytes", stats.BytesRead, "ahead_held_bytes", stats.MaxBuffered,
		"ahead_no_capacity_ms", stats.CapacityWait.Milliseconds(),
	}
	if !stats.LastReadAt.IsZero() {
		values = append(values, "ahead_last_read_ms", time.Since(stats.LastReadAt).Milliseconds())
	}
	if !stats.EndedAt.IsZero() {
		values = append(values, "ahead_ended_ms", time.Since(stats.EndedAt).Milliseconds())
	}
	return values
}

// release frees the buffered bytes and stops the timer.
func (w *clientWriter) release() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.slowTimer != nil {
		w.slowTimer.Stop()
	}
	w.reservation.ReleaseAll()
}

// recordClientStall logs and counts a client that was disconnected as too slow, if that is what
// ended the response.
func (r *request) recordClientStall(cause error) {
	var stalled *flowcontrol.PeerStalled
	if !errors.As(cause, &stalled) {
		return
	}
	r.addLogEntry(eventClientStalled, "cause", string(stalled.Cause), "held_bytes", r.clientWriter.reservation.Bytes(), "worker", r.lastWorkerID, "events", r.eventCount)
	r.gateway.metrics.recordSlowPeer(slowPeerClient, string(stalled.Cause))
}
