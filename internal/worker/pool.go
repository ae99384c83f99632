// Package worker sends requests to workers over reused connections. It sends each request exactly
// once: unlike net/http.Transport it never retries, and it returns a response only if it contains
// the ID of the request.
package worker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	readBufferBytes = 8 << 10
	// defaultIdleLifetime is how long a connection is kept if the worker does not specify a time.
	defaultIdleLifetime = 4 * time.Second
	// idleMargin is the time before the worker's own idle timeout from which a connection is no
	// longer used. A request that crosses the worker's close would be lost.
	idleMargin = 600 * time.Millisecond
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool manages the connections to all workers. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	// userTimeout is how long sent data may stay unacknowledged on the dialer's connections
	// (TCP_USER_TIMEOUT). If it is 0, requests do not change the setting.
	userTimeout time.Duration
	// receiveBuffer is the receive buffer of the dialer's connections in bytes. If it is 0, requests do
	// not change the setting.
	receiveBuffer int
	// largeHeads counts the memory for heads that exceed readBufferBytes.
	largeHeads *flowcontrol.Budget

	mutex sync.Mutex
	hosts map[string]*host
}

type host struct {
	idle []*connection
	open int
	// consecutiveLosses counts the requests on reused connections without a response since the last
	// response.
	consecutiveLosses int
	// lastResponseAt is when the last response on any connection began.
	lastResponseAt time.Time
}

type connection struct {
	net.Conn
	address string
	// incarnation is the incarnation of the worker that the connection was opened to.
	incarnation string
	reader      *bufio.Reader
	pool        *Pool
	// largeHead is the memory for a head that exceeds readBufferBytes; nil if there is none.
	largeHead *flowcontrol.Reservation
	// sent are the IDs of the requests that were sent on the connection.
	sent sentIDs
	// carriedHead is set once a HEAD request was sent. The end of a stale response is unknown from then on:
	// whether a body follows its head depends on the method of a request that is not known.
	carriedHead bool
	// dialedAt is when opening the connection began, and dialDuration how long it took.
	dialedAt     time.Time
	dialDuration time.Duration
	// reused is set if the connection was used for an earlier request.
	reused bool
	// idleDeadline is until when the idle connection may be used.
	idleDeadline time.Time
	// userTimeout is the user timeout of the pool. userTimeoutRaised is set while a longer one
	// applies.
	userTimeout       time.Duration
	userTimeoutRaised bool
	// receiveBuffer is the receive buffer in bytes; 0 if it is not set.
	receiveBuffer int
	// handling is set from the return of a read until the next one.
	handling atomic.Bool
	// received counts the bytes read since the last request was sent, and headComplete is set once the head of
	// its response was read.
	received     atomic.Int64
	headComplete atomic.Bool
}

// Read reads from the worker.
func (c *connection) Read(data []byte) (int, error) {
	c.handling.Store(false)
	count, err := c.Conn.Read(data)
	c.received.Add(int64(count))
	c.handling.Store(true)
	return count, err
}

// NewPool returns an empty pool.
func NewPool(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, hosts: make(map[string]*host), largeHeads: flowcontrol.NewBudget(DefaultLargeHeadsBytes, time.Now)}
}

// LimitLargeHeads sets how much memory heads of responses may take together beyond the read buffers of their
// connections, in bytes. It must be called before the first request.
func (p *Pool) LimitLargeHeads(bytes int64) { p.largeHeads = flowcontrol.NewBudget(bytes, time.Now) }

// NewPoolWithOptions returns an empty pool whose connections detect unresponsive workers.
func NewPoolWithOptions(options transport.Options) *Pool {
	pool := NewPool(transport.NewDialer(options))
	pool.userTimeout, pool.receiveBuffer = options.UserTimeout, options.ReceiveBuffer
	return pool
}

// acquire returns an idle connection to an incarnation of a worker that has not carried a request's ID
// before, or opens one if fewer than limit are open. On such a connection, an answer with the ID cannot
// belong to an earlier send. Idle connections to other incarnations are closed, because in a network
// partition they may never report their end.
func (p *Pool) acquire(ctx context.Context, address, incarnation, id string, limit int) (*connection, error) {
	for {
		idle, allowed := p.takeIdle(address, id, limit)
		if idle == nil && !allowed {
			return nil, &TooManyConnections{Worker: address, Limit: limit}
		}
		if idle == nil {
			break
		}
		if idle.incarnation == incarnation && time.Now().Before(idle.idleDeadline) && !idle.sent.contains(id) && idle.isIdle() {
			return idle, nil
		}
		p.discard(idle)
	}
	startedAt := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, err
	}
	opened := &connection{Conn: conn, pool: p, address: address, incarnation: incarnation, dialedAt: startedAt, dialDuration: time.Since(startedAt), userTimeout: p.userTimeout, receiveBuffer: p.receiveBuffer}
	opened.reader = bufio.NewReaderSize(opened, readBufferBytes)
	return opened, nil
}

