package worker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	// silenceTimeout is the SilenceTimeout of requests in these tests, silentRequestTimeout their
	// overall timeout.
	silenceTimeout       = 50 * time.Millisecond
	silentRequestTimeout = 400 * time.Millisecond
)

// sendWithSilenceTimeout sends a request with a SilenceTimeout.
func sendWithSilenceTimeout(t *testing.T, pool *Pool, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), silentRequestTimeout)
	t.Cleanup(cancel)
	request := &Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id), SilenceTimeout: silenceTimeout}
	return pool.Send(ctx, address, 0, request, readMetadata)
}

// openIdleConnections opens connections through a proxy and makes them idle.
func openIdleConnections(t *testing.T, pool *Pool, count int) *transporttest.Proxy {
	address := transporttest.ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, encodeResponse(body, "ok", ""))
		}
	})
	proxy, err := transporttest.NewProxy(address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	var responses []*Response
	for range count {
		response, err := sendWithSilenceTimeout(t, pool, proxy.Address(), "warm")
		require.NoError(t, err)
		responses = append(responses, response)
	}
	for _, each := range responses {
		_, err := io.Copy(io.Discard, each.Body)
		require.NoError(t, err)
		each.Close()
	}
	require.Equal(t, count, proxy.Open())
	return proxy
}

// When all idle connections to a worker go silent, the first request may have run and is
// lost. The next one must use a new connection.
func TestSilentConnectionsLoseOnlyOneRequest(t *testing.T) {
	pool := newPool()
	proxy := openIdleConnections(t, pool, 4)
	proxy.Silence()
	_, err := sendWithSilenceTimeout(t, pool, proxy.Address(), "silent")
	var lost *ResponseLost
	require.ErrorAs(t, err, &lost, "the worker may have run the request")
	response, err := sendWithSilenceTimeout(t, pool, proxy.Address(), "next")
	require.NoError(t, err, "a silent connection must not be used again")
	response.Close()
}

// A slow request says nothing about the worker's other connections if one of them has received a
// response in the meantime.
func TestRecentResponseKeepsIdleConnections(t *testing.T) {
	pool := newPool()
	proxy := openIdleConnections(t, pool, 3)
	sent := time.Now()
	response, err := sendWithSilenceTimeout(t, pool, proxy.Address(), "meanwhile")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	response.Close()
	pool.closeIdleIfSilent(proxy.Address(), sent)
	require.True(t, pool.HasIdleConnection(proxy.Address()))
	pool.closeIdleIfSilent(proxy.Address(), time.Now())
	require.False(t, pool.HasIdleConnection(proxy.Address()))
}
