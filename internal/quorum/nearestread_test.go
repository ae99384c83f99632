package quorum

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// lateReader answers reads after a delay, without a turn, and counts them. Without records of its seat its
// answers prove nothing.
type lateReader struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	delay time.Duration
	reads atomic.Int64
}

func (r *lateReader) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	r.reads.Add(1)
	time.Sleep(r.delay)
	return connect.NewResponse(&replicav1.ReadChainResponse{Standing: &replicav1.Standing{Epoch: request.Msg.Epoch, Member: true}}), nil
}

// start serves the reader and returns a client of a group with it alone, and the number of its connections.
func (r *lateReader) start(t *testing.T) (*Client, *atomic.Int64) {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(r))
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 0, Node: "n0", Address: strings.TrimPrefix(server.URL, "http://")}}}
	return NewClient(&staticGroup{group}, "", &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: MaxMemberCalls}}), &connections
}

func TestReadThatIsNoLongerNeededCostsNoConnection(t *testing.T) {
	const reads = 10
	reader := &lateReader{delay: 20 * time.Millisecond}
	client, connections := reader.start(t)
	for range reads {
		ctx, cancel := context.WithTimeout(t.Context(), reader.delay/2)
		_, err := client.Chain(ctx, Scope{Program: "p"}, "turn")
		cancel()
		require.Error(t, err)
		time.Sleep(reader.delay)
	}
	require.Less(t, connections.Load(), int64(reads/2))
}

func TestReadsThatProveNothingAreRepeatedLessAndLessOften(t *testing.T) {
	reader := &lateReader{}
	client, _ := reader.start(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := client.Chain(ctx, Scope{Program: "p"}, "turn")
	require.Error(t, err)
	require.Less(t, reader.reads.Load(), int64(8))
}
