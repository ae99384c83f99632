package worker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// maxInlineBodyBytes is the maximum size of a body that is written before the response is read.
	// A worker may respond to a longer one before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// longBodyUserTimeout is how long data of a body longer than maxInlineBodyBytes may stay
	// unacknowledged. The operating system cannot distinguish a worker that pauses reading from one
	// that is gone, and an interrupted request may not be sent again.
	longBodyUserTimeout = 3 * time.Second
	// maxStaleResponseBytes is the maximum size of a stale response that is skipped.
	maxStaleResponseBytes = 256 << 10
	// maxStaleResponses is the maximum number of stale responses that are skipped.
	maxStaleResponses = 3
)

// Request is a request to a worker.
type Request struct {
	// ID is echoed by the response.
	ID     string
	Method string
	// Incarnation is the incarnation of the worker that the request is for. Only connections that
	// were opened to this incarnation are used.
	Incarnation string
	// Target is the path and query as sent by the client.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// SilenceTimeout is how long the response on a reused connection may take to begin before the
	// idle connections to the worker are assumed to be dead and closed. 0 disables the check.
	SilenceTimeout time.Duration
	// OnConnected, if not nil, is called with the time that opening a new connection took, about
	// one round trip.
	OnConnected func(took time.Duration)
	// BeforeSend, if not nil, is called right before the request is written, after a connection has
	// been opened, which may take long. If it fails, nothing is sent.
	BeforeSend func(ctx context.Context) error
	// Probe, if not nil, looks at the connection of the request from then on.
	Probe *ConnectionProbe
	// ReceiveBuffer is how many bytes of the response the kernel buffers while this process does not
	// read them. 0 leaves the connection as it is.
	ReceiveBuffer int
	// MaxBodyBytes bounds the body of the response. 0 is no bound.
	MaxBodyBytes int64
}

// ConnectionProbe looks at the connection that a request was sent on. It is safe for concurrent use.
type ConnectionProbe struct {
	connection atomic.Pointer[connection]
}

// HasUnread reports whether something of the worker has arrived that this process has not read yet.
// It is false before the request has a connection and after the connection was closed.
func (p *ConnectionProbe) HasUnread() bool {
	connection := p.connection.Load()
	return connection != nil && transport.HasUnread(connection.Conn)
}

// DialedAt returns when opening the connection began, which may have been for an earlier request. It is
// zero if the request has got no connection.
func (p *ConnectionProbe) DialedAt() time.Time {
	connection := p.connection.Load()
	if connection == nil {
		return time.Time{}
	}
	return connection.dialedAt
}

// LocalAddress returns this process's end of the connection, which tells connections to one worker apart. It
// is empty if the request has got no connection.
func (p *ConnectionProbe) LocalAddress() string {
	connection := p.connection.Load()
	if connection == nil {
		return ""
	}
	return connection.LocalAddr().String()
}

// ReceivedBytes returns how many bytes were read on the connection since the request was sent, and whether the
// head of its response is complete.
func (p *ConnectionProbe) ReceivedBytes() (bytes int64, headComplete bool) {
	connection := p.connection.Load()
	if connection == nil {
		return 0, false
	}
	return connection.received.Load(), connection.headComplete.Load()
}

// IsBehind reports whether something of the worker waits for this process, to be read or handled.
func (p *ConnectionProbe) IsBehind() bool {
	// In this order, what is read between the two looks is not missed.
	return p.HasUnread() || p.IsHandling()
}

// IsHandling reports whether this process has read something of the response and has not asked for
// more yet.
func (p *ConnectionProbe) IsHandling() bool {
	connection := p.connection.Load()
	return connection != nil && connection.handling.Load()
}

// attach sets the connection that the probe looks at, before anything of the response was read. A nil
// probe does nothing.
func (p *ConnectionProbe) attach(connection *connection) {
	if p != nil {
		connection.handling.Store(false)
		connection.received.Store(0)
		connection.headComplete.Store(false)
		p.connection.Store(connection)
	}
}

