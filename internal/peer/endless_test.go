package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1/peerv1connect"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	// longMessageBytes is within the bound of one message, and two are beyond that of all.
	longMessageBytes = 40 << 20
	// partBytes and manyParts are messages of one stream that together are beyond the bound of all.
	partBytes = 1 << 20
	manyParts = 80
)

// serveHTTP2 serves without encryption, and returns the address.
func serveHTTP2(t *testing.T, handler http.Handler) string {
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against answers of daemons that never end and fill the memory of those who asked.
func TestAnswersOfDaemonsWithoutEndShareABound(t *testing.T) {
	address := serveHTTP2(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(make([]byte, longMessageBytes))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	client := clientOf(t, "one", address)
	transporttest.RequireMaxHeld(t, 4, 1, func(ctx context.Context) error {
		_, err := client.Inspect(ctx, address)
		return err
	})
}

// Guards against calls of daemons that never end and fill the memory of those who are called.
func TestCallsOfDaemonsWithoutEndShareABound(t *testing.T) {
	address := serveHTTP2(t, NewServer("daemon-1", "one", &heard{}, telemetry.NewRegistry()))
	client := clientOf(t, "one", address)
	transporttest.RequireMaxHeld(t, 4, 1, func(ctx context.Context) error {
		body := io.MultiReader(strings.NewReader(strings.Repeat("\x00", longMessageBytes)), endOf(ctx))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+peerv1connect.PeerServiceGossipProcedure, body)
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/proto")
		response, err := client.http.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		require.Contains(t, string(content), "no room for")
		return connect.NewError(connect.CodeResourceExhausted, nil)
	})
}

// Guards against heads of daemons' answers that fill the memory of those who asked.
func TestHeadOfADaemonsAnswerBeyondItsBoundIsRefused(t *testing.T) {
	for headBytes, isRefused := range map[int]bool{transport.MaxResponseHeadBytes / 2: false, 2 * transport.MaxResponseHeadBytes: true} {
		address := serveHTTP2(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			w.Header().Set("Filler", strings.Repeat("x", headBytes))
		}))
		_, err := clientOf(t, "one", address).Inspect(t.Context(), address)
		require.Equal(t, isRefused, err != nil, "head of %d bytes: %v", headBytes, err)
	}
}

// Guards against compressed calls of daemons, which hold more than was counted of them.
func TestCompressedCallOfADaemonIsRefused(t *testing.T) {
	handler := &heard{}
	address := serveHTTP2(t, NewServer("daemon-1", "one", handler, telemetry.NewRegistry()))
	calls := peerv1connect.NewPeerServiceClient(clientOf(t, "one", address).http, "http://"+address, connect.WithSendGzip())
	_, err := calls.Gossip(t.Context(), connect.NewRequest(&gossipv1.Message{From: "daemon-2"}))
	require.Equal(t, connect.CodeUnimplemented, connect.CodeOf(err))
	require.Zero(t, handler.calls.Load())
}

// endOf returns a reader without bytes that ends with a context.
func endOf(ctx context.Context) io.Reader {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	return reader
}

// forwarding answers a forwarded request with many events.
type forwarding struct{ heard }

func (f *forwarding) Forwarded(_ context.Context, _ *peerv1.ForwardRequest, send func(*peerv1.ForwardEvent) error) error {
	for range manyParts {
		if err := send(&peerv1.ForwardEvent{Event: &peerv1.ForwardEvent_Body{Body: make([]byte, partBytes)}}); err != nil {
			return err
		}
	}
	return nil
}

// Guards against streams that are broken off although each of their messages is small.
func TestStreamsOfDaemonsAreBoundedByMessageAndNotAsAWhole(t *testing.T) {
	handler := &forwarding{}
	address := listen(t, "one", handler)
	client := clientOf(t, "one", address)
	received := 0
	require.NoError(t, client.Forward(t.Context(), address, &peerv1.ForwardRequest{}, func(*peerv1.ForwardEvent) error {
		received++
		return nil
	}))
	require.Equal(t, manyParts, received)
	for range manyParts {
		client.Send(structs.NodeID("daemon-1"), &journalv1.Batch{FromNode: strings.Repeat("x", partBytes)})
	}
	require.Eventually(t, func() bool { return handler.calls.Load() == manyParts }, settles, polls)
}
