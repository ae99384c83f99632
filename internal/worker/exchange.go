package worker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// answer is read. A worker may answer a longer one before it has read it.
	inlineBodyBytes = 16 << 10
	// longBodyUserTimeout is how long a worker may read nothing of a body that is longer than
	// inlineBodyBytes. The system cannot tell one that pauses from one that is gone, and a
	// request that was cut off may not be sent again.
	longBodyUserTimeout = 3 * time.Second
	// surplusBytes bounds the surplus answer that is skipped before the own one.
	surplusBytes = 256 << 10
	// maxSurplus is how many surplus answers are skipped.
	maxSurplus = 3
)

// Request is what is sent to a worker.
type Request struct {
	// ID is echoed by the answer.
	ID     string
	Method string
	// Incarnation names the life of the worker that the request is for; only connections that were
	// opened to it are used.
	Incarnation string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// SilenceTimeout is how long the answer may take to begin before the worker's idle
	// connections are taken to have fallen silent; 0 watches nothing.
	SilenceTimeout time.Duration
	// OnConnected is told how long opening a new connection took, about a round trip; nil is
	// told nothing.
	OnConnected func(took time.Duration)
	// BeforeSend, if not nil, is asked once a connection is open, as opening one may take long,
	// and right before the request is written. Where it fails nothing is sent.
	BeforeSend func(ctx context.Context) error
}

// ResponseMetadata tells what the head of an answer says in the product's terms.
type ResponseMetadata struct {
	// RequestID is the request that the answer names.
	RequestID string
	// NotRun is the worker's word that it did not run the request.
	NotRun bool
	// ColdReported is set where the worker tells for how long it bears few requests, ColdRemaining
	// that time; 0 is not at all.
	ColdReported  bool
	ColdRemaining time.Duration
}

// ReadMetadata reads the head of an answer; the platform's adapter implements it.
type ReadMetadata func(status int, header http.Header) ResponseMetadata

// Response is a worker's answer. Body ends with io.EOF only if the answer is
// whole. Close must be called; it keeps the connection if all was read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// NotRun is the worker's word that it did not run the request.
	NotRun bool
	// Metadata is what the head says.
	Metadata ResponseMetadata

	pool     *Pool
	used     *connection
	response *http.Response
	whole    *wholeReader
	written  <-chan error
	stop     func() bool
}

// Send sends a request once and returns the answer's head. Its errors are
// *NotSent and *Lost. When ctx ends, the connection is closed, which cancels
// the request at the worker.
func (p *Pool) Send(ctx context.Context, address string, limit int, request *Request, readHead ReadMetadata) (*Response, error) {
	used, err := p.get(ctx, address, request.Incarnation, limit)
	if err != nil {
		return nil, &NotSent{Cause: err}
	}
	if request.OnConnected != nil && !used.kept {
		request.OnConnected(used.dialed)
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(ctx); err != nil {
			p.putBack(used)
			return nil, &NotSent{Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { used.SetDeadline(time.Unix(1, 0)) })
	if request.SilenceTimeout > 0 && used.kept {
		began := time.Now()
		watch := time.AfterFunc(request.SilenceTimeout, func() { p.suspect(address, began) })
		defer watch.Stop()
	}
	outgoing := request.http()
	written, sent := used.write(outgoing, len(request.Body))
	answer, err := used.read(request, outgoing, readHead)
	if err != nil {
		stop()
		p.discard(used)
		if ctx.Err() == nil {
			p.lost(used)
		}
		if !sent() {
			return nil, &NotSent{Cause: err}
		}
		return nil, &ResponseLost{Cause: err, BodyUnread: !writtenWhole(written)}
	}
	p.answered(address)
	answer.pool, answer.written, answer.stop = p, written, stop
	return answer, nil
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

// writers are buffers to write requests with.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, inlineBodyBytes) }}

// countingWriter counts what the kernel took.
type countingWriter struct {
	to    io.Writer
	count int
}

func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.to.Write(data)
	w.count += n
	return n, err
}

// write sends the request; a long one in the background. sent reports, once
// the connection is closed, whether any byte may have left.
func (c *connection) write(outgoing *http.Request, bodyBytes int) (written <-chan error, sent func() bool) {
	counting := &countingWriter{to: c.Conn}
	result := make(chan error, 1)
	send := func() {
		buffered := writers.Get().(*bufio.Writer)
		buffered.Reset(counting)
		err := outgoing.Write(buffered)
		if err == nil {
			err = buffered.Flush()
		}
		buffered.Reset(nil)
		writers.Put(buffered)
		result <- err
	}
	if bodyBytes > inlineBodyBytes {
		c.beginLongBody()
		go send()
		return result, func() bool { return true }
	}
	send()
	return result, func() bool { return counting.count > 0 }
}

// beginLongBody gives the worker more time to read what is sent, until endLongBody.
func (c *connection) beginLongBody() {
	if c.userTimeout > 0 && c.userTimeout < longBodyUserTimeout {
		c.longBody = true
		transport.SetUserTimeout(c.Conn, longBodyUserTimeout)
	}
}

// endLongBody takes beginLongBody back.
func (c *connection) endLongBody() {
	if c.longBody {
		c.longBody = false
		transport.SetUserTimeout(c.Conn, c.userTimeout)
	}
}

// read returns the answer that names the request. Surplus answers to earlier
// requests are skipped.
func (c *connection) read(request *Request, outgoing *http.Request, readHead ReadMetadata) (*Response, error) {
	for surplus := 0; ; surplus++ {
		response, err := c.readFinal(outgoing)
		if err != nil {
			return nil, err
		}
		head := readHead(response.StatusCode, response.Header)
		if head.RequestID == request.ID || (head.NotRun && head.RequestID == "") {
			whole := &wholeReader{from: response.Body}
			return &Response{
				Status: response.StatusCode, Header: response.Header, Body: whole, NotRun: head.NotRun, Metadata: head,
				used: c, response: response, whole: whole,
			}, nil
		}
		foreign := &MismatchedResponse{Want: request.ID, Have: head.RequestID}
		if surplus >= maxSurplus || response.Close {
			return nil, foreign
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, surplusBytes))
		if err != nil || skipped == surplusBytes {
			return nil, foreign
		}
	}
}

// readFinal skips interim answers.
func (c *connection) readFinal(outgoing *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// wholeReader notes whether the body came to its proper end.
type wholeReader struct {
	from io.Reader
	done bool
}

func (r *wholeReader) Read(data []byte) (int, error) {
	n, err := r.from.Read(data)
	if err == io.EOF {
		r.done = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the request was written
// and the answer read whole, and the worker keeps it too.
func (a *Response) Close() {
	undisturbed := a.stop()
	if !undisturbed || !a.whole.done || a.response.Close || !writtenWhole(a.written) {
		a.pool.discard(a.used)
		return
	}
	a.used.endLongBody()
	a.pool.put(a.used, a.Header)
}

// writtenWhole reports whether a request was written to its end.
func writtenWhole(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}
