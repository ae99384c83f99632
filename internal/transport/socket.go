package transport

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// KernelBytesPerBufferByte is how much memory the kernel uses at most for each byte of a receive buffer:
// it allows as much again for its own records of the packets.
const KernelBytesPerBufferByte = 2

// HasUnread reports whether the kernel holds data, the end or an error of a TCP connection that was
// not read. It does not depend on deadlines and may be called during a read by another goroutine. It
// is false once the connection is closed here.
func HasUnread(connection net.Conn) bool {
	isReadable, err := pollReadable(connection)
	return err == nil && isReadable
}

// IsQuiet reports whether a TCP connection is open and nothing of its peer waits to be read.
func IsQuiet(connection net.Conn) bool {
	isReadable, err := pollReadable(connection)
	return err == nil && !isReadable
}

// pollReadable reports whether a read would return at once. It leaves everything to the reader: a
// peek would take a pending reset away, and the reader would see the proper end of the data.
func pollReadable(connection net.Conn) (isReadable bool, err error) {
	var pollErr error
	err = withDescriptor(connection, func(descriptor int) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready := 0
		for ready, pollErr = unix.Poll(polled, 0); pollErr == syscall.EINTR; {
			ready, pollErr = unix.Poll(polled, 0)
		}
		isReadable = ready > 0
	})
	return isReadable, errors.Join(err, pollErr)
}

// UnacknowledgedBytes returns how many bytes written to a TCP connection its peer's kernel has not
// accepted.
func UnacknowledgedBytes(connection net.Conn) (int, error) {
	var count int
	var countErr error
	err := withDescriptor(connection, func(descriptor int) { count, countErr = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ) })
	return count, errors.Join(err, countErr)
}

// SetReceiveBuffer sets how many bytes of a TCP connection's peer the kernel buffers while nothing reads
// them.
func SetReceiveBuffer(connection net.Conn, bytes int) error {
	var optionErr error
	err := withDescriptor(connection, func(descriptor int) {
		optionErr = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optionErr)
}

// GrantedReceiveBuffer returns how much of a receive buffer of some bytes the kernel grants: its setting
// net.core.rmem_max limits what a process may ask for.
func GrantedReceiveBuffer(bytes int) (granted int, err error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	defer unix.Close(descriptor)
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
		return 0, err
	}
	memory, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF)
	return min(bytes, memory/KernelBytesPerBufferByte), err
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
