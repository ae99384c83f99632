package caller

import (
	"net/http"
	"strings"
	"time"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// flushingWriter sends each write of an event stream at once. The generated
// server copies a stream to its writer without flushing, so that tokens would
// wait in the connection's buffer.
type flushingWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// timeout bounds one write to a reader that does not read; 0 is no bound.
	timeout   time.Duration
	status    int
	streaming bool
}

func newFlushingWriter(w http.ResponseWriter, timeout time.Duration) *flushingWriter {
	return &flushingWriter{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		timeout:        timeout,
	}
}

// WriteHeader learns whether the response is an event stream.
func (w *flushingWriter) WriteHeader(status int) {
	w.status = status
	header := w.Header()
	w.streaming = strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
	header.Set("Cache-Control", "no-store")
	w.ResponseWriter.WriteHeader(status)
}

// Write sends the bytes, and flushes them where they belong to a stream.
func (w *flushingWriter) Write(data []byte) (int, error) {
	if !w.streaming {
		return w.ResponseWriter.Write(data)
	}
	if w.timeout > 0 {
		// A writer without deadlines, as in tests, blocks on its own terms.
		_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	}
	n, err := w.ResponseWriter.Write(data)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}

// finish lifts the write deadline: the connection may serve another request.
func (w *flushingWriter) finish() {
	if w.streaming && w.timeout > 0 {
		_ = w.controller.SetWriteDeadline(time.Time{})
	}
}

// Unwrap gives the writer below, for http.ResponseController.
func (w *flushingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// flushingWriterOf finds the writer under those that the generated server adds.
func flushingWriterOf(w http.ResponseWriter) (*flushingWriter, bool) {
	for {
		if found, ok := w.(*flushingWriter); ok {
			return found, true
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return nil, false
		}
		w = wrapper.Unwrap()
	}
}
