package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout hold where the configuration
	// names none.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 40 * time.Second
	// longestTimeout is the library's own bound, which cannot change while the
	// server runs.
	longestTimeout = 10 * time.Minute
	// sweepConnectionsEvery is how late a connection may be closed.
	sweepConnectionsEvery = 250 * time.Millisecond
)

var eventClosed = event.Define(2819, event.Info, "client connections closed past their limits", "")

// phase is what a client's connection does.
type phase int

const (
	// idle connections wait for a request.
	idle phase = iota
	// reading connections have begun to bring a request's head.
	reading
	// busy connections have a request that is served.
	busy
)

type connectionState struct {
	phase phase
	since time.Time
}

// connections closes clients' connections that rest, or bring a head, for longer
// than the configuration in force allows.
type connections struct {
	now func() time.Time

	mutex  sync.Mutex
	states map[net.Conn]connectionState
	// closing are those that were found past their limits and are not closed yet.
	closing map[net.Conn]bool
}

func newConnections(now func() time.Time) *connections {
	return &connections{now: now, states: make(map[net.Conn]connectionState), closing: make(map[net.Conn]bool)}
}

type connectionKey struct{}

// remember puts the connection into the context of its requests.
func (c *connections) remember(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// changed takes the library's word of what a connection does.
func (c *connections) changed(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.set(connection, idle)
	case http.StateActive:
		c.set(connection, reading)
	case http.StateClosed, http.StateHijacked:
		c.mutex.Lock()
		delete(c.states, connection)
		delete(c.closing, connection)
		c.mutex.Unlock()
	}
}

// served notes that a request's head is whole. It returns false where the connection is
// being closed because it has rested for too long: a request that crosses that close must
// go no further.
func (c *connections) served(request *http.Request) bool {
	connection, found := request.Context().Value(connectionKey{}).(net.Conn)
	if !found {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing[connection] {
		return false
	}
	c.states[connection] = connectionState{phase: busy, since: c.now()}
	return true
}

func (c *connections) set(connection net.Conn, next phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closing[connection] {
		c.states[connection] = connectionState{phase: next, since: c.now()}
	}
}

// overdue removes and returns the connections that are past their limits.
func (c *connections) overdue(limits route.Limits) (rested, slow []net.Conn) {
	idleLimit, headerLimit := limits.IdleTimeout, limits.HeaderTimeout
	if idleLimit <= 0 {
		idleLimit = defaultIdleTimeout
	}
	if headerLimit <= 0 {
		headerLimit = defaultHeaderTimeout
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	for connection, state := range c.states {
		age := now.Sub(state.since)
		switch {
		case state.phase == idle && age > idleLimit:
			rested = append(rested, connection)
		case state.phase == reading && age > headerLimit:
			slow = append(slow, connection)
		default:
			continue
		}
		delete(c.states, connection)
		c.closing[connection] = true
	}
	return rested, slow
}

// sweepConnections closes connections that are past their limits.
func (g *Gateway) sweepConnections() {
	var limits route.Limits
	if table := g.directory.View().Table; table != nil {
		limits = table.Limits()
	}
	rested, slow := g.connections.overdue(limits)
	for _, each := range append(rested, slow...) {
		each.Close()
	}
	if len(slow) > 0 {
		eventClosed.Log("rested", len(rested), "slow_heads", len(slow))
	}
}

// headBytes returns about how long a request's head was on the wire.
func headBytes(request *http.Request) int {
	const lineEnd, separator = 2, 2
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + 2 + lineEnd
	size += len("Host") + separator + len(request.Host) + lineEnd
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size + lineEnd
}
