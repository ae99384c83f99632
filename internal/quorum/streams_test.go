package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// streamReplica knows starts of streams of one content, and for how long each version has had workers.
type streamReplica struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	seat     uint32
	starts   map[string]string
	knownFor map[string]time.Duration
	silent   bool
	delay    time.Duration
}

func (r *streamReplica) ReadStream(ctx context.Context, request *connect.Request[replicav1.ReadStreamRequest]) (*connect.Response[replicav1.ReadStreamResponse], error) {
	if r.silent {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	time.Sleep(r.delay)
	response := &replicav1.ReadStreamResponse{Standing: &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: r.seat, Incarnation: 1}}
	for begunBy, version := range r.starts {
		if request.Msg.Request == "" || request.Msg.Request == begunBy {
			response.Starts = append(response.Starts, &replicav1.StreamStart{Content: request.Msg.Content, Request: begunBy, Version: version})
		}
	}
	for version, known := range r.knownFor {
		response.Versions = append(response.Versions, &replicav1.KnownVersion{Version: version, KnownMs: uint64(known.Milliseconds())})
	}
	return connect.NewResponse(response), nil
}

// startStreamReplicas returns a client of a group of the replicas.
func startStreamReplicas(t *testing.T, replicas ...*streamReplica) *Client {
	group := &replicav1.Group{Epoch: 1}
	for seat, replica := range replicas {
		replica.seat = uint32(seat)
		mux := http.NewServeMux()
		mux.Handle(replicav1connect.NewReplicaServiceHandler(replica))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat), Node: string(rune('a' + seat)), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return NewClient(&staticGroup{group}, "", http.DefaultClient)
}

func TestStreamsKnownToDifferentReplicasAreAmbiguousWithoutAName(t *testing.T) {
	client := startStreamReplicas(t,
		&streamReplica{starts: map[string]string{"first": "v1"}}, &streamReplica{starts: map[string]string{"other": "v2"}}, &streamReplica{silent: true})
	for range 20 {
		_, err := client.StreamOrigin(t.Context(), StreamID{Content: "c"}, "model")
		var unknown *UnknownStream
		require.ErrorAs(t, err, &unknown)
		require.True(t, unknown.Ambiguous)
	}
	origin, err := client.StreamOrigin(t.Context(), StreamID{Content: "c", Request: "other"}, "model")
	require.NoError(t, err)
	require.Equal(t, "v2", origin.Version)
}

func TestAgeOfVersionIsThatOfTheReplicaThatHasKnownItLongest(t *testing.T) {
	starts := map[string]string{"first": "v2"}
	client := startStreamReplicas(t,
		&streamReplica{starts: starts, knownFor: map[string]time.Duration{"v1": time.Hour, "v2": 2 * time.Second}},
		&streamReplica{starts: starts, knownFor: map[string]time.Duration{"v1": time.Minute, "v2": 5 * time.Second}},
		&streamReplica{silent: true})
	origin, err := client.StreamOrigin(t.Context(), StreamID{Content: "c"}, "model")
	require.NoError(t, err)
	require.Equal(t, StreamOrigin{Version: "v2", KnownFor: 5 * time.Second}, origin)
}

// Guards against streams that are refused because the replicas that answer first have just started.
func TestReplicaThatAnswersALittleLaterIsHeardForTheAgeOfAVersion(t *testing.T) {
	starts := map[string]string{"first": "v1"}
	client := startStreamReplicas(t, &streamReplica{starts: starts}, &streamReplica{starts: starts},
		&streamReplica{starts: starts, delay: readHedgeDelay / 3, knownFor: map[string]time.Duration{"v1": time.Hour}})
	origin, err := client.StreamOrigin(t.Context(), StreamID{Content: "c"}, "model")
	require.NoError(t, err)
	require.Equal(t, time.Hour, origin.KnownFor)
}

func TestAgeThatFitsNoDurationIsBounded(t *testing.T) {
	known := &replicav1.ReadStreamResponse{
		Starts: []*replicav1.StreamStart{{Version: "v"}}, Versions: []*replicav1.KnownVersion{{Version: "v", KnownMs: 1<<64 - 1}},
	}
	origin, err := originOf(StreamID{}, []*replicav1.ReadStreamResponse{known})
	require.NoError(t, err)
	require.Greater(t, origin.KnownFor, time.Hour)
}
