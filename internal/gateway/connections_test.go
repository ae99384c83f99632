package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
)

// TestOverdueConnectionsAreClosed moves a clock over connections that
// rest, bring a head and are served, under limits that change meanwhile.
func TestOverdueConnectionsAreClosed(t *testing.T) {
	now := time.Unix(100, 0)
	tracked := newConnections(func() time.Time { return now })
	resting, bringing, serving := &net.TCPConn{}, &net.TCPConn{}, &net.TCPConn{}
	tracked.changed(resting, http.StateNew)
	tracked.changed(bringing, http.StateActive)
	tracked.changed(serving, http.StateActive)
	incoming, err := http.NewRequest(http.MethodGet, "http://desk.example/", nil)
	require.NoError(t, err)
	tracked.served(incoming.WithContext(tracked.remember(t.Context(), serving)))

	limits := route.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 90 * time.Second}
	now = now.Add(3 * time.Second)
	rested, slow := tracked.overdue(limits)
	require.Empty(t, rested)
	require.Empty(t, slow)
	now = now.Add(time.Second)
	rested, slow = tracked.overdue(limits)
	require.Empty(t, rested)
	require.Equal(t, []net.Conn{bringing}, slow)
	now = now.Add(80 * time.Second)
	rested, _ = tracked.overdue(limits)
	require.Empty(t, rested, "a connection may rest for as long as the configuration says")
	limits.IdleTimeout = 60 * time.Second
	rested, slow = tracked.overdue(limits)
	require.Equal(t, []net.Conn{resting}, rested)
	require.Empty(t, slow, "a request that is served is not cut off")
	require.False(t, tracked.served(incoming.WithContext(tracked.remember(t.Context(), resting))),
		"a request that crosses the close goes no further")
	tracked.changed(resting, http.StateClosed)
	tracked.changed(bringing, http.StateClosed)
	require.Empty(t, tracked.closing)
	tracked.changed(serving, http.StateClosed)
	require.Empty(t, tracked.states)
}

func TestHeaderSizeMatchesWire(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "http://h/", nil)
	require.NoError(t, err)
	request.RequestURI, request.Host = "/", "h"
	request.Header.Set("A", "b")
	require.Equal(t, len("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n"), headBytes(request))
}
