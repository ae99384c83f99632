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
	events, err := poll(connection, unix.POLLIN)
	return events != 0, err
}

// poll returns which of some events a TCP connection has; POLLHUP and POLLERR are always among them.
func poll(connection net.Conn, events int16) (found int16, err error) {
	var pollErr error
	err = withDescriptor(connection, func(descriptor int) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
		for _, pollErr = unix.Poll(polled, 0); pollErr == syscall.EINTR; {
			_, pollErr = unix.Poll(polled, 0)
		}
		found = polled[0].Revents
	})
	return found, errors.Join(err, pollErr)
}

// HasFailed reports whether a TCP connection has ended by a failure, such as a reset, also if a read or a write has
// reported that failure: the kernel reports it once, and then reads find the end of the data. It leaves a failure that
// was not reported yet to the reader.
func HasFailed(connection net.Conn) bool {
	events, err := poll(connection, 0)
	return err == nil && events&(unix.POLLHUP|unix.POLLERR) != 0
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

// ResetOnClose has a TCP connection end with a reset, which its peer can tell from a proper end. What the peer was not
// sent yet is lost.
func ResetOnClose(connection net.Conn) error {
	var optionErr error
	err := withDescriptor(connection, func(descriptor int) {
		optionErr = unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
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
