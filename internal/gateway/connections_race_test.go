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

// heldConnection is a connection whose Close waits for the test.
type heldConnection struct {
	net.Conn
	// closes gets a value for each Close that begins; release ends their wait.
	closes  chan struct{}
	release chan struct{}
}

func (c *heldConnection) Close() error {
	c.closes <- struct{}{}
	<-c.release
	return c.Conn.Close()
}

// holdingListener wraps what it accepts.
type holdingListener struct {
	net.Listener
	closes  chan struct{}
	release chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConnection{Conn: accepted, closes: l.closes, release: l.release}, nil
}

// crossing is a server whose connections are closed when the test says so, and one client.
type crossing struct {
	t           *testing.T
	connections *connections
	server      *http.Server
	closes      chan struct{}
	release     chan struct{}
	// passedOn counts the requests that go on to a worker.
	passedOn atomic.Int64
	client   net.Conn
}

func newCrossing(t *testing.T, now func() time.Time) *crossing {
	c := &crossing{t: t, connections: newConnections(now), closes: make(chan struct{}, 8), release: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c.server = &http.Server{
		ConnState: c.connections.changed, ConnContext: c.connections.remember,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if !c.connections.served(request) {
				panic(http.ErrAbortHandler)
			}
			c.passedOn.Add(1)
		}),
	}
	go c.server.Serve(&holdingListener{Listener: listener, closes: c.closes, release: c.release})
	t.Cleanup(func() { c.server.Close() })
	t.Cleanup(sync.OnceFunc(func() { close(c.release) }))
	c.client, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.client.Close() })
	return c
}

func (c *crossing) send() {
	_, err := fmt.Fprint(c.client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(c.t, err)
}

// serveOne has the connection bring a request and rest.
func (c *crossing) serveOne() {
	c.send()
	response, err := http.ReadResponse(bufio.NewReader(c.client), nil)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	require.EqualValues(c.t, 1, c.passedOn.Swap(0))
	require.Eventually(c.t, c.resting, 10*time.Second, time.Millisecond)
}

func (c *crossing) resting() bool {
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	for _, state := range c.connections.states {
		return state.phase == idle
	}
	return false
}

// TestRequestOnClosingConnectionIsNotForwarded sends a request after a connection
// was chosen to be closed and before it is.
//
// Callers saw a connection end without an answer though a worker had begun their request, 1.6 s after
// SIGTERM: "sent 28.340, reaches the worker 28.352, its run ends: 0 cut, closed with no answer 28.355". Two
// places close connections that rest: the sweep of those past their limit, and the library's Shutdown at a
// planned stop. With the close held, a request was passed on after the sweep had chosen its connection
// in 20 of 20 runs until the sweep marked what it chooses; the library passes on nothing that comes after
// its choice, in 20 of 20 runs. That the sweep was what callers saw is not shown: the connections that
// they use rest for less than its limit.
func TestRequestOnClosingConnectionIsNotForwarded(t *testing.T) {
	closings := map[string]func(t *testing.T) *crossing{
		"sweep": func(t *testing.T) *crossing {
			var past atomic.Int64
			c := newCrossing(t, func() time.Time { return time.Now().Add(time.Duration(past.Load())) })
			c.serveOne()
			past.Store(int64(time.Hour))
			rested, _ := c.connections.overdue(route.Limits{IdleTimeout: time.Minute})
			require.Len(t, rested, 1)
			go rested[0].Close()
			return c
		},
		"planned stop": func(t *testing.T) *crossing {
			c := newCrossing(t, time.Now)
			c.serveOne()
			go c.server.Shutdown(context.Background())
			return c
		},
		"planned stop, nothing sent yet": func(t *testing.T) *crossing {
			c := newCrossing(t, time.Now)
			require.Eventually(t, c.resting, 10*time.Second, time.Millisecond)
			go c.server.Shutdown(context.Background())
			return c
		},
	}
	for name, begin := range closings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := begin(t)
			select {
			case <-c.closes:
			case <-time.After(30 * time.Second):
				require.Fail(t, "the connection is not closed")
			}
			c.send()
			// The request is either passed on, or dropped with its connection, which is closed a second time.
			require.Eventually(t, func() bool { return len(c.closes) > 0 || c.passedOn.Load() > 0 }, 10*time.Second, time.Millisecond)
			require.Zero(t, c.passedOn.Load(), "its answer would have no way back")
		})
	}
}

// brokenDialect panics on every request.
type brokenDialect struct{ HeaderCodec }

func (brokenDialect) ReadRequest(http.Header) RequestMetadata { panic("broken") }

// TestPanicAbortsOnlyItsConnection holds that a panic is told and stays its request's own:
// the client sees its connection close, and the gateway goes on.
func TestPanicAbortsOnlyItsConnection(t *testing.T) {
	g := New(Options{Node: "gateway-0", HeaderCodec: brokenDialect{}}, nil)
	request := httptest.NewRequest(http.MethodGet, "/a", nil)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { g.ServeHTTP(httptest.NewRecorder(), request) })
	require.Zero(t, g.inFlight.Load())
}
