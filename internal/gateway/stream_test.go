package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// streamHead is the header of a worker's stream.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// heldWorker is a worker that accepts one request and responds as the test says.
type heldWorker struct {
	address    string
	connection chan net.Conn
}

// newHeldWorker starts a worker that has read the head of its request once its connection can be
// received.
func newHeldWorker(t *testing.T) *heldWorker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	held := &heldWorker{address: listener.Addr().String(), connection: make(chan net.Conn, 1)}
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			held.connection <- connection
		}
	}()
	return held
}

// newStreamRequest returns a request for a stream, before a gateway that knows one worker, and
// what its client gets.
func newStreamRequest(t *testing.T, address string) (*request, directory.Worker, *httptest.ResponseRecorder) {
	g := gatewayWithOptions(Options{})
	listed := directory.Worker{ID: "i-1", Instance: "i-1", Service: "s", Address: address}
	g.directory.ReplaceWorkers([]directory.Worker{listed}, 1)
	r := requestOnRoute(t, g, &route.Route{Kind: route.Streaming, TargetLatency: time.Minute})
	client := httptest.NewRecorder()
	r.writer = client
	return r, listed, client
}

// passedDeadline returns a context whose deadline has passed.
func passedDeadline(t *testing.T) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	t.Cleanup(cancel)
	return ctx
}

// begunStream returns an attempt whose worker has sent the head of its stream and nothing else, the
// worker's connection, and what the client gets.
func begunStream(t *testing.T) (*request, *attempt, net.Conn, *httptest.ResponseRecorder) {
	held := newHeldWorker(t)
	r, listed, client := newStreamRequest(t, held.address)
	go func() {
		connection := <-held.connection
		_, _ = io.WriteString(connection, streamHead)
		held.connection <- connection
	}()
	begun, err := r.sendTo(t.Context(), listed, "")
	require.NoError(t, err)
	connection := <-held.connection
	t.Cleanup(func() { connection.Close() })
	return r, begun, connection, client
}

const lateEvent = "id: 1\ndata: late\n\n"

// A stream that was given up as silent was begun with the event that came before its connection was closed, and then torn.
func TestAStreamThatWasGivenUpAsSilentIsNotBegun(t *testing.T) {
	r, attempt, connection, client := begunStream(t)
	closeConnection := attempt.watchdog.cancel
	defer closeConnection()
	attempt.watchdog.cancel = func() {}
	forwarded := make(chan error, 1)
	go func() { forwarded <- (&stream{request: r}).forwardEvents(t.Context(), attempt) }()
	attempt.watchdog.expire()
	_, err := io.WriteString(connection, lateEvent)
	require.NoError(t, err)
	require.NoError(t, connection.Close())

	err = <-forwarded
	var silent *SilentWorker
	require.ErrorAs(t, err, &silent)
	require.Empty(t, client.Body.String())
	require.False(t, client.Flushed, "no header was sent")
}

// A worker whose first event lay unread in a process that ran late was given up as silent.
func TestAWorkerWhoseEventLiesUnreadIsNotSilent(t *testing.T) {
	r, attempt, connection, client := begunStream(t)
	_, err := io.WriteString(connection, lateEvent)
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.Eventually(t, attempt.watchdog.probe.HasUnread, time.Minute, time.Millisecond)
	decided := make(chan struct{})
	go func() {
		attempt.watchdog.expire()
		close(decided)
	}()
	time.Sleep(2 * unreadRecheckInterval)

	require.NoError(t, (&stream{request: r}).forwardEvents(t.Context(), attempt))
	<-decided
	require.Equal(t, lateEvent, client.Body.String())
}

// A stream was begun with an event that came after the request's deadline, and torn at once.
func TestAStreamIsNotBegunAfterItsDeadline(t *testing.T) {
	r, attempt, connection, client := begunStream(t)
	_, err := io.WriteString(connection, lateEvent)
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	attempt.zoneContext = passedDeadline(t)

	err = (&stream{request: r}).forwardEvents(attempt.zoneContext, attempt)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, http.StatusGatewayTimeout, statusOf(err))
	require.Empty(t, client.Body.String())
	require.False(t, client.Flushed, "no header was sent")
}

