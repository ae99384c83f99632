package worker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	openedBuffer = 192 << 10
	smallBuffer  = 64 << 10
)

// kernelReceiveBuffer returns the receive buffer that the kernel has for a connection.
func kernelReceiveBuffer(t *testing.T, connection net.Conn) (bytes int) {
	t.Helper()
	raw, err := connection.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		bytes, err = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	require.NoError(t, err)
	return bytes / transport.KernelBytesPerBufferByte
}

// exchangeWithBuffer sends a request with a receive buffer, reads its response and returns it.
func exchangeWithBuffer(t *testing.T, pool *Pool, address string, receiveBuffer int) *Response {
	t.Helper()
	id := newID()
	request := &Request{
		ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id), ReceiveBuffer: receiveBuffer,
	}
	response, err := pool.Send(t.Context(), address, 0, request, readMetadata)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response
}

// serveRequests answers each request of a connection.
func serveRequests(connection net.Conn, reader *bufio.Reader) {
	for {
		body, err := readRequest(reader)
		if err != nil {
			return
		}
		io.WriteString(connection, encodeResponse(body, "ok", ""))
	}
}

// A connection that one request had made large must not stay so, uncounted, for the next.
func TestEachRequestSetsTheReceiveBufferOfItsConnection(t *testing.T) {
	address := transporttest.ServeConnections(t, serveRequests)
	pool := NewPoolWithOptions(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second, ReceiveBuffer: openedBuffer})
	var used *connection
	for _, each := range []struct{ asked, want int }{
		{asked: 0, want: openedBuffer}, {asked: smallBuffer, want: smallBuffer}, {asked: openedBuffer, want: openedBuffer},
		{asked: smallBuffer, want: smallBuffer}, {asked: 0, want: smallBuffer},
	} {
		response := exchangeWithBuffer(t, pool, address, each.asked)
		require.Equal(t, each.want, kernelReceiveBuffer(t, response.connection.Conn))
		require.EqualValues(t, len("ok"), response.Length)
		require.True(t, used == nil || used == response.connection, "the connection must be reused")
		used = response.connection
		response.Close()
	}
}

func TestResponseSetsTheReceiveBufferOfItsRest(t *testing.T) {
	address := transporttest.ServeConnections(t, serveRequests)
	pool := NewPoolWithOptions(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second, ReceiveBuffer: openedBuffer})
	response := exchangeWithBuffer(t, pool, address, smallBuffer)
	response.SetReceiveBuffer(openedBuffer)
	require.Equal(t, openedBuffer, kernelReceiveBuffer(t, response.connection.Conn))
	response.Close()
}

func TestPoolWithoutReceiveBufferLeavesItToTheKernel(t *testing.T) {
	address := transporttest.ServeConnections(t, serveRequests)
	pool := newPool()
	kernelsOwn := kernelReceiveBuffer(t, exchangeWithBuffer(t, pool, address, 0).connection.Conn)
	require.Equal(t, kernelsOwn, kernelReceiveBuffer(t, exchangeWithBuffer(t, pool, address, smallBuffer).connection.Conn))
}

// The response to a HEAD request declares the length of a body that does not follow.
func TestResponseLengthIsThatOfTheBodyThatFollows(t *testing.T) {
	require.EqualValues(t, 0, bodyLength(&http.Response{ContentLength: 100, Body: http.NoBody}))
	require.EqualValues(t, -1, bodyLength(&http.Response{ContentLength: -1, Body: io.NopCloser(nil)}))
	require.EqualValues(t, 100, bodyLength(&http.Response{ContentLength: 100, Body: io.NopCloser(nil)}))
}
