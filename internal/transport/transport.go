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
}

// NewDialer returns a dialer for the options.
func NewDialer(options Options) *net.Dialer {
	return &net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) { setUserTimeout(descriptor, options.UserTimeout) })
		},
	}
}

// Listen opens a listener whose accepted connections notice a silent peer.
func Listen(ctx context.Context, address string, userTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) { setUserTimeout(descriptor, userTimeout) })
		},
	}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout is best effort: without the option the keep-alive probes find
// a silent peer later.
func setUserTimeout(descriptor uintptr, timeout time.Duration) {
	_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

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
		transport := &http.Transport{DialContext: NewDialer(options).DialContext, IdleConnTimeout: idleTimeout, DisableCompression: true}
		bound(transport)
		return transport
	})}
}
