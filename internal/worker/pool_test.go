package worker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const echoedHeader = "Echo-Id"

var lastID atomic.Int32

// newID returns the ID of another request. A connection carries an ID once.
func newID() string { return fmt.Sprint("r", lastID.Add(1)) }

func readMetadata(_ int, header http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: header.Get(echoedHeader), NotRun: header.Get("Not-Run") != ""}
}

func send(pool *Pool, address, id string, body string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	_ = cancel
	request := &Request{ID: id, Method: http.MethodPost, Target: "/path?q=1", Host: "h", Header: http.Header{}, Body: []byte(body)}
	return pool.Send(ctx, address, 0, request, readMetadata)
}

func newPool() *Pool { return NewPool(&net.Dialer{Timeout: time.Second}) }

func encodeResponse(id, body, headers string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", echoedHeader, id, headers, len(body), body)
}

func readRequest(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return string(body), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	var opened atomic.Int32
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		response, err := send(pool, address, id, id)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		response.Close()
	}
	require.Equal(t, int32(1), opened.Load())
}

func TestConnectionWithStaleBytesIsNotReused(t *testing.T) {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", "")+encodeResponse("late", "surplus", ""))
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		response, err := send(pool, address, id, id)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		response.Close()
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		body, _ := readRequest(reader)
		complete := encodeResponse(body, "a complete response", "")
		io.WriteString(connection, complete[:len(complete)-3])
	})
	response, err := send(newPool(), address, "r", "r")
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	response.Close()
}

func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	var opened atomic.Int32
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		number := opened.Add(1)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, encodeResponse(fmt.Sprint("r", number), "early", "Not-Run: 1\r\n"))
		time.Sleep(200 * time.Millisecond)
	})
	pool := newPool()
	for number := range 2 {
		response, err := send(pool, address, fmt.Sprint("r", number+1), strings.Repeat("x", 8<<20))
		require.NoError(t, err)
		require.True(t, response.NotRun)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Close()
	}
	require.Equal(t, int32(2), opened.Load(), "the connection with the unread body must not be reused")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, err = send(newPool(), address, "r", "r")
	var notSent *NotSent
	require.ErrorAs(t, err, &notSent)
}

func TestClosedConnectionIsLostAndNotRetried(t *testing.T) {
	var requests atomic.Int32
	address := transporttest.ServeConnections(t, func(_ net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			requests.Add(1)
		}
	})
	_, err := send(newPool(), address, "r", "r")
	var lost *ResponseLost
	require.ErrorAs(t, err, &lost)
	require.Equal(t, int32(1), requests.Load())
}

func TestConnectionLimit(t *testing.T) {
	address := transporttest.ServeConnections(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte(); time.Sleep(time.Second) })
	pool := newPool()
	first, err := pool.acquire(context.Background(), address, "", "r", 1)
	require.NoError(t, err)
	_, err = pool.acquire(context.Background(), address, "", "r", 1)
	var full *TooManyConnections
	require.ErrorAs(t, err, &full)
	pool.discard(first)
	_, err = pool.acquire(context.Background(), address, "", "r", 1)
	require.NoError(t, err)
}

func TestIdleLifetimeEndsBeforeKeepAliveTimeout(t *testing.T) {
	require.Equal(t, 5*time.Second-idleMargin, idleLifetime(http.Header{"Keep-Alive": {"max=9, timeout=5"}}))
	require.Equal(t, defaultIdleLifetime, idleLifetime(http.Header{}))
	require.Zero(t, idleLifetime(http.Header{"Keep-Alive": {"timeout=0"}}))
}

func BenchmarkSend(b *testing.B) {
	address := transporttest.ServeConnections(b, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	pool := newPool()
	for b.Loop() {
		id := newID()
		response, err := send(pool, address, id, id)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Close()
	}
}

// After two requests without a response, a new connection must be opened, which shows whether the
// worker is reachable. Otherwise requests would be lost on one dead connection after another.
func TestConsecutiveLossesCloseIdleConnections(t *testing.T) {
	const connections = 5
	var opened atomic.Int32
	var closing atomic.Bool
	arrived := make(chan struct{}, connections)
	release := make(chan struct{})
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			body, err := readRequest(reader)
			if err != nil || closing.Load() {
				return
			}
			arrived <- struct{}{}
			<-release
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	pool := newPool()
	done := make(chan error, connections)
	for i := range connections {
		go func() {
			response, err := send(pool, address, fmt.Sprint(i), fmt.Sprint(i))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Close()
			}
			done <- err
		}()
	}
	for range connections {
		<-arrived
	}
	close(release)
	for range connections {
		require.NoError(t, <-done)
	}
	require.EqualValues(t, connections, opened.Load())
	closing.Store(true)
	for range maxConsecutiveLosses {
		_, err := send(pool, address, "lost", "lost")
		var lost *ResponseLost
		require.ErrorAs(t, err, &lost)
	}
	require.EqualValues(t, connections, opened.Load())
	_, err := send(pool, address, "lost", "lost")
	require.Error(t, err)
	require.EqualValues(t, connections+1, opened.Load(), "the idle connections must not be used any more")
}

// The connection must be kept, and BeforeSend must be called for each request, also on reused
// connections.
func TestNothingIsSentIfBeforeSendFails(t *testing.T) {
	var opened, received atomic.Int32
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			received.Add(1)
			io.WriteString(connection, encodeResponse(id, "body", ""))
		}
	})
	pool := newPool()
	calls := 0
	sendWith := func(beforeSendErr error) error {
		id := newID()
		request := &Request{
			ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id),
			BeforeSend: func(context.Context) error { calls++; return beforeSendErr },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		response, err := pool.Send(ctx, address, 1, request, readMetadata)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Close()
		}
		return err
	}
	var notSent *NotSent
	require.ErrorAs(t, sendWith(io.ErrNoProgress), &notSent)
	require.ErrorIs(t, notSent, io.ErrNoProgress)
	require.Zero(t, received.Load())
	require.NoError(t, sendWith(nil))
	require.ErrorAs(t, sendWith(io.ErrNoProgress), &notSent)
	require.NoError(t, sendWith(nil))
	require.EqualValues(t, 2, received.Load())
	require.EqualValues(t, 1, opened.Load(), "an unused connection must be kept")
	require.Equal(t, 4, calls)
}

func TestConnectionToPreviousIncarnationIsNotUsed(t *testing.T) {
	address := transporttest.ServeConnections(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
	pool := newPool()
	previous, err := pool.acquire(t.Context(), address, "a@1", "r", 1)
	require.NoError(t, err)
	pool.returnUnused(previous)
	again, err := pool.acquire(t.Context(), address, "a@1", "r", 1)
	require.NoError(t, err)
	require.Same(t, previous, again)
	pool.returnUnused(again)
	current, err := pool.acquire(t.Context(), address, "a@2", "r", 1)
	require.NoError(t, err, "the previous connection must be closed and not count toward the limit")
	require.NotSame(t, previous, current)
	_, err = previous.Write([]byte("x"))
	require.Error(t, err)
}
