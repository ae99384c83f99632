// Package transport opens TCP connections that notice a silent peer: a machine
// without power or behind a cut link sends nothing, and only time-outs of the
// kernel end a connection to it.
package transport

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 400 * time.Millisecond
	keepAliveCount    = 2
)

// Options set up a dialer.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout time.Duration
	// ReceiveBuffer is about half of what the system holds of what the peer sent and was not
	// read; 0 leaves that to the system, which may hold megabytes. SetReceiveBuffer changes it on an
	// open connection.
	ReceiveBuffer int
}

// NewDialer returns a dialer for the options.
func NewDialer(options Options) *Dialer {
	return &Dialer{timeout: options.DialTimeout, dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				setUserTimeout(descriptor, options.UserTimeout)
				if options.ReceiveBuffer > 0 {
					// Best effort: without it the system holds more.
					_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, options.ReceiveBuffer)
				}
			})
		},
	}}
}

// Listen opens a listener whose accepted connections notice a silent peer.
func Listen(ctx context.Context, address string, userTimeout time.Duration) (net.Listener, error) {
	return listen(ctx, address, userTimeout, 0)
}

// ListenForSlowPeers is Listen for peers that may read slowly: the system holds about twice
// sendBuffer bytes for a connection. Write deadlines bound how long a peer may leave data unread; a
// write that this process makes too late gets its time again.
func ListenForSlowPeers(ctx context.Context, address string, userTimeout time.Duration, sendBuffer int) (net.Listener, error) {
	listener, err := listen(ctx, address, userTimeout, sendBuffer)
	if err != nil {
		return nil, err
	}
	return &slowPeerListener{Listener: listener}, nil
}

// listen opens a listener. A sendBuffer of 0 leaves its size to the system, which may hold megabytes.
func listen(ctx context.Context, address string, userTimeout time.Duration, sendBuffer int) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				setUserTimeout(descriptor, userTimeout)
				if sendBuffer > 0 {
					// Best effort: accepted connections inherit it.
					_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
				}
			})
		},
	}
	return config.Listen(ctx, "tcp4", address)
}

// SetUserTimeout changes how long what is sent on a connection may stay unacknowledged. A peer
// that does not read counts like one that is gone.
func SetUserTimeout(connection net.Conn, timeout time.Duration) {
	if tcp, is := connection.(syscall.Conn); is {
		if raw, err := tcp.SyscallConn(); err == nil {
			// A connection that has ended has no timeout to set.
			_ = raw.Control(func(descriptor uintptr) { setUserTimeout(descriptor, timeout) })
		}
	}
}

// setUserTimeout is best effort: without the option the keep-alive probes find
// a silent peer later.
func setUserTimeout(descriptor uintptr, timeout time.Duration) {
	_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// PeerWriteTimeout is how long an answer to another daemon may take from the call's head on,
// with what the call waits for: a daemon that stands still must not hold the bytes that it does
// not read, and asks again when it goes on. Calls wait for a second or two at most.
const PeerWriteTimeout = 10 * time.Second

const (
	idleConnections = 32
	idleTimeout     = 30 * time.Second
)

// NewPeerClient returns a client for calls between daemons that may be repeated.
// It keeps at most maxConnections to each peer; further calls wait: calls that
// pile up behind a slow peer must not take its memory.
func NewPeerClient(options Options, maxConnections int) *http.Client {
	return newClient(options, func(transport *http.Transport) {
		transport.MaxIdleConnsPerHost, transport.MaxConnsPerHost = maxConnections, maxConnections
	})
}

// NewHTTPClient returns a client for calls that may be repeated: net/http sends
// a call again by itself when a kept connection ends before the answer.
func NewHTTPClient(options Options) *http.Client {
	return newClient(options, func(transport *http.Transport) { transport.MaxIdleConnsPerHost = idleConnections })
}

// newClient returns a client whose calls notice hosts that fall silent.
func newClient(options Options, bound func(transport *http.Transport)) *http.Client {
	return &http.Client{Transport: newHosts(func() *http.Transport {
		transport := &http.Transport{DialContext: NewDialer(options).dialChecked, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeadBytes}
		bound(transport)
		return transport
	})}
}
