package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// workerReceiveBufferBytes is the receive buffer for a response that needs no larger one. It equals
	// the buffer of the client that the response is forwarded to.
	workerReceiveBufferBytes = clientSendBufferBytes
	// maxReceiveBufferBytes holds the longest response that is taken off its worker completely, with
	// its head.
	maxReceiveBufferBytes = maxReadAheadBytes + receiveBufferStepBytes
	// receiveBufferStepBytes is the unit in which receive buffers grow, so that responses of about the
	// same length leave a connection's buffer as it is.
	receiveBufferStepBytes = 64 << 10
	// responseHeadBytes is the part of a receive buffer that is left to the head of a response.
	responseHeadBytes = 16 << 10
	// minLengthSamples is the number of responses from which the longest one tells what a route's
	// responses need.
	minLengthSamples = 32
)

var eventReceiveBufferLimited = event.Define(2826, event.Warning, "the operating system grants a smaller receive buffer than the longest buffered response needs", "Raise net.core.rmem_max to the wanted bytes. Until then longer responses may be torn while the gateway does not run; see docs/design/slow-readers.md.")

// receiveBuffers decides how much of each response the kernel buffers while this process does not run.
// A worker aborts a response that is not read for a few seconds, so a response is safe from then on
// only as far as the receive buffer reaches. Buffers larger than workerReceiveBufferBytes count against a
// budget.
type receiveBuffers struct {
	// granted is how much of maxReceiveBufferBytes the operating system grants. limit is the largest
	// receive buffer that is asked for.
	granted, limit int
	// budget counts the memory of the kernel for larger buffers.
	budget *flowcontrol.Budget
	now    func() time.Time
	// refused counts the responses that got no larger buffer.
	refused atomic.Int64
	// lengths holds the longest recent responses by route and service.
	lengths estimatesByKind[estimate.Maximum]
}

// newReceiveBuffers returns the receive buffers for responses. granted is how much of
// maxReceiveBufferBytes the operating system grants; budgetBytes bounds the memory of the kernel for larger
// buffers.
func newReceiveBuffers(granted int, budgetBytes int64, now func() time.Time) *receiveBuffers {
	return &receiveBuffers{
		granted: granted, limit: max(granted, workerReceiveBufferBytes), budget: flowcontrol.NewBudget(budgetBytes, now), now: now,
	}
}

// grantedReceiveBuffer returns how much of maxReceiveBufferBytes the operating system grants, and logs if
// that is less. Without read-ahead, responses get no more than workerReceiveBufferBytes.
func grantedReceiveBuffer(options Options) int {
	if options.DisabledMechanisms.Has(mechanism.ReadAhead) {
		return workerReceiveBufferBytes
	}
	granted, err := transport.GrantedReceiveBuffer(maxReceiveBufferBytes)
	if err != nil || granted < maxReceiveBufferBytes {
		eventReceiveBufferLimited.Log("wanted_bytes", maxReceiveBufferBytes, "granted_bytes", granted, "cause", errorText(err))
	}
	return granted
}

// bytesFor returns the receive buffer that holds a response of a length with its head.
func (b *receiveBuffers) bytesFor(length int64) int {
	needed := length + responseHeadBytes
	if needed <= workerReceiveBufferBytes {
		return workerReceiveBufferBytes
	}
	steps := (needed + receiveBufferStepBytes - 1) / receiveBufferStepBytes
	return int(min(steps*receiveBufferStepBytes, int64(b.limit)))
}

// expectedLength returns the length to expect of a response that has not begun. A kind with few recent
// responses may have any length; it has few requests in flight.
func (b *receiveBuffers) expectedLength(lengths *estimate.Maximum) int64 {
	longest, count := lengths.Value(b.now())
	if count < minLengthSamples {
		return maxReadAheadBytes
	}
	return longest
}

