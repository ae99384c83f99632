package transport

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the kernel holds data, the end or an error of a TCP connection that was
// not read. It does not depend on deadlines and may be called during a read by another goroutine. It
// is false once the connection is closed here.
func HasUnread(connection net.Conn) bool {
	isEmpty, err := hasEmptyReceiveBuffer(connection)
	return err == nil && !isEmpty
}

// IsQuiet reports whether a TCP connection is open and nothing of its peer waits to be read.
func IsQuiet(connection net.Conn) bool {
	isEmpty, err := hasEmptyReceiveBuffer(connection)
	return err == nil && isEmpty
}

// hasEmptyReceiveBuffer looks for a byte in the kernel's receive buffer and leaves it there.
func hasEmptyReceiveBuffer(connection net.Conn) (isEmpty bool, err error) {
	err = withDescriptor(connection, func(descriptor int) {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(descriptor, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isEmpty = peekErr == syscall.EAGAIN
	})
	return isEmpty, err
}

// UnacknowledgedBytes returns how many bytes written to a TCP connection its peer's kernel has not
// accepted.
func UnacknowledgedBytes(connection net.Conn) (int, error) {
	var count int
	var countErr error
	err := withDescriptor(connection, func(descriptor int) { count, countErr = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ) })
	return count, errors.Join(err, countErr)
}

// withDescriptor passes the file descriptor of a connection to use. It fails if the connection is
// closed or has none.
func withDescriptor(connection net.Conn, use func(descriptor int)) error {
	tcp, hasDescriptor := connection.(syscall.Conn)
	if !hasDescriptor {
		return errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}