// ResponseMetadata is the part of a response header that this project interprets.
type ResponseMetadata struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// NotRun is set if the worker states that it did not run the request.
	NotRun bool
	// ColdReported is set if the worker reports how much longer it is cold, that is, accepts only a
	// few requests per second. ColdRemaining is that time; 0 means that it is not cold.
	ColdReported  bool
	ColdRemaining time.Duration
}

// ReadMetadata parses the header of a response. It is implemented by the platform's adapter.
type ReadMetadata func(status int, header http.Header) ResponseMetadata

// Response is a worker's response. Body ends with io.EOF only if the response is complete; one that only the end of the
// connection ends may wait for that up to unreadRequestTimeout. Close must be called; it keeps the connection if
// everything was read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, -1 if the worker did not declare it.
	Length int64
	// NotRun is set if the worker states that it did not run the request.
	NotRun bool
	// Metadata is the interpreted part of the header.
	Metadata ResponseMetadata

	pool         *Pool
	connection   *connection
	httpResponse *http.Response
	body         *responseBody
	written      *requestWrite
	stopCancel   func() bool
}

// Send sends a request once and returns the header of the response. Its errors are *NotSent and
// *ResponseLost. When ctx ends, the connection is closed, which cancels the request at the worker.
func (p *Pool) Send(ctx context.Context, address string, limit int, request *Request, readMetadata ReadMetadata) (*Response, error) {
	connection, err := p.acquire(ctx, address, request.Incarnation, request.ID, limit)
	if err != nil {
		return nil, &NotSent{Cause: err}
	}
	if request.OnConnected != nil && !connection.reused {
		request.OnConnected(connection.dialDuration)
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(ctx); err != nil {
			p.returnUnused(connection)
			return nil, &NotSent{Cause: err}
		}
	}
	request.Probe.attach(connection)
	connection.sent.add(request.ID)
	connection.carriedHead = connection.carriedHead || request.Method == http.MethodHead
	connection.setReceiveBuffer(request.ReceiveBuffer)
	stopCancel := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) })
	if request.SilenceTimeout > 0 && connection.reused {
		startedAt := time.Now()
		silenceTimer := time.AfterFunc(request.SilenceTimeout, func() { p.closeIdleIfSilent(address, startedAt) })
		defer silenceTimer.Stop()
	}
	outgoing := request.http()
	written := connection.write(outgoing, len(request.Body))
	response, err := connection.read(request, outgoing, readMetadata)
	if err != nil {
		stopCancel()
		p.discard(connection)
		if ctx.Err() == nil {
			p.recordLoss(connection)
		}
		if !written.sent() {
			return nil, &NotSent{Cause: err}
		}
		return nil, &ResponseLost{Cause: err, BodyUnread: !written.succeeded()}
	}
	p.recordResponse(address)
	response.body.confirmEnd = confirmTrailer(response.httpResponse)
	if transport.IsUnframed(response.httpResponse) {
		response.body.confirmEnd = connection.confirmUnframedEnd(ctx, written)
	}
	response.pool, response.written, response.stopCancel = p, written, stopCancel
	return response, nil
}

func (r *Request) http() *http.Request {
	outgoing := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Opaque: r.Target}, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(r.Body))
	} else if r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		outgoing.Body = http.NoBody
	}
	return outgoing
}

// writerPool contains buffers for writing requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, maxInlineBodyBytes) }}

// countingWriter counts the bytes that were passed to the kernel.
type countingWriter struct {
	writer io.Writer
	count  int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.count += n
	return n, err
}

// write sends the request, in the background if the body is long.
func (c *connection) write(outgoing *http.Request, bodyBytes int) *requestWrite {
	counting := &countingWriter{writer: c.Conn}
	result := &requestWrite{done: make(chan struct{})}
	send := func() {
		buffered := writerPool.Get().(*bufio.Writer)
		buffered.Reset(counting)
		err := outgoing.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		buffered.Reset(nil)
		writerPool.Put(buffered)
		result.end(err)
	}
	if bodyBytes > maxInlineBodyBytes {
		c.raiseUserTimeout()
		result.sent = func() bool { return true }
		go send()
		return result
	}
	result.sent = func() bool { return counting.count > 0 }
	send()
	return result
}

