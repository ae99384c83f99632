package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// checkEnd returns what a read of a connection has returned, with *ConnectionFailed in place of io.EOF if the connection
// has failed: the kernel reports a failure once, and a read after a write that was told of it finds the end of the data.
func checkEnd(connection net.Conn, err error) error {
	if err == io.EOF && HasFailed(connection) {
		return &ConnectionFailed{}
	}
	return err
}

// checkedConn is a connection whose reads tell a failure from a proper end.
type checkedConn struct {
	net.Conn
}

func (c *checkedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	return count, checkEnd(c.Conn, err)
}

// CloseWrite closes the writing side.
func (c *checkedConn) CloseWrite() error {
	closer, canCloseWrite := c.Conn.(interface{ CloseWrite() error })
	if !canCloseWrite {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// SyscallConn gives access to the socket.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) {
	connection, hasDescriptor := c.Conn.(syscall.Conn)
	if !hasDescriptor {
		return nil, errors.ErrUnsupported
	}
	return connection.SyscallConn()
}

// responseConn is a connection of a client whose first response is checked too.
type responseConn struct {
	checkedConn
	encoding EncodingScan
}

// CheckResponses returns a connection whose reads tell a failure from a proper end, as Dialer's do, and fail with
// *MisplacedEncoding where net/http would take the framing of its first response for another.
func CheckResponses(connection net.Conn) net.Conn {
	return &responseConn{checkedConn: checkedConn{Conn: connection}}
}

func (c *responseConn) Read(data []byte) (int, error) {
	count, err := c.checkedConn.Read(data)
	if encodingErr := c.encoding.Next(data[:count]); encodingErr != nil {
		return 0, encodingErr
	}
	return count, err
}
