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

// systemGroups provides one group that belongs to a system.
type systemGroups struct{ system uint64 }

func (g systemGroups) Group(uint32) *replicav1.Group {
	return &replicav1.Group{Epoch: 1, System: g.system}
}
func (g systemGroups) Groups() []*replicav1.Group            { return []*replicav1.Group{g.Group(0)} }
func (systemGroups) ApplyPeerGroup(*replicav1.Group, string) {}

// countingReplica counts the appends that reach it.
type countingReplica struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	appends atomic.Int32
}

func (c *countingReplica) Append(context.Context, *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	c.appends.Add(1)
	return connect.NewResponse(&replicav1.AppendResponse{Standing: &replicav1.Standing{}}), nil
}

// callAcrossSystems calls Append from a process of one system at a replica of another, and
// returns how many appends reached the replica.
func callAcrossSystems(t *testing.T, caller, answering uint64, options ...connect.HandlerOption) (reached int32, err error) {
	replica := &countingReplica{}
	_, handler := replicav1connect.NewReplicaServiceHandler(replica, options...)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(systemGroups{caller}, "zone", http.DefaultClient)
	_, err = client.ReplicaClient(strings.TrimPrefix(server.URL, "http://")).Append(t.Context(), connect.NewRequest(&replicav1.AppendRequest{}))
	return replica.appends.Load(), err
}

func TestCallsBetweenSystemsAreRefusedAtBothEnds(t *testing.T) {
	checked := connect.WithInterceptors(VerifyCallerSystem(systemGroups{8}))
	reached, err := callAcrossSystems(t, 7, 8, checked)
	require.Zero(t, reached, "the call must not reach the handler")
	require.True(t, isUnanswered(err), "a replica of another system must count as unanswered")

	otherSystem := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			setSystem(response.Header().Set, 8)
			return response, err
		}
	}))
	_, err = callAcrossSystems(t, 7, 8, otherSystem)
	var refused *directory.ForeignSystem
	require.ErrorAs(t, err, &refused)

	for _, caller := range []uint64{0, 8} {
		reached, err = callAcrossSystems(t, caller, 8, checked)
		require.NoError(t, err, "a caller that does not know its system yet must be accepted")
		require.Equal(t, int32(1), reached)
	}
}
