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

// clientCutOffFrom returns a client whose connections to some addresses hang, as if the network
// dropped all packets to them.
func clientCutOffFrom(addresses ...string) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, unreachable := range addresses {
				if address == unreachable {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// startForwarder starts a forwarder and returns its address.
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
	cutOff := NewClient(group, "", clientCutOffFrom(members[0].address, members[1].address, members[2].address))
	cutOff.forwarders.set([]string{"127.0.0.1:1", startForwarder(t, other)})
	for range 3 {
		ledger, err := cutOff.Reserve(t.Context(), reservation("r"))
		require.NoError(t, err)
		require.Zero(t, ledger.Committed("r"))
	}
	records, _ := totalCalls(members)
	require.GreaterOrEqual(t, records, 2)
	require.Positive(t, cutOff.ForwardedCalls())
}

func TestChainIsForwardedWhenMembersAreUnreachable(t *testing.T) {
	members, group := startMembers(t, 2)
	other := NewClient(group, "", http.DefaultClient)
	cutOff := NewClient(group, "", clientCutOffFrom(members[0].address, members[1].address))
	cutOff.forwarders.set([]string{startForwarder(t, other)})
	turns, err := cutOff.Chain(t.Context(), Scope{Program: "p"}, "t")
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
	forwarder.inFlight.Store(maxIncomingForwards)
	_, err := forwarder.Forward(t.Context(), connect.NewRequest(&replicav1.ForwardRequest{Address: members[0].address}))
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}

func TestForwardersDigestIgnoresOrder(t *testing.T) {
	require.Zero(t, ForwardersDigest(nil))
	require.Equal(t, ForwardersDigest([]string{"a", "b"}), ForwardersDigest([]string{"b", "a"}))
	require.NotEqual(t, ForwardersDigest([]string{"a"}), ForwardersDigest([]string{"b"}))
}

// TestWriteDeferredHonorsShutdownDeadline writes records while no replica is reachable, with a
// deadline shorter than deferredWriteTimeout. A process that shuts down must finish within its
// grace period.
func TestWriteDeferredHonorsShutdownDeadline(t *testing.T) {
	members, group := startMembers(t, 2)
	cutOff := NewClient(group, "", clientCutOffFrom(members[0].address, members[1].address))
	cutOff.AppendDeferred(reservation("r"))
	shutdownCtx, cancel := context.WithTimeout(t.Context(), deferredWriteTimeout/30)
	defer cancel()
	startedAt := time.Now()
	cutOff.WriteDeferred(shutdownCtx)
	require.Less(t, time.Since(startedAt), deferredWriteTimeout/2)
}

// Guards against forwarding that ends for good: calls beyond the limit were counted and never taken back.
func TestForwardingGoesOnAfterTooManyCallsAtOnce(t *testing.T) {
	members, group := startMembers(t, 3)
	other := NewClient(group, "", http.DefaultClient)
	cutOff := NewClient(group, "", clientCutOffFrom(members[0].address, members[1].address, members[2].address))
	cutOff.forwarders.set([]string{startForwarder(t, other)})
	request := &replicav1.ForwardRequest{Address: members[0].address, Call: &replicav1.ForwardRequest_Append{Append: &replicav1.AppendRequest{Epoch: 1}}}
	cutOff.forwarders.inFlight.Add(maxOutgoingForwards)
	for range maxOutgoingForwards {
		require.Nil(t, cutOff.forward(t.Context(), request), "too many are in flight")
	}
	cutOff.forwarders.inFlight.Add(-maxOutgoingForwards)
	require.NotNil(t, cutOff.forward(t.Context(), request))
}