// A stream whose connection was reset was taken for a whole, empty one once the watchdog had looked at the connection.
func TestAStreamThatWasResetIsNotWholeOnceTheWatchdogHasLooked(t *testing.T) {
	r, attempt, connection, client := begunStream(t)
	require.NoError(t, connection.(*net.TCPConn).SetLinger(0))
	require.NoError(t, connection.Close())
	require.Eventually(t, attempt.watchdog.probe.HasUnread, time.Minute, time.Millisecond)

	err := (&stream{request: r}).forwardEvents(t.Context(), attempt)
	var lost *worker.ResponseLost
	require.ErrorAs(t, err, &lost)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.False(t, client.Flushed, "no header was sent")
}

// A worker whose first event had been read with its head was given up as silent before a process that ran late looked at it.
func TestAWorkerWhoseEventWasReadWithItsHeadIsNotSilent(t *testing.T) {
	held := newHeldWorker(t)
	r, listed, client := newStreamRequest(t, held.address)
	go func() {
		connection := <-held.connection
		_, _ = io.WriteString(connection, streamHead+lateEvent)
		held.connection <- connection
	}()
	attempt, err := r.sendTo(t.Context(), listed, "")
	require.NoError(t, err)
	connection := <-held.connection
	defer connection.Close()
	decided := make(chan struct{})
	go func() {
		attempt.watchdog.expire()
		close(decided)
	}()
	time.Sleep(2 * unreadRecheckInterval)
	require.NoError(t, connection.Close())

	require.NoError(t, (&stream{request: r}).forwardEvents(t.Context(), attempt))
	<-decided
	require.Equal(t, lateEvent, client.Body.String())
}

// At its request's deadline a stream without an event was refused with 502 or 504, by which of two ends its reader saw first.
func TestAStreamWithoutAnEventIsRefusedWithATimeoutAtItsDeadline(t *testing.T) {
	held := newHeldWorker(t)
	r, listed, _ := newStreamRequest(t, held.address)
	go func() {
		connection := <-held.connection
		_, _ = io.WriteString(connection, streamHead)
		held.connection <- connection
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	attempt, err := r.sendTo(ctx, listed, "")
	require.NoError(t, err)
	connection := <-held.connection
	defer connection.Close()

	err = (&stream{request: r}).forwardEvents(ctx, attempt)
	require.Equal(t, http.StatusGatewayTimeout, statusOf(err), "%v", err)
}

// slowHeaderCodec reads a response's header as slowly as a process that runs late.
type slowHeaderCodec struct {
	noopHeaderCodec
	duration time.Duration
}

func (c slowHeaderCodec) ReadResponse(status int, header http.Header) worker.ResponseMetadata {
	time.Sleep(c.duration)
	return c.noopHeaderCodec.ReadResponse(status, header)
}

// A worker that had begun its response in time was counted as late, and ejected, by a process that was late itself.
func TestAWorkerIsNotLateWhileItsResponseWaitsForThisProcess(t *testing.T) {
	held := newHeldWorker(t)
	r, listed, _ := newStreamRequest(t, held.address)
	r.route = &route.Route{Kind: route.Safe, TargetLatency: 250 * time.Millisecond}
	r.gateway.options.HeaderCodec = slowHeaderCodec{duration: 2 * r.responseStartTimeout()}
	go func() {
		connection := <-held.connection
		_, _ = io.WriteString(connection, streamHead)
		held.connection <- connection
	}()
	attempt, err := r.sendTo(t.Context(), listed, "")
	require.NoError(t, err)
	defer attempt.close()
	defer (<-held.connection).Close()

	require.False(t, r.gateway.balancer.RecordLateStart(listed.ID), "the first late start ejects no worker")
}
