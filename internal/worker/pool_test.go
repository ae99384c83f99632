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
)

// serve starts a listener whose connections are handled by a function.
func serve(t testing.TB, handle func(net.Conn, *bufio.Reader)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handle(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

const echoedHeader = "Echo-Id"

func readHead(_ int, header http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: header.Get(echoedHeader), NotRun: header.Get("Not-Run") != ""}
}

func send(pool *Pool, address, id string, body string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	_ = cancel
	request := &Request{ID: id, Method: http.MethodPost, Target: "/path?q=1", Host: "h", Header: http.Header{}, Body: []byte(body)}
	return pool.Send(ctx, address, 0, request, readHead)
}

func newPool() *Pool { return NewPool(&net.Dialer{Timeout: time.Second}) }

func answer(id, body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", echoedHeader, id, more, len(body), body)
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
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, answer(body, "ok", ""))
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		got, err := send(pool, address, id, id)
		require.NoError(t, err)
		body, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		got.Close()
	}
	require.Equal(t, int32(1), opened.Load())
}

func TestConnectionWithStaleBytesIsNotReused(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, answer(body, "ok", "")+answer("late", "surplus", ""))
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		got, err := send(pool, address, id, id)
		require.NoError(t, err)
		body, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		got.Close()
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		body, _ := readRequest(reader)
		whole := answer(body, "a whole answer", "")
		io.WriteString(connection, whole[:len(whole)-3])
	})
	got, err := send(newPool(), address, "r", "r")
	require.NoError(t, err)
	_, err = io.ReadAll(got.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	got.Close()
}

func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	var opened atomic.Int32
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, answer("r", "early", "Not-Run: 1\r\n"))
		time.Sleep(200 * time.Millisecond)
	})
	pool := newPool()
	for range 2 {
		got, err := send(pool, address, "r", strings.Repeat("x", 8<<20))
		require.NoError(t, err)
		require.True(t, got.NotRun)
		_, err = io.ReadAll(got.Body)
		require.NoError(t, err)
		got.Close()
	}
	require.Equal(t, int32(2), opened.Load(), "the rest of the body must not meet another request")
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
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
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
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte(); time.Sleep(time.Second) })
	pool := newPool()
	first, err := pool.get(context.Background(), address, "", 1)
	require.NoError(t, err)
	_, err = pool.get(context.Background(), address, "", 1)
	var full *TooManyConnections
	require.ErrorAs(t, err, &full)
	pool.discard(first)
	_, err = pool.get(context.Background(), address, "", 1)
	require.NoError(t, err)
}

func TestIdleLifetimeEndsBeforeKeepAliveTimeout(t *testing.T) {
	require.Equal(t, 5*time.Second-idleMargin, keepFor(http.Header{"Keep-Alive": {"max=9, timeout=5"}}))
	require.Equal(t, idleLimit, keepFor(http.Header{}))
	require.Zero(t, keepFor(http.Header{"Keep-Alive": {"timeout=0"}}))
}

func BenchmarkSend(b *testing.B) {
	address := serve(b, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, answer(body, "ok", ""))
		}
	})
	pool := newPool()
	for b.Loop() {
		got, err := send(pool, address, "r", "r")
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, got.Body)
		got.Close()
	}
}

// TestConsecutiveLossesCloseIdleConnections holds that after two requests
// without an answer a new connection is opened, which shows whether the worker is
// there, instead of trying one dead connection after another.
func TestConsecutiveLossesCloseIdleConnections(t *testing.T) {
	const connections = 5
	var opened atomic.Int32
	var dead atomic.Bool
	together := make(chan struct{}, connections)
	release := make(chan struct{})
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			body, err := readRequest(reader)
			if err != nil || dead.Load() {
				return
			}
			together <- struct{}{}
			<-release
			io.WriteString(connection, answer(body, "ok", ""))
		}
	})
	pool := newPool()
	done := make(chan error, connections)
	for i := range connections {
		go func() {
			got, err := send(pool, address, fmt.Sprint(i), fmt.Sprint(i))
			if err == nil {
				_, err = io.ReadAll(got.Body)
				got.Close()
			}
			done <- err
		}()
	}
	for range connections {
		<-together
	}
	close(release)
	for range connections {
		require.NoError(t, <-done)
	}
	require.EqualValues(t, connections, opened.Load())
	dead.Store(true)
	for range maxLostInRow {
		_, err := send(pool, address, "lost", "lost")
		var lost *ResponseLost
		require.ErrorAs(t, err, &lost)
	}
	require.EqualValues(t, connections, opened.Load())
	_, err := send(pool, address, "lost", "lost")
	require.Error(t, err)
	require.EqualValues(t, connections+1, opened.Load(), "the idle ones are not tried any more")
}

// TestNothingIsSentIfBeforeSendFails holds that the connection is kept, and that the
// caller is asked again for each request, on a kept connection too.
func TestNothingIsSentIfBeforeSendFails(t *testing.T) {
	var opened, got atomic.Int32
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			got.Add(1)
			io.WriteString(connection, answer(id, "body", ""))
		}
	})
	pool := newPool()
	asked := 0
	try := func(failed error) error {
		request := &Request{
			ID: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("r"),
			BeforeSend: func(context.Context) error { asked++; return failed },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		answer, err := pool.Send(ctx, address, 1, request, readHead)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Close()
		}
		return err
	}
	var notSent *NotSent
	require.ErrorAs(t, try(io.ErrNoProgress), &notSent)
	require.ErrorIs(t, notSent, io.ErrNoProgress)
	require.Zero(t, got.Load())
	require.NoError(t, try(nil))
	require.ErrorAs(t, try(io.ErrNoProgress), &notSent)
	require.NoError(t, try(nil))
	require.EqualValues(t, 2, got.Load())
	require.EqualValues(t, 1, opened.Load(), "a connection that was not used is kept")
	require.Equal(t, 4, asked)
}

func TestConnectionToPreviousIncarnationIsNotUsed(t *testing.T) {
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
	pool := newPool()
	former, err := pool.get(t.Context(), address, "a@1", 1)
	require.NoError(t, err)
	pool.putBack(former)
	again, err := pool.get(t.Context(), address, "a@1", 1)
	require.NoError(t, err)
	require.Same(t, former, again)
	pool.putBack(again)
	present, err := pool.get(t.Context(), address, "a@2", 1)
	require.NoError(t, err, "the former connection is closed and does not count")
	require.NotSame(t, former, present)
	_, err = former.Write([]byte("x"))
	require.Error(t, err)
}