// raiseUserTimeout gives the worker more time to read a long body, until restoreUserTimeout is
// called.
func (c *connection) raiseUserTimeout() {
	if c.userTimeout > 0 && c.userTimeout < longBodyUserTimeout {
		c.userTimeoutRaised = true
		transport.SetUserTimeout(c.Conn, longBodyUserTimeout)
	}
}

// restoreUserTimeout restores the timeout that applied before raiseUserTimeout.
func (c *connection) restoreUserTimeout() {
	if c.userTimeoutRaised {
		c.userTimeoutRaised = false
		transport.SetUserTimeout(c.Conn, c.userTimeout)
	}
}

// setReceiveBuffer sets the receive buffer. Of a pool that sets none, connections keep the kernel's.
func (c *connection) setReceiveBuffer(bytes int) {
	if c.receiveBuffer == 0 || bytes == 0 || bytes == c.receiveBuffer {
		return
	}
	if err := transport.SetReceiveBuffer(c.Conn, bytes); err != nil {
		// The connection has ended, which its next use reports.
		return
	}
	c.receiveBuffer = bytes
}

// read returns the response with the ID of the request and skips stale responses to earlier
// requests.
func (c *connection) read(request *Request, outgoing *http.Request, readMetadata ReadMetadata) (*Response, error) {
	for staleResponses := 0; ; staleResponses++ {
		response, err := c.readFinalResponse(outgoing)
		if err != nil {
			return nil, err
		}
		metadata := readMetadata(response.StatusCode, response.Header)
		if metadata.RequestID == request.ID {
			c.headComplete.Store(true)
			bounded, err := boundBody(response, request.MaxBodyBytes)
			if err != nil {
				return nil, err
			}
			body := &responseBody{source: bounded}
			return &Response{
				Status: response.StatusCode, Header: response.Header, Body: body, Length: bodyLength(response), NotRun: metadata.NotRun, Metadata: metadata,
				connection: c, httpResponse: response, body: body,
			}, nil
		}
		mismatch := &MismatchedResponse{Want: request.ID, Have: metadata.RequestID}
		if staleResponses >= maxStaleResponses || response.Close || c.carriedHead {
			return nil, mismatch
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleResponseBytes))
		if err != nil || skipped == maxStaleResponseBytes {
			return nil, mismatch
		}
	}
}

// bodyLength returns the length of a response's body, -1 if it was not declared.
func bodyLength(response *http.Response) int64 {
	if response.Body == http.NoBody {
		// The response to a HEAD request declares the length of a body that does not follow.
		return 0
	}
	return response.ContentLength
}

// SetReceiveBuffer sets how many bytes of the rest of the response the kernel buffers while this process
// does not read them.
func (r *Response) SetReceiveBuffer(bytes int) { r.connection.setReceiveBuffer(bytes) }

// Close ends the exchange. The connection is kept if the request was completely written, the
// response completely read and the worker keeps it open too.
func (r *Response) Close() {
	notCanceled := r.stopCancel()
	if !notCanceled || !r.body.complete || r.httpResponse.Close || !r.written.succeeded() {
		r.pool.discard(r.connection)
		return
	}
	r.connection.restoreUserTimeout()
	r.pool.recycle(r.connection, r.Header)
}

// DiscardWithin reads what is left of the response and closes it. A response of more than limit bytes, or whose end
// does not come in time, costs its connection.
func (r *Response) DiscardWithin(timeout time.Duration, limit int64) {
	defer r.Close()
	// Whether what is discarded was complete does not matter.
	r.body.confirmEnd = nil
	if err := r.connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit))
	if r.body.complete {
		_ = r.connection.SetReadDeadline(time.Time{})
	}
}
