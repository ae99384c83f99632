// Package transporttest has a TCP proxy on loopback that brings network faults about for
// tests and experiments.
package transporttest

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyBytes is the size of one read that is passed on.
	copyBytes = 32 << 10
	// dialTimeout bounds the opening of a connection to the target.
	dialTimeout = time.Second
)

// Proxy passes connections on to a target. Its methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	// delay is how long each read is kept back, in nanoseconds.
	delay atomic.Int64
	// bufferBytes is about half of what the system holds of each end; 0 leaves that to the system.
	bufferBytes atomic.Int64
	// refusing closes new connections at once.
	refusing atomic.Bool

	mutex sync.Mutex
	links map[*link]bool
}

// link is one proxied connection.
type link struct {
	client, server net.Conn
	// toServer and toClient are set while bytes in that direction are thrown away.
	toServer, toClient atomic.Bool
}

// NewProxy listens on a loopback port for connections to target (IP:port).
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go proxy.accept()
	return proxy, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() {
	for _, each := range p.open() {
		for _, end := range []net.Conn{each.client, each.server} {
			if connection, isTCP := end.(*net.TCPConn); isTCP {
				// Without lingering a close resets; where that cannot be set it closes.
				_ = connection.SetLinger(0)
			}
			end.Close()
		}
	}
}

// Silence throws away whatever comes on the connections that are open now, for good.
// They stay open, and new ones work.
func (p *Proxy) Silence() {
	for _, each := range p.open() {
		each.toServer.Store(true)
		each.toClient.Store(true)
	}
}

// CutAnswers throws away what the target sends on the connections that are open now.
func (p *Proxy) CutAnswers() {
	for _, each := range p.open() {
		each.toClient.Store(true)
	}
}

// Delay keeps each read back for a time; 0 ends that.
func (p *Proxy) Delay(by time.Duration) { p.delay.Store(int64(by)) }

// LimitBuffers makes connections that come from then on hold few bytes on their way, as a link does: whoever
// sends waits for the other end.
func (p *Proxy) LimitBuffers(bytes int) { p.bufferBytes.Store(int64(bytes)) }

// Refuse closes new connections at once while it is set.
func (p *Proxy) Refuse(refusing bool) { p.refusing.Store(refusing) }

// Open returns how many connections are open.
func (p *Proxy) Open() int { return len(p.open()) }

func (p *Proxy) open() []*link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := make([]*link, 0, len(p.links))
	for each := range p.links {
		links = append(links, each)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refusing.Load() {
			client.Close()
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	if err := p.limitBuffers(client, server); err != nil {
		return
	}
	one := &link{client: client, server: server}
	p.mutex.Lock()
	p.links[one] = true
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.links, one)
		p.mutex.Unlock()
	}()
	ended := make(chan struct{}, 2)
	go func() {
		p.copy(server, client, &one.toServer)
		ended <- struct{}{}
	}()
	go func() {
		p.copy(client, server, &one.toClient)
		ended <- struct{}{}
	}()
	<-ended
	if one.toServer.Load() || one.toClient.Load() {
		// A silent connection does not tell the other side of its end.
		<-ended
	}
}

// limitBuffers sets the buffers of both ends of a connection.
func (p *Proxy) limitBuffers(ends ...net.Conn) error {
	bytes := int(p.bufferBytes.Load())
	if bytes == 0 {
		return nil
	}
	for _, end := range ends {
		connection := end.(*net.TCPConn)
		if err := errors.Join(connection.SetReadBuffer(bytes), connection.SetWriteBuffer(bytes)); err != nil {
			return err
		}
	}
	return nil
}

// copy passes bytes on until either side ends, or throws them away while it is told to.
func (p *Proxy) copy(to, from net.Conn, thrownAway *atomic.Bool) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if delay := time.Duration(p.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if count > 0 && !thrownAway.Load() {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
