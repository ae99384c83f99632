package quorum

import (
	"context"
	"net"
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

// cutFrom is a client whose connections to some addresses are never made, as behind
// a silent partition.
func cutFrom(addresses ...string) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, cut := range addresses {
				if address == cut {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// startForwarder serves calls for others and returns its address.
func startForwarder(t *testing.T, client *Client) string {
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewForwardServiceHandler(NewForwarder(client)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestReserveIsForwardedWhenMembersAreUnreachable(t *testing.T) {
	members, group := startMembers(t, 3)
	other := NewClient(group, "", http.DefaultClient)
	cut := NewClient(group, "", cutFrom(members[0].address, members[1].address, members[2].address))
	cut.forwarders.set([]string{"127.0.0.1:1", startForwarder(t, other)})
	for range 3 {
		ledger, err := cut.Reserve(t.Context(), reservation("r"))
		require.NoError(t, err)
		require.Zero(t, ledger.Committed("r"))
	}
	records, _ := total(members)
	require.GreaterOrEqual(t, records, 2)
	require.Positive(t, cut.ForwardedCalls())
}

func TestChainIsForwardedWhenMembersAreUnreachable(t *testing.T) {
	members, group := startMembers(t, 2)
	other := NewClient(group, "", http.DefaultClient)
	cut := NewClient(group, "", cutFrom(members[0].address, members[1].address))
	cut.forwarders.set([]string{startForwarder(t, other)})
	turns, err := cut.Chain(t.Context(), Scope{Program: "p"}, "t")
	require.NoError(t, err)
	require.Equal(t, "t", turns[0].Id)
}

func TestForwarderCallsOnlyMembers(t *testing.T) {
	members, group := startMembers(t, 1)
	forwarder := NewForwarder(NewClient(group, "", http.DefaultClient))
	call := &replicav1.ForwardRequest_Append{Append: &replicav1.AppendRequest{Epoch: 1}}
	_, err := forwarder.Forward(t.Context(), connect.NewRequest(&replicav1.ForwardRequest{Address: "127.0.0.1:1", Call: call}))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	answer, err := forwarder.Forward(t.Context(), connect.NewRequest(&replicav1.ForwardRequest{Address: members[0].address, Call: call}))
	require.NoError(t, err)
	require.True(t, answer.Msg.GetAppend().Standing.Member)
}

func TestForwarderLimitsConcurrentCalls(t *testing.T) {
	members, group := startMembers(t, 1)
	forwarder := NewForwarder(NewClient(group, "", http.DefaultClient))
	forwarder.inFlight.Store(maxForwarded)
	_, err := forwarder.Forward(t.Context(), connect.NewRequest(&replicav1.ForwardRequest{Address: members[0].address}))
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}

func TestForwardersDigestIgnoresOrder(t *testing.T) {
	require.Zero(t, ForwardersDigest(nil))
	require.Equal(t, ForwardersDigest([]string{"a", "b"}), ForwardersDigest([]string{"b", "a"}))
	require.NotEqual(t, ForwardersDigest([]string{"a"}), ForwardersDigest([]string{"b"}))
}

// TestWriteDeferredHonorsShutdownDeadline writes records while no replica is
// reached, in less time than that usually gets: a process that stops must end within its
// grace.
func TestWriteDeferredHonorsShutdownDeadline(t *testing.T) {
	members, group := startMembers(t, 2)
	cut := NewClient(group, "", cutFrom(members[0].address, members[1].address))
	cut.AppendDeferred(reservation("r"))
	stopping, cancel := context.WithTimeout(t.Context(), deferredTimeout/30)
	defer cancel()
	began := time.Now()
	cut.WriteDeferred(stopping)
	require.Less(t, time.Since(began), deferredTimeout/2)
}
