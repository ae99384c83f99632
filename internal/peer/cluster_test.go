package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

const (
	// settles bounds waits for what comes by itself, polls is the pause between two looks.
	settles = 30 * time.Second
	polls   = 5 * time.Millisecond
)

// heard counts the calls that reach a daemon.
type heard struct{ calls atomic.Int64 }

func (h *heard) ReceiveJournal(*journalv1.Batch)  { h.calls.Add(1) }
func (h *heard) ReceiveGossip(*gossipv1.Message)  { h.calls.Add(1) }
func (h *heard) ReceiveLimit(*limitv1.Message)    { h.calls.Add(1) }
func (h *heard) Inspect() *peerv1.InspectResponse { h.calls.Add(1); return &peerv1.InspectResponse{} }
func (h *heard) BeginStop()                       { h.calls.Add(1) }
func (h *heard) ConfigInForce() uint64            { h.calls.Add(1); return 7 }
func (h *heard) Forwarded(context.Context, *peerv1.ForwardRequest, func(*peerv1.ForwardEvent) error) error {
	h.calls.Add(1)
	return nil
}

// listen serves a daemon of a cluster and returns its address.
func listen(t *testing.T, cluster string, handler Handler) string {
	server := httptest.NewUnstartedServer(NewServer("daemon-1", cluster, handler, telemetry.NewRegistry()))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func clientOf(t *testing.T, cluster, address string) *Client {
	client := NewClient(Options{Cluster: cluster, Resolve: func(structs.NodeID) (string, bool) { return address, true }})
	t.Cleanup(client.Close)
	return client
}

// TestEveryCallOfAnotherClusterIsRefused makes each call to a daemon of its own cluster and of
// another one: the second hears none, and the caller knows that nothing ran.
func TestEveryCallOfAnotherClusterIsRefused(t *testing.T) {
	calls := map[string]func(client *Client, address string) error{
		"drain": func(client *Client, address string) error { return client.Drain(t.Context(), address) },
		"inspect": func(client *Client, address string) error {
			_, err := client.Inspect(t.Context(), address)
			return err
		},
		"config in force": func(client *Client, address string) error {
			_, err := client.ConfigInForce(t.Context(), address)
			return err
		},
		"forward": func(client *Client, address string) error {
			return client.Forward(t.Context(), address, &peerv1.ForwardRequest{}, func(*peerv1.ForwardEvent) error { return nil })
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			own := &heard{}
			address := listen(t, "one", own)
			require.NoError(t, call(clientOf(t, "one", address), address))
			require.EqualValues(t, 1, own.calls.Load())

			err := call(clientOf(t, "two", address), address)
			var other *OtherCluster
			require.ErrorAs(t, err, &other)
			require.Equal(t, OtherCluster{Called: "two", Own: "one"}, *other)
			require.Equal(t, failure.NotRun, other.Outcome())
			require.EqualValues(t, 1, own.calls.Load())
		})
	}
}

// TestWhatIsSentWithoutAnAnswerStaysInItsCluster sends the messages whose loss nobody is told of.
func TestWhatIsSentWithoutAnAnswerStaysInItsCluster(t *testing.T) {
	handler := &heard{}
	address := listen(t, "one", handler)
	send := func(client *Client) {
		client.SendGossip(structs.Node{PeerAddress: address}, &gossipv1.Message{From: "daemon-2"})
		client.SendLimit(address, &limitv1.Message{})
		client.Send("daemon-1", &journalv1.Batch{})
	}
	stranger := clientOf(t, "two", address)
	send(stranger)
	// Calls of one client share a connection, and the refusal of the last one is awaited.
	require.Error(t, stranger.Drain(t.Context(), address))
	send(clientOf(t, "one", address))
	require.Eventually(t, func() bool { return handler.calls.Load() == 3 }, settles, polls)
	require.Error(t, stranger.Drain(t.Context(), address))
	require.EqualValues(t, 3, handler.calls.Load())
}

// TestAClientThatIsClosedLeavesNoConnection holds that the name of the cluster is no wall between a client and its
// connections.
func TestAClientThatIsClosedLeavesNoConnection(t *testing.T) {
	var open atomic.Int64
	server := httptest.NewUnstartedServer(NewServer("daemon-1", "one", &heard{}, telemetry.NewRegistry()))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := clientOf(t, "one", address)
	require.NoError(t, client.Drain(t.Context(), address))
	require.EqualValues(t, 1, open.Load())
	client.Close()
	require.Eventually(t, func() bool { return open.Load() == 0 }, settles, polls)
}
