package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// TestOverdueConnectionsAreClosed advances a clock over an idle, a reading and a busy
// connection while the timeouts change.
func TestOverdueConnectionsAreClosed(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := newConnectionTracker(func() time.Time { return now })
	idleConnection, readingConnection, busyConnection := &net.TCPConn{}, &net.TCPConn{}, &net.TCPConn{}
	tracker.stateChanged(idleConnection, http.StateNew)
	tracker.stateChanged(readingConnection, http.StateActive)
	tracker.stateChanged(busyConnection, http.StateActive)
	incoming, err := http.NewRequest(http.MethodGet, "http://desk.example/", nil)
	require.NoError(t, err)
	tracker.beginRequest(incoming.WithContext(tracker.withConnection(t.Context(), busyConnection)))

	limits := route.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 90 * time.Second}
	now = now.Add(3 * time.Second)
	idle, slow := tracker.takeOverdue(limits)
	require.Empty(t, idle)
	require.Empty(t, slow)
	now = now.Add(time.Second)
	idle, slow = tracker.takeOverdue(limits)
	require.Empty(t, idle)
	require.Equal(t, []net.Conn{readingConnection}, slow)
	now = now.Add(80 * time.Second)
	idle, _ = tracker.takeOverdue(limits)
	require.Empty(t, idle, "a connection may be idle for the configured timeout")
	limits.IdleTimeout = 60 * time.Second
	idle, slow = tracker.takeOverdue(limits)
	require.Equal(t, []net.Conn{idleConnection}, idle)
	require.Empty(t, slow, "a busy connection is not closed")
	require.False(t, tracker.beginRequest(incoming.WithContext(tracker.withConnection(t.Context(), idleConnection))),
		"a request on a closing connection is not forwarded")
	tracker.stateChanged(idleConnection, http.StateClosed)
	tracker.stateChanged(readingConnection, http.StateClosed)
	require.Empty(t, tracker.closing)
	tracker.stateChanged(busyConnection, http.StateClosed)
	require.Empty(t, tracker.states)
}

// A request that lay unread while this process was stopped was lost with its connection, closed as idle.
func TestAConnectionWithAnUnreadRequestIsNotOverdue(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	connection, err := listener.Accept()
	require.NoError(t, err)
	defer connection.Close()
	now := time.Unix(100, 0)
	tracker := newConnectionTracker(func() time.Time { return now })
	tracker.stateChanged(connection, http.StateNew)
	now = now.Add(time.Minute)
	_, err = client.Write([]byte("G"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return transport.HasUnread(connection) }, time.Minute, time.Millisecond)

	limits := route.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second}
	idle, slow := tracker.takeOverdue(limits)
	require.Empty(t, idle)
	require.Empty(t, slow)
	_, err = connection.Read(make([]byte, 1))
	require.NoError(t, err)
	idle, _ = tracker.takeOverdue(limits)
	require.Equal(t, []net.Conn{connection}, idle)
}

func TestHeaderSizeMatchesWire(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "http://h/", nil)
	require.NoError(t, err)
	request.RequestURI, request.Host = "/", "h"
	request.Header.Set("A", "b")
	require.Equal(t, len("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n"), headerSize(request))
}
