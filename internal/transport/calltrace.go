package transport

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// callTrace follows one call through net/http, which may make several attempts at it. It is safe for concurrent use.
type callTrace struct {
	mutex sync.Mutex
	// written is closed once the writing of the last attempt has ended; writeErr is how.
	written  chan struct{}
	writeErr error
}

// follow returns the request with the trace attached.
func (t *callTrace) follow(request *http.Request) *http.Request {
	t.begin()
	hooks := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { t.begin() },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { t.endWriting(info.Err) },
		Got1xxResponse: checkInterimHead,
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), hooks))
}

// checkInterimHead fails if an interim head is invalid.
func checkInterimHead(_ int, header textproto.MIMEHeader) error { return CheckFieldNames(header) }

// begin records that an attempt begins.
func (t *callTrace) begin() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.written, t.writeErr = make(chan struct{}), nil
}

// endWriting records how the writing of an attempt has ended; only the first end after its begin counts.
func (t *callTrace) endWriting(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	select {
	case <-t.written:
	default:
		t.writeErr = err
		close(t.written)
	}
}

// awaitWritten waits until the writing of the last attempt has ended and returns how. It fails with *CallUnread after a
// timeout.
func (t *callTrace) awaitWritten(timeout time.Duration) error {
	t.mutex.Lock()
	written := t.written
	t.mutex.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
		return &CallUnread{Timeout: timeout}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writeErr
}