// takeIdle removes and returns the most recently used idle connection that has not carried an ID. If there
// is none, it reserves a new connection. If the limit is reached, it returns the least recently used idle
// connection, which has to give way; allowed is false if there is none either.
func (p *Pool) takeIdle(address, id string, limit int) (idle *connection, allowed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.hosts[address]
	if entry == nil {
		entry = &host{}
		p.hosts[address] = entry
	}
	for i, each := range slices.Backward(entry.idle) {
		if !each.sent.contains(id) {
			return entry.removeIdle(i), true
		}
	}
	if limit <= 0 || entry.open < limit {
		entry.open++
		return nil, true
	}
	if len(entry.idle) > 0 {
		return entry.removeIdle(0), true
	}
	return nil, false
}

// removeIdle removes and returns an idle connection.
func (h *host) removeIdle(index int) *connection {
	removed := h.idle[index]
	h.idle = slices.Delete(h.idle, index, index+1)
	return removed
}

// HasIdleConnection reports whether an idle connection to an address is open.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	host := p.hosts[address]
	return host != nil && len(host.idle) > 0 && time.Now().Before(host.idle[len(host.idle)-1].idleDeadline)
}

// IsReachable reports whether the machine of a worker responds to a new connection, even if it
// refuses it.
func (p *Pool) IsReachable(ctx context.Context, address string) bool {
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		conn.Close()
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) releaseSlot(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if host := p.hosts[address]; host != nil {
		host.open--
		if host.open <= 0 && len(host.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// discard closes a connection and releases its slot.
func (p *Pool) discard(connection *connection) {
	connection.Close()
	connection.releaseLargeHead()
	p.releaseSlot(connection.address)
}

// maxConsecutiveLosses is the number of consecutive requests without a response on reused
// connections after which all idle connections to the worker are closed. A worker that was replaced
// or lost power resets each of them only when it is used.
const maxConsecutiveLosses = 2

// recordLoss counts a request without a response.
func (p *Pool) recordLoss(connection *connection) {
	if !connection.reused {
		return
	}
	p.closeIdleIf(connection.address, func(host *host) bool {
		host.consecutiveLosses++
		return host.consecutiveLosses >= maxConsecutiveLosses
	})
}

// recordResponse records a response.
func (p *Pool) recordResponse(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if host := p.hosts[address]; host != nil {
		host.consecutiveLosses, host.lastResponseAt = 0, time.Now()
	}
}

// closeIdleIfSilent closes the idle connections to a worker whose response to a request, sent on a
// reused connection at the given time, is late. Connections can go silent permanently without a
// reset, often several at once, while new ones work. If any connection has received a response
// since then, they are kept.
func (p *Pool) closeIdleIfSilent(address string, sent time.Time) {
	p.closeIdleIf(address, func(host *host) bool { return host.lastResponseAt.Before(sent) })
}

// closeIdleIf closes the idle connections to a worker if the condition holds.
func (p *Pool) closeIdleIf(address string, condition func(host *host) bool) {
	p.mutex.Lock()
	var closing []*connection
	if host := p.hosts[address]; host != nil && condition(host) {
		closing, host.idle = host.idle, nil
	}
	p.mutex.Unlock()
	for _, each := range closing {
		p.discard(each)
	}
}

// recycle makes a connection idle after its response was completely read.
func (p *Pool) recycle(connection *connection, header http.Header) {
	// Bytes after a complete response belong to no request.
	if connection.reader.Buffered() > 0 || connection.sent.isFull() {
		p.discard(connection)
		return
	}
	connection.releaseLargeHead()
	connection.idleDeadline = time.Now().Add(idleLifetime(header))
	connection.reused = true
	p.addIdle(connection)
}

// returnUnused makes a connection idle on which nothing was sent.
func (p *Pool) returnUnused(connection *connection) {
	if !connection.reused {
		connection.idleDeadline = time.Now().Add(defaultIdleLifetime)
	}
	p.addIdle(connection)
}

func (p *Pool) addIdle(connection *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	host := p.hosts[connection.address]
	host.idle = append(host.idle, connection)
}

// CloseStale closes connections that have been idle for too long, and those to incarnations that
// are not listed.
func (p *Pool) CloseStale(listed func(incarnation string) bool) {
	now := time.Now()
	var closing []*connection
	p.mutex.Lock()
	for _, host := range p.hosts {
		kept := host.idle[:0]
		for _, each := range host.idle {
			if now.After(each.idleDeadline) || !listed(each.incarnation) {
				closing = append(closing, each)
				continue
			}
			kept = append(kept, each)
		}
		host.idle = kept
	}
	p.mutex.Unlock()
	for _, each := range closing {
		p.discard(each)
	}
}

// idleLifetime returns how long a connection may stay idle after a response.
func idleLifetime(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleLifetime
}

// isIdle reports whether the worker has neither closed the connection nor sent data on it.
func (c *connection) isIdle() bool { return transport.IsQuiet(c.Conn) }
