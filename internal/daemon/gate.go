package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/peer"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// gate holds messages back while it is closed.
type gate struct {
	mutex  sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// wait returns once the gate is open.
func (g *gate) wait() {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	<-opened
}

// conn is a connection whose bytes pass the gate.
type conn struct {
	net.Conn
	gate *gate
}

func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.gate.wait()
	return count, err
}

func (c *conn) Write(buffer []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(buffer)
}

// gatedDialer opens connections that pass the gate and whose responses are checked.
func gatedDialer(g *gate, dial peer.Dialer) peer.Dialer {
	const dialTimeout = 2 * time.Second
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: transport.CheckResponses(opened), gate: g}, nil
	}
}

// gatedListener accepts connections that pass the gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, gate: l.gate}, nil
}

// newPlatformClient returns the HTTP client for the platform.
func newPlatformClient(g *gate, dial peer.Dialer) *http.Client {
	const (
		idlePerHost = 256
		idleTimeout = 30 * time.Second
	)
	return &http.Client{Transport: &http.Transport{
		DialContext:         gatedDialer(g, dial),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}}
}

// newCallClient returns the HTTP client for engines and tools. Each call has a connection of its own: the answers do
// not name their call, so that a second copy of one that comes late would be taken for the answer to the next call
// on a kept connection.
func newCallClient(g *gate, dial peer.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: gatedDialer(g, dial), DisableKeepAlives: true, MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}}
}
