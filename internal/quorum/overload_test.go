package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestOverloadedReplicaIsNotTakenForSilent(t *testing.T) {
	rejecter := NewRejecter()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = rejecter.Reject(w, r, &Overloaded{Limit: 7})
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	group := &replicav1.Group{Epoch: 1, Members: []*replicav1.Member{{Seat: 0, Node: "n0", Address: address}}}
	client := NewClient(&staticGroup{group}, "", http.DefaultClient)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err := client.Append(ctx, "p", reservation("r"))
	var unavailable *Unavailable
	require.ErrorAs(t, err, &unavailable)
	require.Contains(t, err.Error(), "n0 is overloaded")
	require.False(t, client.reachability.isDown(address), "it must not be probed and called through other gateways besides")
}

// Guards against a data race of all who look at the error of one call; the race run shows it.
func TestErrorOfACallIsDescribedByManyAtOnce(t *testing.T) {
	member := &fakeMember{address: "127.0.0.1:0"}
	member.start(t)
	require.NoError(t, member.server.Close())
	client := NewClient(&staticGroup{&replicav1.Group{Epoch: 1}}, "", http.DefaultClient)
	_, err := client.ReplicaClient(member.address).Append(t.Context(), connect.NewRequest(&replicav1.AppendRequest{}))
	require.Error(t, err)
	var readers sync.WaitGroup
	for range 8 {
		readers.Go(func() { require.NotEmpty(t, DescribeCallFailure(err)) })
	}
	readers.Wait()
}
