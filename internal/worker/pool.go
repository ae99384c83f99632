// Package worker sends requests to workers over kept connections. It sends each
// request exactly once: unlike net/http's Transport it never repeats one by
// itself, and it hands out an answer only if it names the request.
package worker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	readerBytes = 8 << 10
	// idleLimit is how long a connection is kept when the worker names no time.
	idleLimit = 4 * time.Second
	// idleMargin is how long before the worker's own limit a connection is no
	// longer used: a request that crosses the worker's close is lost.
	idleMargin = 600 * time.Millisecond
)

// Pool keeps the connections to all workers. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer
	// userTimeout is how long the dialer's connections may leave what is sent unacknowledged;
	// 0 leaves that as it is for each request.
	userTimeout time.Duration

	mutex sync.Mutex
	hosts map[string]*host
}

type host struct {
	idle []*connection
	open int
	// lostInRow counts the requests on kept connections that got no answer, since
	// the last answer.
	lostInRow int
	// answeredAt is when the last answer began, on any connection.
	answeredAt time.Time
}

type connection struct {
	net.Conn
	address string
	// life is that of the worker which the connection was opened to.
	life   string
	reader *bufio.Reader
	// dialed is how long opening it took.
	dialed time.Duration
	// kept is set once the connection has been used before.
	kept bool
	// usableUntil ends the time in which an idle connection may be used.
	usableUntil time.Time
	// userTimeout is the pool's; longBody is set while a longer one is in force.
	userTimeout time.Duration
	longBody    bool
}

// NewPool returns an empty pool.
func NewPool(dialer *net.Dialer) *Pool { return &Pool{dialer: dialer, hosts: make(map[string]*host)} }

// NewPoolWithOptions returns an empty pool of connections that notice a silent worker.
func NewPoolWithOptions(options transport.Options) *Pool {
	pool := NewPool(transport.NewDialer(options))
	pool.userTimeout = options.UserTimeout
	return pool
}

// get returns a kept connection to one life of a worker, or opens one if fewer than limit are
// open. One that was opened to another life is closed: behind a cut it says nothing of its end.
func (p *Pool) get(ctx context.Context, address, life string, limit int) (*connection, error) {
	for {
		kept, open := p.take(address, limit)
		if kept == nil && !open {
			return nil, &TooManyConnections{Worker: address, Limit: limit}
		}
		if kept == nil {
			break
		}
		if kept.life == life && time.Now().Before(kept.usableUntil) && kept.quiet() {
			return kept, nil
		}
		p.discard(kept)
	}
	began := time.Now()
	dialed, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return &connection{Conn: dialed, address: address, life: life, reader: bufio.NewReaderSize(dialed, readerBytes), dialed: time.Since(began), userTimeout: p.userTimeout}, nil
}

// take returns the connection that was used last, or counts a new one.
func (p *Pool) take(address string, limit int) (kept *connection, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.hosts[address]
	if at == nil {
		at = &host{}
		p.hosts[address] = at
	}
	if last := len(at.idle) - 1; last >= 0 {
		kept = at.idle[last]
		at.idle = at.idle[:last]
		return kept, true
	}
	if limit > 0 && at.open >= limit {
		return nil, false
	}
	at.open++
	return nil, true
}

// OnConnected reports whether an idle connection to an address is open.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.hosts[address]
	return at != nil && len(at.idle) > 0 && time.Now().Before(at.idle[len(at.idle)-1].usableUntil)
}

// IsReachable reports whether a worker's machine answers a new connection: also one that refuses
// it is reached.
func (p *Pool) IsReachable(ctx context.Context, address string) bool {
	dialed, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		dialed.Close()
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := p.hosts[address]; at != nil {
		at.open--
		if at.open <= 0 && len(at.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// discard closes a connection.
func (p *Pool) discard(used *connection) {
	used.Close()
	p.release(used.address)
}

// maxLostInRow is how many requests in a row may get no answer on kept connections
// before all idle ones of that worker are closed: a worker that was replaced or lost
// power resets each of them only when it is used.
const maxLostInRow = 2

// lost notes a request without an answer.
func (p *Pool) lost(used *connection) {
	if !used.kept {
		return
	}
	p.closeIdle(used.address, func(at *host) bool {
		at.lostInRow++
		return at.lostInRow >= maxLostInRow
	})
}

// answered notes an answer.
func (p *Pool) answered(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := p.hosts[address]; at != nil {
		at.lostInRow, at.answeredAt = 0, time.Now()
	}
}

// suspect closes the idle connections of a worker that has not begun to answer a request
// on a kept one, sent at a moment, for longer than it should: connections may go silent
// for good without a reset, mostly together, while new ones work. An answer on another
// connection since then speaks for the worker.
func (p *Pool) suspect(address string, sent time.Time) {
	p.closeIdle(address, func(at *host) bool { return at.answeredAt.Before(sent) })
}

// closeIdle closes the idle connections of a worker, if that is wanted.
func (p *Pool) closeIdle(address string, wanted func(at *host) bool) {
	p.mutex.Lock()
	var closing []*connection
	if at := p.hosts[address]; at != nil && wanted(at) {
		closing, at.idle = at.idle, nil
	}
	p.mutex.Unlock()
	for _, each := range closing {
		p.discard(each)
	}
}

// put keeps a connection whose last answer was read whole.
func (p *Pool) put(used *connection, header http.Header) {
	if used.reader.Buffered() > 0 {
		// Bytes after a whole answer belong to no request.
		p.discard(used)
		return
	}
	used.usableUntil = time.Now().Add(keepFor(header))
	used.kept = true
	p.addIdle(used)
}

// putBack keeps a connection on which nothing was sent.
func (p *Pool) putBack(unused *connection) {
	if !unused.kept {
		unused.usableUntil = time.Now().Add(idleLimit)
	}
	p.addIdle(unused)
}

func (p *Pool) addIdle(used *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.hosts[used.address]
	at.idle = append(at.idle, used)
}

// CloseStale closes connections that have been idle for too long, and those to lives of workers that
// are not listed.
func (p *Pool) CloseStale(listed func(life string) bool) {
	now := time.Now()
	var closing []*connection
	p.mutex.Lock()
	for _, at := range p.hosts {
		kept := at.idle[:0]
		for _, each := range at.idle {
			if now.After(each.usableUntil) || !listed(each.life) {
				closing = append(closing, each)
				continue
			}
			kept = append(kept, each)
		}
		at.idle = kept
	}
	p.mutex.Unlock()
	for _, each := range closing {
		p.discard(each)
	}
}

// keepFor returns how long a connection may be used after an answer.
func keepFor(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleLimit
}

// quiet reports whether the worker has neither closed the connection nor sent
// anything on it.
func (c *connection) quiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
