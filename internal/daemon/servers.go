package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/identity"
	"github.com/barleyshelf/barleyshelf/internal/peer"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// server is one listener with its HTTP server.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// listenFailed reports an address that cannot be bound.
type listenFailed struct {
	// Address is IP:port.
	Address string
	// Cause is the operating system's error.
	Cause error
}

func (e *listenFailed) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Type returns "listen_failed".
func (e *listenFailed) Type() failure.Type { return "listen_failed" }

// Outcome returns NotRun.
func (e *listenFailed) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows none.
func (e *listenFailed) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the operating system's error.
func (e *listenFailed) Unwrap() error { return e.Cause }

func (d *Daemon) openListeners() error {
	callers, err := caller.NewHandler(caller.Options{
		Backend:       currentBackend{daemon: d},
		Authenticator: d.tenants,
		Admission:     d.admission,
		Ready:         d.refusal,
		MaxBodyBytes:  d.settings.MaxBodyBytes,
		Metrics:       caller.NewMetrics(d.registry),
	})
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	operators, err := d.operatorHandler()
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	addresses := d.settings.Listen
	if err := d.listen("peer", addresses.Peer, peer.NewServer(string(d.self.ID), d), d.security.peerServerConfig()); err != nil {
		return err
	}
	if err := d.listen("caller", addresses.Caller, d.counted(callers), d.security.serverConfig()); err != nil {
		return err
	}
	return d.listen("operator", addresses.Operator, operators, d.security.serverConfig())
}

// listen binds an address and serves it; plain TCP where config is nil, which
// the settings must allow.
func (d *Daemon) listen(name, address string, handler http.Handler, config *tls.Config) error {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return &listenFailed{Address: address, Cause: err}
	}
	if config == nil && !d.settings.TLS.AllowPlain {
		_ = bound.Close()
		return &identity.PlainRefused{Address: address}
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	created := &server{
		name:     name,
		listener: &gatedListener{Listener: bound, gate: d.gate},
		http: &http.Server{
			Handler:           handler,
			TLSConfig:         config,
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			BaseContext:       func(net.Listener) context.Context { return d.context },
		},
	}
	d.servers = append(d.servers, created)
	d.task(func() { created.serve(config != nil) })
	return nil
}

func (s *server) serve(secured bool) {
	var err error
	if secured {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		eventServeFailed.Log("listener", s.name, "cause", err)
	}
}

func (d *Daemon) closeListeners() {
	for _, each := range d.servers {
		_ = each.http.Close()
	}
}

// counted counts the requests under way, for the planned stop.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		d.active.begin()
		defer d.active.end()
		next.ServeHTTP(writer, request)
	})
}

// refusal returns why callers' requests are refused as a whole, or nil.
func (d *Daemon) refusal() failure.Failure {
	if d.applied.Load() == 0 {
		return &failure.NotReady{Missing: "a configuration that the platform or a peer vouches for"}
	}
	if d.core.Load() == nil {
		return &failure.NotReady{Missing: "replicas"}
	}
	return nil
}
