package quorum

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// fakeGroup is a group that does not change.
type fakeGroup struct{ group *replicav1.Group }

func (g *fakeGroup) Group(uint32) *replicav1.Group         { return g.group }
func (g *fakeGroup) Groups() []*replicav1.Group            { return []*replicav1.Group{g.group} }
func (*fakeGroup) ApplyPeerGroup(*replicav1.Group, string) {}

// fakeMember answers appends over TCP and counts them.
type fakeMember struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	seat    uint32
	address string
	server  *http.Server

	mutex   sync.Mutex
	records int
	sums    int
	entries []*replicav1.Entry
	// silent makes calls hang until their callers give up.
	silent bool
}

func (m *fakeMember) Append(ctx context.Context, request *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.silent {
		m.mutex.Unlock()
		<-ctx.Done()
		m.mutex.Lock()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	m.records += len(request.Msg.Records)
	if len(request.Msg.Records) == 0 {
		m.sums += len(request.Msg.Programs)
	}
	standing := &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: m.seat, Incarnation: 1}
	return connect.NewResponse(&replicav1.AppendResponse{Standing: standing, Entries: m.entries}), nil
}

func (m *fakeMember) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	return connect.NewResponse(&replicav1.ReadChainResponse{
		Standing: &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: m.seat, Incarnation: 1},
		Turns:    []*replicav1.Turn{{Id: request.Msg.Id}},
	}), nil
}

func (m *fakeMember) counts() (records, sums int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records, m.sums
}

// start listens at the member's address, or at a free one.
func (m *fakeMember) start(t *testing.T) {
	listener, err := net.Listen("tcp4", m.address)
	require.NoError(t, err)
	m.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(m))
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(listener)
	t.Cleanup(func() { m.server.Close() })
}

func startMembers(t *testing.T, count int) ([]*fakeMember, *fakeGroup) {
	group := &fakeGroup{group: &replicav1.Group{Epoch: 1}}
	var members []*fakeMember
	for seat := range count {
		member := &fakeMember{seat: uint32(seat), address: "127.0.0.1:0"}
		member.start(t)
		members = append(members, member)
		group.group.Members = append(group.group.Members, &replicav1.Member{
			Seat: member.seat, Node: fmt.Sprintf("n%d", seat), Address: member.address,
		})
	}
	return members, group
}

func reservation(id string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Reservation{
		Reservation: &replicav1.Reservation{Id: id, Program: "p", Most: 10},
	}}
}

// total sums what all members were asked.
func total(members []*fakeMember) (records, sums int) {
	for _, member := range members {
		r, s := member.counts()
		records, sums = records+r, sums+s
	}
	return records, sums
}

// stoppedClock makes every round look as if it took no time.
func stoppedClock(client *Client) {
	at := time.Now()
	client.spareAfter = time.Hour
	client.now = func() time.Time { return at }
}

func TestReservationCallsOnlyWriteQuorum(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stoppedClock(client)
	members[0].entries = []*replicav1.Entry{{Id: "before", Program: "p", Most: 10, Settled: true, Used: 4}}
	members[1].entries, members[2].entries = members[0].entries, members[0].entries
	ledger, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	require.EqualValues(t, 4, ledger.Committed("r"))
	records, sums := total(members)
	require.Equal(t, 2, records)
	require.Zero(t, sums)
	written, readAgain := client.Reservations()
	require.EqualValues(t, 1, written)
	require.Zero(t, readAgain)
}

func TestReserveRereadsWhenAnotherReservationIsUnsettled(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stoppedClock(client)
	for _, member := range members {
		member.entries = []*replicav1.Entry{{Id: "other", Program: "p", Most: 10}}
	}
	_, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	_, sums := total(members)
	require.GreaterOrEqual(t, sums, 2)
}

func TestReserveRereadsAfterSlowRound(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	var mutex sync.Mutex
	now := time.Now()
	client.now = func() time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		now = now.Add(OneRoundLimit + 1)
		return now
	}
	_, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	_, sums := total(members)
	require.GreaterOrEqual(t, sums, 2)
}

func TestAppendSucceedsWithOneUnresponsiveMember(t *testing.T) {
	members, group := startMembers(t, 3)
	members[0].silent = true
	client := NewClient(group, "", http.DefaultClient)
	for range 8 {
		require.NoError(t, client.Append(t.Context(), "p", reservation("r")))
	}
}

func TestAppendCompletesAfterMembersRestart(t *testing.T) {
	members, group := startMembers(t, 3)
	for _, member := range members {
		require.NoError(t, member.server.Close())
	}
	client := NewClient(group, "", http.DefaultClient)
	written := make(chan error, 4)
	for range cap(written) {
		go func() { written <- client.Append(t.Context(), "p", reservation("r")) }()
	}
	require.Eventually(t, func() bool { return client.reach.isDown(members[0].address) && client.reach.isDown(members[1].address) },
		10*time.Second, time.Millisecond)
	members[0].start(t)
	members[1].start(t)
	for range cap(written) {
		require.NoError(t, <-written)
	}
}

func TestProbeIntervalGrowsWithOutage(t *testing.T) {
	require.Equal(t, firstProbePause, probePause(0))
	require.Equal(t, time.Second/probeShare, probePause(time.Second))
	require.Equal(t, lastProbePause, probePause(time.Hour))
}

func TestDeferredRecordIsSentWithNextReservation(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stoppedClock(client)
	client.AppendDeferred(reservation("later"))
	_, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	records, _ := total(members)
	require.Equal(t, 4, records, "two records at two members, in one call each")
	require.Empty(t, client.deferred.take())
}

func TestDeferredRecordIsWrittenWithoutReservation(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	go client.RunDeferred(t.Context())
	client.AppendDeferred(reservation("later"))
	require.Eventually(t, func() bool {
		records, _ := total(members)
		return records >= 2
	}, 10*time.Second, time.Millisecond)
}

func TestDeferredRecordIsKeptAfterFailedReservation(t *testing.T) {
	client := NewClient(&fakeGroup{}, "", http.DefaultClient)
	client.AppendDeferred(reservation("later"))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := client.Reserve(ctx, reservation("r"))
	require.Error(t, err)
	require.Len(t, client.deferred.take(), 1)
}

func TestAnsweredSince(t *testing.T) {
	now := time.Unix(1000, 0)
	known := newReach(func() time.Time { return now }, nil)
	require.False(t, known.answeredSince("a", now))
	now = now.Add(time.Millisecond)
	known.answered("a")
	require.True(t, known.answeredSince("a", now.Add(-1)))
	require.False(t, known.answeredSince("a", now))
}

// TestTurnIsSentToAtMostThreeMembersAtOnce holds that two of five are left alone: what a turn
// says is most of what goes between zones.
func TestTurnIsSentToAtMostThreeMembersAtOnce(t *testing.T) {
	for members, copies := range map[int]int{2: 2, 3: 3, 4: 3, 5: 3} {
		started, group := startMembers(t, members)
		client := NewClient(group, "", http.DefaultClient)
		stoppedClock(client)
		turn := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "t", Program: "p"}}}
		require.NoError(t, client.Append(t.Context(), "p", turn))
		require.Eventually(t, func() bool {
			records, _ := total(started)
			return records == copies
		}, time.Minute, time.Millisecond, "of %d members", members)
	}
}
