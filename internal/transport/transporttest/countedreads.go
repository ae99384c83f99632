package transporttest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// CountedReads counts what was read on each connection of an HTTP client, without what the kernel holds of it. It is
// safe for concurrent use.
type CountedReads struct {
	mutex sync.Mutex
	reads []*atomic.Int64
}

// NewClient returns a client with a connection for each call.
func (c *CountedReads) NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: c.dial}}
}

func (c *CountedReads) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counted := &countedConnection{Conn: connection, read: &atomic.Int64{}}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads = append(c.reads, counted.read)
	return counted, nil
}

// Max returns the most bytes that were read on a connection.
func (c *CountedReads) Max() (highest int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, read := range c.reads {
		highest = max(highest, read.Load())
	}
	return highest
}

type countedConnection struct {
	net.Conn
	read *atomic.Int64
}

func (c *countedConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.read.Add(int64(count))
	return count, err
}
