package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// namedSystem knows one group, of a system.
type namedSystem struct{ system uint64 }

func (n namedSystem) Group(uint32) *replicav1.Group {
	return &replicav1.Group{Epoch: 1, System: n.system}
}
func (n namedSystem) Groups() []*replicav1.Group            { return []*replicav1.Group{n.Group(0)} }
func (namedSystem) ApplyPeerGroup(*replicav1.Group, string) {}

// countingReplica counts the appends that reach it.
type countingReplica struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	appends atomic.Int32
}

func (c *countingReplica) Append(context.Context, *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	c.appends.Add(1)
	return connect.NewResponse(&replicav1.AppendResponse{Standing: &replicav1.Standing{}}), nil
}

// callOf lets a process of one system append at a replica of another, and returns how many appends
// reached it.
func callOf(t *testing.T, caller, answering uint64, options ...connect.HandlerOption) (reached int32, err error) {
	replica := &countingReplica{}
	_, handler := replicav1connect.NewReplicaServiceHandler(replica, options...)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(namedSystem{caller}, "zone", http.DefaultClient)
	_, err = client.ReplicaClient(strings.TrimPrefix(server.URL, "http://")).Append(t.Context(), connect.NewRequest(&replicav1.AppendRequest{}))
	return replica.appends.Load(), err
}

func TestCallsBetweenSystemsAreRefusedAtBothEnds(t *testing.T) {
	checked := connect.WithInterceptors(VerifyCallerSystem(namedSystem{8}))
	reached, err := callOf(t, 7, 8, checked)
	require.Zero(t, reached, "nothing is read of it")
	require.True(t, unanswered(err), "a replica of another system is none that answers")

	naming := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			setSystem(response.Header().Set, 8)
			return response, err
		}
	}))
	_, err = callOf(t, 7, 8, naming)
	var refused *directory.ForeignSystem
	require.ErrorAs(t, err, &refused)

	for _, caller := range []uint64{0, 8} {
		reached, err = callOf(t, caller, 8, checked)
		require.NoError(t, err, "one that knows no system yet is let in")
		require.Equal(t, int32(1), reached)
	}
}
