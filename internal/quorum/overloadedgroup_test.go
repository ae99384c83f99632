package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// slowReplica takes callCost for each call, one after the other, also for those that it rejects.
type slowReplica struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	processor                    sync.Mutex
	inFlight, answered, rejected atomic.Int64
}

const (
	callCost            = time.Millisecond
	slowReplicaInFlight = 32
)

func (r *slowReplica) Append(_ context.Context, request *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	r.answered.Add(1)
	standing := &replicav1.Standing{Epoch: request.Msg.Epoch, Member: true, Recovered: true, Seat: 0, Incarnation: 1}
	return connect.NewResponse(&replicav1.AppendResponse{Standing: standing}), nil
}

// start serves the replica and returns its address.
func (r *slowReplica) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(r))
	rejecter := NewRejecter()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer r.inFlight.Add(-1)
		isRejected := r.inFlight.Add(1) > slowReplicaInFlight
		r.processor.Lock()
		time.Sleep(callCost)
		r.processor.Unlock()
		if isRejected {
			r.rejected.Add(1)
			_ = rejecter.Reject(w, request, &Overloaded{Limit: slowReplicaInFlight})
			return
		}
		mux.ServeHTTP(w, request)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against gateways whose retries take all the time of an overloaded replica.
func TestOverloadedReplicaSpendsItsTimeOnAnswers(t *testing.T) {
	const gateways, requestsOfEach = 24, 30
	replica := &slowReplica{}
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 0, Node: "n0", Address: replica.start(t)}}}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for range gateways {
		client := NewClient(&staticGroup{group}, "", transport.NewPeerClient(transport.Options{DialTimeout: time.Second}, MaxMemberCalls+4))
		for range requestsOfEach {
			callers.Go(func() {
				for ctx.Err() == nil {
					_ = client.Append(ctx, "p", reservation("r"))
				}
			})
		}
	}
	callers.Wait()
	t.Logf("answered %d, rejected %d", replica.answered.Load(), replica.rejected.Load())
	require.Less(t, replica.rejected.Load(), replica.answered.Load()/2)
}
