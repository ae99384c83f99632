package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets none.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 40 * time.Second
	// serverTimeout is the timeout set on http.Server, which cannot change while the server
	// runs. connectionTracker enforces the shorter configured timeouts.
	serverTimeout = 10 * time.Minute
	// connectionSweepInterval bounds how late an overdue connection is closed.
	connectionSweepInterval = 250 * time.Millisecond
)

var eventConnectionsClosed = event.Define(2819, event.Info, "client connections closed after a timeout", "")

// connectionPhase is the phase of a client connection.
type connectionPhase int

const (
	// phaseIdle connections wait for a request.
	phaseIdle connectionPhase = iota
	// phaseReading connections have begun to receive request headers.
	phaseReading
	// phaseBusy connections serve a request.
	phaseBusy
)

type connectionState struct {
	phase connectionPhase
	since time.Time
}

// connectionTracker closes client connections that are idle, or take to send request headers,
// for longer than the active configuration allows.
type connectionTracker struct {
	now func() time.Time

	mutex  sync.Mutex
	states map[net.Conn]connectionState
	// closing holds the connections that were found overdue and are not closed yet.
	closing map[net.Conn]bool
}

func newConnectionTracker(now func() time.Time) *connectionTracker {
	return &connectionTracker{now: now, states: make(map[net.Conn]connectionState), closing: make(map[net.Conn]bool)}
}

type connectionKey struct{}

// withConnection adds the connection to the context of its requests.
func (c *connectionTracker) withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// stateChanged is the ConnState hook of http.Server.
func (c *connectionTracker) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.setPhase(connection, phaseIdle)
	case http.StateActive:
		c.setPhase(connection, phaseReading)
	case http.StateClosed, http.StateHijacked:
		c.mutex.Lock()
		delete(c.states, connection)
		delete(c.closing, connection)
		c.mutex.Unlock()
	}
}

// beginRequest records that request headers are complete. It returns false if the connection is
// already being closed as idle: a request that arrives at that moment must not be forwarded, as
// its response could not be delivered.
func (c *connectionTracker) beginRequest(request *http.Request) bool {
	connection, found := request.Context().Value(connectionKey{}).(net.Conn)
	if !found {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing[connection] {
		return false
	}
	c.states[connection] = connectionState{phase: phaseBusy, since: c.now()}
	return true
}

// markShort has the connection of a response that is aborted end visibly short. A client whose version of HTTP knows no
// chunks would take a proper end for that of the body.
func (c *connectionTracker) markShort(request *http.Request) {
	connection, found := request.Context().Value(connectionKey{}).(net.Conn)
	if !found || request.ProtoAtLeast(1, 1) {
		return
	}
	// A connection that has ended needs no reset.
	_ = transport.ResetOnClose(connection)
}

func (c *connectionTracker) setPhase(connection net.Conn, phase connectionPhase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closing[connection] {
		c.states[connection] = connectionState{phase: phase, since: c.now()}
	}
}

// takeOverdue removes and returns the connections that exceed the idle or the header timeout. One
// with unread data is not overdue: this process has not got to reading it.
func (c *connectionTracker) takeOverdue(limits route.Limits) (idle, slow []net.Conn) {
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
		isIdle := state.phase == phaseIdle && age > idleLimit
		isSlow := state.phase == phaseReading && age > headerLimit
		if !isIdle && !isSlow || transport.HasUnread(connection) {
			continue
		}
		if isIdle {
			idle = append(idle, connection)
		} else {
			slow = append(slow, connection)
		}
		delete(c.states, connection)
		c.closing[connection] = true
	}
	return idle, slow
}

// closeOverdueConnections closes the connections that exceed their timeout.
func (g *Gateway) closeOverdueConnections() {
	var limits route.Limits
	if table := g.directory.View().Table; table != nil {
		limits = table.Limits()
	}
	idle, slow := g.connections.takeOverdue(limits)
	for _, each := range append(idle, slow...) {
		each.Close()
	}
	if len(slow) > 0 {
		eventConnectionsClosed.Log("rested", len(idle), "slow_heads", len(slow))
	}
}

// headerSize returns the approximate size of the request headers on the wire.
func headerSize(request *http.Request) int {
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
