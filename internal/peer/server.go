// Package peer carries messages between daemons over connect: the journal's
// and the failure detector's, and callers' requests forwarded to the leader of
// their shard. It decides nothing.
package peer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1/peerv1connect"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// Handler is what a daemon does with its peers' messages.
type Handler interface {
	// ReceiveJournal takes replication messages. It must not block for long.
	ReceiveJournal(batch *journalv1.Batch)
	// ReceiveGossip takes a failure detection or dissemination message.
	ReceiveGossip(message *gossipv1.Message)
	// Forwarded runs a caller's request here; send passes its events back.
	Forwarded(ctx context.Context, request *peerv1.ForwardRequest, send func(*peerv1.ForwardEvent) error) error
	// ReceiveLimit takes shares of tenants' rates.
	ReceiveLimit(message *limitv1.Message)
	// Inspect tells what operators ask of a daemon.
	Inspect() *peerv1.InspectResponse
	// BeginStop begins the planned stop and returns at once.
	BeginStop()
	// ConfigInForce returns the version of the configuration acted on; 0 is none.
	ConfigInForce() uint64
}

// Server serves the calls of other daemons.
type Server struct {
	node    string
	handler Handler
}

// NewServer returns the HTTP handler of the peer listener of the named node of a cluster. registry gets its metrics.
func NewServer(node, cluster string, handler Handler, registry *telemetry.Registry) http.Handler {
	inflow := newInflow()
	inflow.RegisterMetrics(registry, "calling_peers")
	mux := http.NewServeMux()
	server := &Server{node: node, handler: handler}
	path, service := peerv1connect.NewPeerServiceHandler(server, handlerOptions()...)
	mux.Handle(path, service)
	return &clusterGuard{cluster: cluster, next: inflow.NewHandler(mux)}
}

// Journal takes batches until the stream ends.
func (s *Server) Journal(_ context.Context, stream *connect.ClientStream[journalv1.Batch]) (*connect.Response[peerv1.Received], error) {
	for stream.Receive() {
		s.handler.ReceiveJournal(stream.Msg())
	}
	if err := stream.Err(); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return connect.NewResponse(&peerv1.Received{}), nil
}

// Gossip takes one message.
func (s *Server) Gossip(_ context.Context, request *connect.Request[gossipv1.Message]) (*connect.Response[peerv1.Received], error) {
	s.handler.ReceiveGossip(request.Msg)
	return connect.NewResponse(&peerv1.Received{}), nil
}

// Forward runs a caller's request; a failure travels as the last event.
func (s *Server) Forward(ctx context.Context, request *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardEvent]) error {
	err := s.handler.Forwarded(ctx, request.Msg, stream.Send)
	if err == nil {
		return nil
	}
	return stream.Send(&peerv1.ForwardEvent{Event: &peerv1.ForwardEvent_Failure{Failure: encodeFailure(err)}})
}

// Limit takes one message.
func (s *Server) Limit(_ context.Context, request *connect.Request[limitv1.Message]) (*connect.Response[peerv1.Received], error) {
	s.handler.ReceiveLimit(request.Msg)
	return connect.NewResponse(&peerv1.Received{}), nil
}

// Inspect tells what operators ask of a daemon.
func (s *Server) Inspect(context.Context, *connect.Request[peerv1.InspectRequest]) (*connect.Response[peerv1.InspectResponse], error) {
	return connect.NewResponse(s.handler.Inspect()), nil
}

// Drain begins the daemon's planned stop.
func (s *Server) Drain(context.Context, *connect.Request[peerv1.DrainRequest]) (*connect.Response[peerv1.Received], error) {
	s.handler.BeginStop()
	return connect.NewResponse(&peerv1.Received{}), nil
}

// ConfigInForce tells the version of the configuration acted on.
func (s *Server) ConfigInForce(context.Context, *connect.Request[peerv1.ConfigInForceRequest]) (*connect.Response[peerv1.ConfigInForceResponse], error) {
	return connect.NewResponse(&peerv1.ConfigInForceResponse{Node: s.node, Version: s.handler.ConfigInForce()}), nil
}
