package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// grantingMember grants the requests that it has available.
type grantingMember struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	available atomic.Int64
	afterMs   uint32
	// notMember makes the member answer that it holds no seat; unresponsive makes it never
	// answer.
	notMember, unresponsive bool
}

func (m *grantingMember) Grant(ctx context.Context, request *connect.Request[replicav1.GrantRequest]) (*connect.Response[replicav1.GrantResponse], error) {
	if m.unresponsive {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	granted := min(m.available.Load(), int64(request.Msg.Wanted))
	m.available.Add(-granted)
	return connect.NewResponse(&replicav1.GrantResponse{
		Standing: &replicav1.Standing{Epoch: 1, Member: !m.notMember}, Granted: uint32(granted), AfterMs: m.afterMs,
	}), nil
}

// startGrantingMembers starts the members of one group and returns a client for them.
func startGrantingMembers(t *testing.T, members ...*grantingMember) *Client {
	group := &replicav1.Group{Epoch: 1}
	for seat, member := range members {
		_, handler := replicav1connect.NewReplicaServiceHandler(member)
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return NewClient(staticGroups{group}, "", http.DefaultClient)
}

// requestTenantGrant asks for the wanted number of requests.
func requestTenantGrant(t *testing.T, client *Client, wanted int) (GrantResult, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return client.Grant(ctx, TenantSubject("north"), quota.Limit{Rate: 1, Burst: 1, Version: 1}, wanted, false)
}

func TestGrantTriesNextMemberWhenOneHasNothing(t *testing.T) {
	granting := &grantingMember{}
	granting.available.Store(3)
	client := startGrantingMembers(t, &grantingMember{afterMs: 20}, &grantingMember{afterMs: 30}, granting)
	granted, err := requestTenantGrant(t, client, 5)
	require.NoError(t, err)
	require.Equal(t, 3, granted.Requests)
	granted, err = requestTenantGrant(t, client, 5)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 3, granted.Answered)
}

func TestRefusalReportsShortestRetryAfter(t *testing.T) {
	client := startGrantingMembers(t, &grantingMember{afterMs: 90}, &grantingMember{afterMs: 20}, &grantingMember{afterMs: 50})
	granted, err := requestTenantGrant(t, client, 1)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 20*time.Millisecond, granted.RetryAfter)
}

func TestMajorityCanRefuseGrant(t *testing.T) {
	client := startGrantingMembers(t, &grantingMember{}, &grantingMember{unresponsive: true}, &grantingMember{})
	granted, err := requestTenantGrant(t, client, 1)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 2, granted.Answered)
}

func TestMinorityCannotRefuseGrant(t *testing.T) {
	client := startGrantingMembers(t, &grantingMember{}, &grantingMember{notMember: true}, &grantingMember{notMember: true})
	_, err := requestTenantGrant(t, client, 1)
	var unavailable *Unavailable
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, 1, unavailable.Answered)
}

func TestUnresponsiveMemberDoesNotBlockGrant(t *testing.T) {
	granting := &grantingMember{}
	granting.available.Store(1000)
	client := startGrantingMembers(t, &grantingMember{unresponsive: true}, granting)
	for range 20 {
		granted, err := requestTenantGrant(t, client, 1)
		require.NoError(t, err)
		require.Equal(t, 1, granted.Requests)
	}
}

// TestSlowWritesDoNotDelayGrants guards against a member that does not answer and is waited for as
// long as writes to slow disks take: what the next one grants is of no use by then.
func TestSlowWritesDoNotDelayGrants(t *testing.T) {
	granting := &grantingMember{}
	granting.available.Store(1000)
	client := startGrantingMembers(t, &grantingMember{unresponsive: true}, granting)
	client.SetTopology(distance.NewTopology("near", nil))
	group := client.programGroup("north")
	group.Members[0].Zone, group.Members[1].Zone = "near", "far"
	for range 20 {
		client.callLatency.Observe(50 * time.Millisecond)
		client.callLatency.Observe(150 * time.Millisecond)
	}
	start := time.Now()
	granted, err := requestTenantGrant(t, client, 1)
	require.NoError(t, err)
	require.Equal(t, 1, granted.Requests)
	require.Less(t, time.Since(start), quota.GrantLifetime)
}

func TestGrantCountsFromWhenItsMemberWasAsked(t *testing.T) {
	granting := &grantingMember{}
	granting.available.Store(1)
	client := startGrantingMembers(t, &grantingMember{unresponsive: true}, granting)
	client.SetTopology(distance.NewTopology("near", nil))
	group := client.programGroup("north")
	group.Members[0].Zone, group.Members[1].Zone = "near", "far"
	start := time.Now()
	granted, err := requestTenantGrant(t, client, 1)
	require.NoError(t, err)
	require.GreaterOrEqual(t, granted.RequestedAt.Sub(start), grantHedgeDelay)
	require.True(t, granted.RequestedAt.Before(time.Now()))
}

// TestFailedGrantReportsShortestSilence checks that the error distinguishes members that are
// briefly slow from members that are down.
func TestFailedGrantReportsShortestSilence(t *testing.T) {
	var elapsed atomic.Int64
	members := []*replicav1.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	client := &Client{reachability: newReachability(func() time.Time { return time.Unix(1000, elapsed.Load()) }, func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	})}
	round := &grantRound{client: client, group: &replicav1.Group{Members: members}, needed: 2, answeredBy: map[string]bool{}}
	shortestSilence := func() time.Duration { return round.unavailable().(*Unavailable).ShortestSilence }
	require.Equal(t, time.Nanosecond, shortestSilence(), "no member is known to be down")
	for _, member := range members {
		client.reachability.markUnresponsive(member.Address)
		elapsed.Add(int64(time.Second))
	}
	require.Equal(t, time.Second, shortestSilence(), "the shortest silence is that of the last member marked")
	round.answeredBy["c"] = true
	require.Equal(t, 2*time.Second, shortestSilence(), "a member that answered is not silent")
}
