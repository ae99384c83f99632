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
	// clientStall is how long a client may take to take the next writeBytes of its answer
	// before its connection is closed: longer than mobile links rest, and less than
	// clientUserTimeout, after which the system would end it without a cause to tell.
	clientStall = 4 * time.Second
	// writeBytes is how much is written at a time, so that a client that reads slowly, but
	// reads, is not taken for one that does not.
	writeBytes = 16 << 10
	// slowWrite is how long a write may take before the worker's answer is read ahead: a
	// worker cuts answers off that are left unread for seconds.
	slowWrite = 250 * time.Millisecond
	// readAheadBytes is how much of one answer is held for a client that reads slowly, and
	// sharedAheadBytes how much where more than half of what all may hold is taken. An answer of up
	// to the former is taken off its worker whole, whatever the system's buffers on the way hold;
	// longer answers are rare, and their workers wait for their clients.
	readAheadBytes   = 1 << 20
	sharedAheadBytes = 256 << 10
	// clientSendBuffer is about half of what the system holds for a client that does not read:
	// more than clients of other regions need for their share of a link.
	clientSendBuffer = 128 << 10
	// workerReceiveBuffer is about half of what the system holds of a worker's answer that is
	// not read: as much as for the client that it is passed on to.
	workerReceiveBuffer = clientSendBuffer
	// heldShare is the part of the process's memory that answers may take, and that bodies may
	// take, at most; maxHeldBytes bounds either where the memory is large or not known.
	heldShare    = 8
	maxHeldBytes = 32 << 20
)

var eventClientStalled = event.Define(2822, event.Info, "a client was cut off because it does not read its answer", "Look at the client, or at the link to it. A worker has run the request.")

// heldBytes returns how many bytes answers, and bodies, may take.
func heldBytes(options Options) int64 {
	if options.MemoryBytes <= 0 {
		return maxHeldBytes
	}
	return min(maxHeldBytes, options.MemoryBytes/heldShare)
}

// clientWriter writes an answer to a client. While a write waits for the client, the answer is
// read ahead from its worker; a client that takes nothing for clientStall, or whose bytes others
// need, is cut off.
type clientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	holder  *flowcontrol.Reservation
	watch   *time.Timer

	mutex sync.Mutex
	// ahead reads ahead the answer that is passed on; nil where there is none yet.
	ahead *flowcontrol.ReadAhead
	// writing is set during a write, slow once that has taken slowWrite.
	writing, slow bool
}

// newClientWriter returns a writer to a client, whose held bytes count in an account. release
// must be called.
func newClientWriter(to http.ResponseWriter, account *flowcontrol.Budget) *clientWriter {
	w := &clientWriter{ResponseWriter: to, control: http.NewResponseController(to)}
	w.holder = account.NewReservation(w.cutOff)
	w.allowUntilStalled()
	return w
}

// Unwrap gives http.ResponseController the writer below.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes in parts, each of which has clientStall to be taken.
func (w *clientWriter) Write(data []byte) (written int, err error) {
	for err == nil && written < len(data) {
		part := data[written:min(len(data), written+writeBytes)]
		err = w.guard(func() error {
			count, err := w.ResponseWriter.Write(part)
			written += count
			return err
		})
	}
	return written, err
}

// FlushError passes on what was written.
func (w *clientWriter) FlushError() error { return w.guard(w.control.Flush) }

// guard bounds one write, and watches whether it waits for the client.
func (w *clientWriter) guard(write func() error) error {
	w.allowUntilStalled()
	w.begin()
	err := write()
	w.end()
	switch {
	case err == nil:
		w.holder.RecordProgress()
		return nil
	case w.holder.Evicted():
		return &flowcontrol.PeerStalled{Cause: flowcontrol.Evicted, Timeout: clientStall}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &flowcontrol.PeerStalled{Cause: flowcontrol.NoProgress, Timeout: clientStall}
	}
	return err
}

// allowUntilStalled gives the client the time that the next bytes may take, unless it was given
// up. The library keeps a connection's last deadline for its next answer, and writes the rest of
// an answer under it, after the handler has returned.
func (w *clientWriter) allowUntilStalled() {
	// Test recorders have no deadline to set; a connection that has ended shows in the write.
	_ = w.control.SetWriteDeadline(time.Now().Add(clientStall))
	if w.holder.Evicted() {
		w.cutOff()
	}
}

// cutOff ends writes to the client, also one that waits.
func (w *clientWriter) cutOff() { _ = w.control.SetWriteDeadline(time.Unix(1, 0)) }

// begin notes that a write begins.
func (w *clientWriter) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = true
	if w.watch == nil {
		w.watch = time.AfterFunc(slowWrite, w.becomeSlow)
		return
	}
	w.watch.Reset(slowWrite)
}

// end notes that a write has ended.
func (w *clientWriter) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watch.Stop()
	w.writing = false
	if w.slow {
		w.slow = false
		w.holder.MarkUnblocked()
	}
}

// becomeSlow notes that a write waits for the client, and has its worker wait no longer.
func (w *clientWriter) becomeSlow() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.writing {
		return
	}
	w.slow = true
	w.holder.MarkBlocked()
	if w.ahead != nil {
		w.ahead.Start()
	}
}

// readAhead names the answer that is passed on from now on.
func (w *clientWriter) readAhead(ahead *flowcontrol.ReadAhead) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ahead = ahead
}

// course returns, for the log, how the answer that is passed on was read ahead: how long ago that
// began and ended, and how many bytes were held of how many.
func (w *clientWriter) course() []any {
	if w == nil {
		return nil
	}
	w.mutex.Lock()
	ahead := w.ahead
	w.mutex.Unlock()
	if ahead == nil {
		return nil
	}
	course := ahead.Stats()
	if course.StartedAt.IsZero() {
		return nil
	}
	values := []any{
		"ahead_begun_ms", time.Since(course.StartedAt).Milliseconds(), "ahead_bytes", course.BytesRead, "ahead_held_bytes", course.MaxBuffered,
		"ahead_no_capacity_ms", course.CapacityWait.Milliseconds(),
	}
	if !course.LastReadAt.IsZero() {
		values = append(values, "ahead_last_read_ms", time.Since(course.LastReadAt).Milliseconds())
	}
	if !course.EndedAt.IsZero() {
		values = append(values, "ahead_ended_ms", time.Since(course.EndedAt).Milliseconds())
	}
	return values
}

// release ends the writer's use.
func (w *clientWriter) release() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.watch != nil {
		w.watch.Stop()
	}
	w.holder.ReleaseAll()
}

// noteStalled tells of a client that was cut off, if that is what ended the answer.
func (r *request) noteStalled(cause error) {
	var stalled *flowcontrol.PeerStalled
	if !errors.As(cause, &stalled) {
		return
	}
	r.note(eventClientStalled, "cause", string(stalled.Cause), "held_bytes", r.out.holder.Bytes(), "worker", r.workerID, "events", r.events)
	r.gateway.metrics.cutOff(clientSide, string(stalled.Cause))
}
