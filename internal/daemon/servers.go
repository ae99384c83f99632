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
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// server is one listener with its HTTP server.
type server struct {
	name     string
	secured  bool
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

// endpoint is one address of the daemon.
type endpoint struct {
	name    string
	address string
	config  *tls.Config
	// maxHeadBytes bounds the head of a request; 0 means http.DefaultMaxHeaderBytes.
	maxHeadBytes int
}

func (d *Daemon) endpoints() []endpoint {
	addresses := d.settings.Listen
	return []endpoint{
		{name: "peer", address: addresses.Peer, config: d.security.peerServerConfig(), maxHeadBytes: transport.MaxResponseHeadBytes},
		{name: "caller", address: addresses.Caller, config: d.security.serverConfig()},
		{name: "operator", address: addresses.Operator, config: d.security.serverConfig()},
	}
}

// bind takes the daemon's addresses, before anybody is told of them.
func (d *Daemon) bind() error {
	for _, each := range d.endpoints() {
		if each.config == nil && !d.settings.TLS.AllowPlain {
			return &identity.PlainRefused{Address: each.address}
		}
		bound, err := net.Listen("tcp", each.address)
		if err != nil {
			return &listenFailed{Address: each.address, Cause: err}
		}
		d.servers = append(d.servers, d.newServer(each, bound))
	}
	return nil
}

func (d *Daemon) newServer(at endpoint, bound net.Listener) *server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(at.config == nil)
	return &server{
		name:     at.name,
		secured:  at.config != nil,
		listener: &gatedListener{Listener: bound, gate: d.gate},
		http: &http.Server{
			TLSConfig:         at.config,
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    at.maxHeadBytes,
			IdleTimeout:       idleTimeout,
			BaseContext:       func(net.Listener) context.Context { return d.context },
		},
	}
}

// serve begins to answer on the addresses that bind took.
func (d *Daemon) serve() error {
	handlers, err := d.handlers()
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	for _, each := range d.servers {
		each.http.Handler = handlers[each.name]
		d.task(each.serve)
	}
	return nil
}

func (d *Daemon) handlers() (map[string]http.Handler, error) {
	callers, err := caller.NewHandler(caller.Options{
		Backend:       d.core.Load().executor,
		Authenticator: d.tenants,
		Admission:     d.admission,
		Ready:         d.refusal,
		MaxBodyBytes:  d.settings.MaxBodyBytes,
		Metrics:       caller.NewMetrics(d.registry),
	})
	if err != nil {
		return nil, err
	}
	operators, err := d.operatorHandler()
	if err != nil {
		return nil, err
	}
	return map[string]http.Handler{
		"peer":     peer.NewServer(string(d.self.ID), d.settings.ClusterName(), d, d.registry),
		"caller":   d.counted(callers),
		"operator": operators,
	}, nil
}

func (s *server) serve() {
	var err error
	if s.secured {
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
		_ = each.listener.Close()
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
