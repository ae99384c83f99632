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
	// silence is how long an answer may take to begin in these tests, and silentWait how
	// long a request waits for it.
	silence    = 50 * time.Millisecond
	silentWait = 400 * time.Millisecond
)

// sendWatched sends a request whose silence is watched.
func sendWatched(t *testing.T, pool *Pool, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), silentWait)
	t.Cleanup(cancel)
	request := &Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(id), SilenceTimeout: silence}
	return pool.Send(ctx, address, 0, request, readHead)
}

// keepConnections opens so many connections through a proxy and lets them rest.
func keepConnections(t *testing.T, pool *Pool, count int) *transporttest.Proxy {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			body, err := readRequest(reader)
			if err != nil {
				return
			}
			io.WriteString(connection, answer(body, "ok", ""))
		}
	})
	proxy, err := transporttest.NewProxy(address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	var answers []*Response
	for range count {
		answered, err := sendWatched(t, pool, proxy.Address(), "warm")
		require.NoError(t, err)
		answers = append(answers, answered)
	}
	for _, each := range answers {
		_, err := io.Copy(io.Discard, each.Body)
		require.NoError(t, err)
		each.Close()
	}
	require.Equal(t, count, proxy.Open())
	return proxy
}

// TestSilentConnectionsLoseOnlyOneRequest silences all kept connections to a worker.
// The first request may have run and is lost; the next one goes over a new connection.
func TestSilentConnectionsLoseOnlyOneRequest(t *testing.T) {
	pool := newPool()
	proxy := keepConnections(t, pool, 4)
	proxy.Silence()
	_, err := sendWatched(t, pool, proxy.Address(), "silent")
	var lost *ResponseLost
	require.ErrorAs(t, err, &lost, "no promise that it has not run")
	answered, err := sendWatched(t, pool, proxy.Address(), "next")
	require.NoError(t, err, "another silent connection was used")
	answered.Close()
}

// TestRecentResponseKeepsIdleConnections: a request that takes long says nothing
// of the worker's other connections where one of them has answered meanwhile.
func TestRecentResponseKeepsIdleConnections(t *testing.T) {
	pool := newPool()
	proxy := keepConnections(t, pool, 3)
	sent := time.Now()
	answered, err := sendWatched(t, pool, proxy.Address(), "meanwhile")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answered.Body)
	require.NoError(t, err)
	answered.Close()
	pool.suspect(proxy.Address(), sent)
	require.True(t, pool.HasIdleConnection(proxy.Address()))
	pool.suspect(proxy.Address(), time.Now())
	require.False(t, pool.HasIdleConnection(proxy.Address()))
}
