package topology

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes   = 32 << 10
	queuedChunks = 64
)

// link is a connection whose bytes arrive late. The near end is a pipe, which
// gives it deadlines; two pumps carry the bytes to and from the far end.
type link struct {
	net.Conn
	far net.Conn
}

// LocalAddr returns the real local address.
func (l *link) LocalAddr() net.Addr { return l.far.LocalAddr() }

// RemoteAddr returns the real remote address.
func (l *link) RemoteAddr() net.Addr { return l.far.RemoteAddr() }

// wrap puts the delay and the cuts of the link between both places before far.
func (n *Network) wrap(far net.Conn, from, to Place) net.Conn {
	near, inner := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	ends := &pumpEnds{inner: inner, far: far, cancel: cancel}
	out := &pump{network: n, from: from, to: to, source: inner, sink: far, ends: ends}
	if from.Daemon != "" && to.Daemon != "" {
		out.counter = n.counter(from.Daemon)
	}
	in := &pump{network: n, from: to, to: from, source: far, sink: inner, ends: ends}
	if from.Daemon != "" && to.Daemon != "" {
		in.counter = n.counter(to.Daemon)
	}
	out.start(ctx)
	in.start(ctx)
	return &link{Conn: near, far: far}
}

// pumpEnds closes both ends of a link once.
type pumpEnds struct {
	once   sync.Once
	inner  net.Conn
	far    net.Conn
	cancel context.CancelFunc
}

func (e *pumpEnds) close() {
	e.once.Do(func() {
		e.cancel()
		_ = e.inner.Close()
		_ = e.far.Close()
	})
}

// pump carries bytes in one direction.
type pump struct {
	network *Network
	from    Place
	to      Place
	source  net.Conn
	sink    net.Conn
	ends    *pumpEnds
	counter *atomic.Int64
}

// chunk is a piece of the byte stream; an empty one ends it.
type chunk struct {
	data []byte
	due  time.Time
}

func (p *pump) start(ctx context.Context) {
	queue := make(chan chunk, queuedChunks)
	go p.receive(ctx, queue)
	go p.deliver(ctx, queue)
}

func (p *pump) receive(ctx context.Context, queue chan<- chunk) {
	delay := p.network.delay(p.from, p.to)
	buffer := make([]byte, chunkBytes)
	for {
		count, err := p.source.Read(buffer)
		if count > 0 {
			piece := chunk{data: append([]byte(nil), buffer[:count]...), due: time.Now().Add(delay)}
			if !push(ctx, queue, piece) {
				return
			}
		}
		if err != nil {
			push(ctx, queue, chunk{due: time.Now().Add(delay)})
			return
		}
	}
}

func push(ctx context.Context, queue chan<- chunk, piece chunk) bool {
	select {
	case queue <- piece:
		return true
	case <-ctx.Done():
		return false
	}
}

// deliver writes each piece when it is due and the link is open. The end of
// one direction closes the whole connection, as HTTP never half-closes.
func (p *pump) deliver(ctx context.Context, queue <-chan chunk) {
	defer p.ends.close()
	for {
		select {
		case piece := <-queue:
			time.Sleep(time.Until(piece.due))
			if p.network.await(ctx, p.from, p.to) != nil || len(piece.data) == 0 {
				return
			}
			if _, err := p.sink.Write(piece.data); err != nil {
				return
			}
			if p.counter != nil {
				p.counter.Add(int64(len(piece.data)))
			}
		case <-ctx.Done():
			return
		}
	}
}
