package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
)

// blockingConnection is a connection whose Close blocks until release is closed.
type blockingConnection struct {
	net.Conn
	// closes receives a value for each call of Close; closing release unblocks them.
	closes  chan struct{}
	release chan struct{}
}

func (c *blockingConnection) Close() error {
	c.closes <- struct{}{}
	<-c.release
	return c.Conn.Close()
}

// blockingListener returns blocking connections.
type blockingListener struct {
	net.Listener
	closes  chan struct{}
	release chan struct{}
}

func (l *blockingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockingConnection{Conn: accepted, closes: l.closes, release: l.release}, nil
}

// closeRace is a server whose connections are closed under the control of the test, and one
// client.
type closeRace struct {
	t           *testing.T
	connections *connectionTracker
	server      *http.Server
	closes      chan struct{}
	release     chan struct{}
	// forwarded counts the requests that would be forwarded to a worker.
	forwarded atomic.Int64
	client    net.Conn
}

func newCloseRace(t *testing.T, now func() time.Time) *closeRace {
	c := &closeRace{t: t, connections: newConnectionTracker(now), closes: make(chan struct{}, 8), release: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c.server = &http.Server{
		ConnState: c.connections.stateChanged, ConnContext: c.connections.withConnection,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if !c.connections.beginRequest(request) {
				panic(http.ErrAbortHandler)
			}
			c.forwarded.Add(1)
		}),
	}
	go c.server.Serve(&blockingListener{Listener: listener, closes: c.closes, release: c.release})
	t.Cleanup(func() { c.server.Close() })
	t.Cleanup(sync.OnceFunc(func() { close(c.release) }))
	c.client, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.client.Close() })
	return c
}

func (c *closeRace) send() {
	_, err := fmt.Fprint(c.client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(c.t, err)
}

// completeRequest sends a request and waits until the connection is idle again.
func (c *closeRace) completeRequest() {
	c.send()
	response, err := http.ReadResponse(bufio.NewReader(c.client), nil)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	require.EqualValues(c.t, 1, c.forwarded.Swap(0))
	require.Eventually(c.t, c.isIdle, 10*time.Second, time.Millisecond)
}

func (c *closeRace) isIdle() bool {
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	for _, state := range c.connections.states {
		return state.phase == phaseIdle
	}
	return false
}

// TestRequestOnClosingConnectionIsNotForwarded sends a request after a connection was selected
// to be closed and before it is closed.
//
// The gateway must not forward such a request: a worker would run it while the client gets a
// closed connection instead of a response. Two code paths close idle connections: the sweep of
// overdue connections and http.Server.Shutdown during a graceful stop. The sweep must mark the
// connections that it selects, otherwise such requests are forwarded. Shutdown forwards nothing
// by itself. Clients have seen a connection close without a response, 1.6 s after SIGTERM, for
// a request that a worker had begun. Whether the sweep caused that is not proven, because those
// clients keep connections idle for less than its timeout.
func TestRequestOnClosingConnectionIsNotForwarded(t *testing.T) {
	starters := map[string]func(t *testing.T) *closeRace{
		"sweep": func(t *testing.T) *closeRace {
			var offset atomic.Int64
			c := newCloseRace(t, func() time.Time { return time.Now().Add(time.Duration(offset.Load())) })
			c.completeRequest()
			offset.Store(int64(time.Hour))
			idle, _ := c.connections.takeOverdue(route.Limits{IdleTimeout: time.Minute})
			require.Len(t, idle, 1)
			go idle[0].Close()
			return c
		},
		"graceful stop": func(t *testing.T) *closeRace {
			c := newCloseRace(t, time.Now)
			c.completeRequest()
			go c.server.Shutdown(context.Background())
			return c
		},
		"graceful stop before the first request": func(t *testing.T) *closeRace {
			c := newCloseRace(t, time.Now)
			require.Eventually(t, c.isIdle, 10*time.Second, time.Millisecond)
			go c.server.Shutdown(context.Background())
			return c
		},
	}
	for name, startClose := range starters {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startClose(t)
			select {
			case <-c.closes:
			case <-time.After(30 * time.Second):
				require.Fail(t, "the connection was not closed")
			}
			c.send()
			// The request is either forwarded, or dropped along with its connection, which is
			// closed a second time.
			require.Eventually(t, func() bool { return len(c.closes) > 0 || c.forwarded.Load() > 0 }, 10*time.Second, time.Millisecond)
			require.Zero(t, c.forwarded.Load(), "the response could not be delivered")
		})
	}
}

// panickingHeaderCodec panics on every request.
type panickingHeaderCodec struct{ HeaderCodec }

func (panickingHeaderCodec) ReadRequest(http.Header) RequestMetadata { panic("broken") }

// TestPanicAbortsOnlyItsConnection verifies that a panic is logged, closes the connection of
// its request and leaves the gateway running.
func TestPanicAbortsOnlyItsConnection(t *testing.T) {
	g := New(Options{Node: "gateway-0", HeaderCodec: panickingHeaderCodec{}}, nil)
	request := httptest.NewRequest(http.MethodGet, "/a", nil)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { g.ServeHTTP(httptest.NewRecorder(), request) })
	require.Zero(t, g.inFlight.Load())
}
