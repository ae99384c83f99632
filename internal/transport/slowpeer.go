package transport

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// slowPeerListener accepts connections as *slowPeerConn.
type slowPeerListener struct {
	net.Listener
}

// Accept returns the next connection.
func (l *slowPeerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowPeerConn{Conn: accepted}, nil
}

// slowPeerConn is a connection whose write deadline bounds how long the peer may leave data unread,
// not how late this process runs. A write whose time is over although the peer has accepted all that
// was written before gets its time again.
type slowPeerConn struct {
	net.Conn

	// mutex guards writeTimeout together with the deadline of Conn.
	mutex sync.Mutex
	// writeTimeout is the time until the write deadline when it was set; 0 or less if there is none
	// or if it had passed, so that it is final.
	writeTimeout time.Duration
}

// Write writes all of the data unless the peer leaves older data unread until the deadline.
func (c *slowPeerConn) Write(data []byte) (written int, err error) {
	for {
		count, err := c.Conn.Write(data[written:])
		written += count
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.leavesUnread(count) || !c.renewWriteDeadline() {
			return written, err
		}
	}
}

// leavesUnread reports whether the peer has not accepted data that was written before the last count
// bytes.
func (c *slowPeerConn) leavesUnread(count int) bool {
	unacknowledged, err := UnacknowledgedBytes(c.Conn)
	return err != nil || unacknowledged > count
}

// renewWriteDeadline sets the write deadline again, and reports false if it was final.
func (c *slowPeerConn) renewWriteDeadline() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeTimeout > 0 && c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)) == nil
}

// SetWriteDeadline sets the write deadline. One that has passed makes writes fail for good.
func (c *slowPeerConn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setWriteTimeout(at)
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline sets the read and the write deadline.
func (c *slowPeerConn) SetDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setWriteTimeout(at)
	return c.Conn.SetDeadline(at)
}

func (c *slowPeerConn) setWriteTimeout(at time.Time) {
	c.writeTimeout = 0
	if !at.IsZero() {
		c.writeTimeout = time.Until(at)
	}
}

// CloseWrite closes the writing side. net/http calls it before it closes a connection whose peer may
// still write.
func (c *slowPeerConn) CloseWrite() error {
	closer, canCloseWrite := c.Conn.(interface{ CloseWrite() error })
	if !canCloseWrite {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// SyscallConn gives access to the socket.
func (c *slowPeerConn) SyscallConn() (syscall.RawConn, error) {
	connection, hasDescriptor := c.Conn.(syscall.Conn)
	if !hasDescriptor {
		return nil, errors.ErrUnsupported
	}
	return connection.SyscallConn()
}
