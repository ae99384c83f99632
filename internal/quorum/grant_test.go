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

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// grantingMember grants what it has.
type grantingMember struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	has     atomic.Int64
	afterMs uint32
	// stray members hold no seat; silent ones never answer.
	stray, silent bool
}

func (m *grantingMember) Grant(ctx context.Context, request *connect.Request[replicav1.GrantRequest]) (*connect.Response[replicav1.GrantResponse], error) {
	if m.silent {
		<-ctx.Done()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	granted := min(m.has.Load(), int64(request.Msg.Wanted))
	m.has.Add(-granted)
	return connect.NewResponse(&replicav1.GrantResponse{
		Standing: &replicav1.Standing{Epoch: 1, Member: !m.stray}, Granted: uint32(granted), AfterMs: m.afterMs,
	}), nil
}

// startGranting starts members of one group, and a client of them.
func startGranting(t *testing.T, members ...*grantingMember) *Client {
	group := &replicav1.Group{Epoch: 1}
	for seat, member := range members {
		_, handler := replicav1connect.NewReplicaServiceHandler(member)
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)
		t.Cleanup(server.Close)
		group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return NewClient(fixedGroups{group}, "", http.DefaultClient)
}

// grantTo asks for so many requests.
func grantTo(t *testing.T, client *Client, wanted int) (GrantResult, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return client.Grant(ctx, TenantSubject("north"), quota.Limit{Rate: 1, Burst: 1, Version: 1}, wanted, false)
}

func TestGrantTriesNextMemberWhenOneHasNothing(t *testing.T) {
	rich := &grantingMember{}
	rich.has.Store(3)
	client := startGranting(t, &grantingMember{afterMs: 20}, &grantingMember{afterMs: 30}, rich)
	granted, err := grantTo(t, client, 5)
	require.NoError(t, err)
	require.Equal(t, 3, granted.Requests)
	granted, err = grantTo(t, client, 5)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 3, granted.Answered)
}

func TestRefusalReportsShortestRetryAfter(t *testing.T) {
	client := startGranting(t, &grantingMember{afterMs: 90}, &grantingMember{afterMs: 20}, &grantingMember{afterMs: 50})
	granted, err := grantTo(t, client, 1)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 20*time.Millisecond, granted.RetryAfter)
}

func TestMajorityCanRefuseGrant(t *testing.T) {
	client := startGranting(t, &grantingMember{}, &grantingMember{silent: true}, &grantingMember{})
	granted, err := grantTo(t, client, 1)
	require.NoError(t, err)
	require.True(t, granted.Refused)
	require.Equal(t, 2, granted.Answered)
}

func TestMinorityCannotRefuseGrant(t *testing.T) {
	client := startGranting(t, &grantingMember{}, &grantingMember{stray: true}, &grantingMember{stray: true})
	_, err := grantTo(t, client, 1)
	var unavailable *Unavailable
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, 1, unavailable.Answered)
}

func TestUnresponsiveMemberDoesNotBlockGrant(t *testing.T) {
	rich := &grantingMember{}
	rich.has.Store(1000)
	client := startGranting(t, &grantingMember{silent: true}, rich)
	for range 20 {
		granted, err := grantTo(t, client, 1)
		require.NoError(t, err)
		require.Equal(t, 1, granted.Requests)
	}
}

// TestFailedGrantReportsShortestSilence holds that members which are slow are told from those
// that are away.
func TestFailedGrantReportsShortestSilence(t *testing.T) {
	var passed atomic.Int64
	members := []*replicav1.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	client := &Client{reach: newReach(func() time.Time { return time.Unix(1000, passed.Load()) }, func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	})}
	round := &grantRound{client: client, group: &replicav1.Group{Members: members}, needed: 2, answeredBy: map[string]bool{}}
	silentFor := func() time.Duration { return round.unavailable().(*Unavailable).ShortestSilence }
	require.Equal(t, time.Nanosecond, silentFor(), "all answer as far as is known")
	for _, member := range members {
		client.reach.silent(member.Address)
		passed.Add(int64(time.Second))
	}
	require.Equal(t, time.Second, silentFor(), "since the last of them")
	round.answeredBy["c"] = true
	require.Equal(t, 2*time.Second, silentFor(), "what has answered is not silent")
}
