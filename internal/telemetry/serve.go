package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

const headerTimeout = 5 * time.Second

// Serve serves liveness, readiness and metrics on an address of their own until
// ctx ends. An empty address serves none.
func Serve(ctx context.Context, address string, registry *Registry, ready func() Readiness) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	mux := http.NewServeMux()
	Mount(mux, registry, ready)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	return nil
}