// reserve returns the receive buffer for a response that has not begun. The caller must call release.
func (b *receiveBuffers) reserve(kind routeAndService) *receiveReservation {
	reservation := &receiveReservation{buffers: b, lengths: b.lengths.getOrCreate(kind), bytes: workerReceiveBufferBytes, length: -1}
	reservation.grow(b.bytesFor(b.expectedLength(reservation.lengths)))
	return reservation
}

// receiveReservation is the receive buffer for one response.
type receiveReservation struct {
	buffers *receiveBuffers
	lengths *estimate.Maximum
	// counted is the part of the budget that is used; nil if there is none.
	counted *flowcontrol.Reservation
	// bytes is the size of the receive buffer. It is workerReceiveBufferBytes if it does not count.
	bytes int
	// isRefused is set once the budget had no capacity for a larger buffer: a buffer that is granted later does not help
	// what was sent before.
	isRefused bool
	// length is the declared length of the body, -1 while it is unknown. read is what was read of it.
	length int64
	read   atomic.Int64
}

// grow makes the buffer larger if the budget has the capacity, and reports whether it did.
func (r *receiveReservation) grow(bytes int) bool {
	if bytes <= r.bytes {
		return false
	}
	counted := r.counted
	if counted == nil {
		counted = r.buffers.budget.NewReservation(nil)
	}
	if !counted.TryAcquire(transport.KernelBytesPerBufferByte*bytes - int(counted.Bytes())) {
		r.isRefused = true
		r.buffers.refused.Add(1)
		return false
	}
	r.counted, r.bytes = counted, bytes
	return true
}

// shrink returns to the budget what a response of a known length does not need. The connection keeps its
// buffer, which cannot receive more than the rest of the response.
func (r *receiveReservation) shrink(bytes int) {
	switch {
	case r.counted == nil || bytes >= r.bytes:
	case bytes == workerReceiveBufferBytes:
		r.release()
	default:
		r.counted.Release(transport.KernelBytesPerBufferByte * (r.bytes - bytes))
		r.bytes = bytes
	}
}

// release returns the buffer to the budget, once the response has been read or is no longer wanted.
func (r *receiveReservation) release() {
	if r.counted != nil {
		r.counted.ReleaseAll()
		r.counted = nil
	}
}

// responseStarted adapts the buffer to a response whose head has been read, and wraps its body.
func (r *receiveReservation) responseStarted(response *worker.Response) {
	r.length = response.Length
	isSuccess := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	switch {
	case r.length < 0:
	case r.grow(r.buffers.bytesFor(r.length)):
		response.SetReceiveBuffer(r.bytes)
	default:
		r.shrink(r.buffers.bytesFor(r.length))
	}
	response.Body = &measuredBody{source: response.Body, reservation: r, isSample: isSuccess}
}

// logValues returns log values that tell how much of the response the kernel could buffer, and how much of
// it was read. It is safe to call while the response is read, and on nil.
func (r *receiveReservation) logValues() []any {
	if r == nil {
		return nil
	}
	return []any{
		"answer_bytes", r.length, "read_bytes", r.read.Load(), "receive_buffer_bytes", min(r.bytes, r.buffers.granted), "receive_buffer_refused", r.isRefused,
	}
}

// measuredBody is the body of a response. At its end it returns the receive buffer to the budget.
type measuredBody struct {
	source      io.Reader
	reservation *receiveReservation
	// isSample is set if the length tells what to expect of later responses.
	isSample bool
}

// Read reads from the source.
func (b *measuredBody) Read(data []byte) (int, error) {
	count, err := b.source.Read(data)
	b.reservation.read.Add(int64(count))
	if err == io.EOF {
		b.reservation.release()
		b.recordLength()
	}
	return count, err
}

// recordLength records the length of a complete response.
func (b *measuredBody) recordLength() {
	if b.isSample {
		b.reservation.lengths.Observe(b.reservation.buffers.now(), b.reservation.read.Load())
		b.isSample = false
	}
}
