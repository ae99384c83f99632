package transport

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens connections. Its time is that of the peer alone: a connection that the system has
// opened in time is returned, however late this process is to hear of it.
type Dialer struct {
	timeout time.Duration
	dialer  net.Dialer
}

// DialContext opens a connection to an IP:port. Its reads return *ConnectionFailed, never io.EOF, after a failure. The
// error of a peer that does not answer in time is a net.Error whose Timeout is true.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: connection}, nil
}

// dialChecked opens a connection whose first response is checked too.
func (d *Dialer) dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return CheckResponses(connection), nil
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.timeout <= 0 {
		return d.dialer.DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	var timer *time.Timer
	attempt := d.dialer
	attempt.Control = func(network, address string, socket syscall.RawConn) error {
		if err := d.dialer.Control(network, address, socket); err != nil {
			return err
		}
		// Nothing was sent before.
		timer = time.AfterFunc(d.timeout, func() {
			if !isConnected(socket) {
				timedOut.Store(true)
				cancel()
			}
		})
		return nil
	}
	connection, err := attempt.DialContext(ctx, network, address)
	if timer != nil {
		timer.Stop()
	}
	if err != nil && timedOut.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	return connection, err
}

// isConnected reports whether the system has opened the connection of a socket.
func isConnected(socket syscall.RawConn) (connected bool) {
	err := socket.Control(func(descriptor uintptr) {
		_, err := unix.Getpeername(int(descriptor))
		connected = err == nil
	})
	return err == nil && connected
}
