package quorum

import (
	"context"
	"errors"
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

// staticGroup is a single group that never changes.
type staticGroup struct{ group *replicav1.Group }

func (g *staticGroup) Group(uint32) *replicav1.Group         { return g.group }
func (g *staticGroup) Groups() []*replicav1.Group            { return []*replicav1.Group{g.group} }
func (*staticGroup) ApplyPeerGroup(*replicav1.Group, string) {}

// fakeMember answers appends over TCP and counts them.
type fakeMember struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	seat    uint32
	address string
	server  *http.Server

	mutex        sync.Mutex
	records      int
	programReads int
	entries      []*replicav1.Entry
	// unresponsive makes calls hang until the callers give up.
	unresponsive bool
	// diskUnavailable makes calls with records fail.
	diskUnavailable bool
}

func (m *fakeMember) Append(ctx context.Context, request *connect.Request[replicav1.AppendRequest]) (*connect.Response[replicav1.AppendResponse], error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.unresponsive {
		m.mutex.Unlock()
		<-ctx.Done()
		m.mutex.Lock()
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	if m.diskUnavailable && len(request.Msg.Records) > 0 {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("no space left on the disk"))
	}
	m.records += len(request.Msg.Records)
	if len(request.Msg.Records) == 0 {
		m.programReads += len(request.Msg.Programs)
	}
	standing := &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: m.seat, Incarnation: 1}
	response := &replicav1.AppendResponse{Standing: standing, Entries: m.entries}
	if request.Msg.Report {
		response.Report = &replicav1.ReplicaReport{DiskUnavailable: m.diskUnavailable}
	}
	return connect.NewResponse(response), nil
}

func (m *fakeMember) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	return connect.NewResponse(&replicav1.ReadChainResponse{
		Standing: &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: m.seat, Incarnation: 1},
		Turns:    []*replicav1.Turn{{Id: request.Msg.Id}},
	}), nil
}

func (m *fakeMember) counts() (records, programReads int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.records, m.programReads
}

// start listens on the member's address, or on a free port.
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

func startMembers(t *testing.T, count int) ([]*fakeMember, *staticGroup) {
	group := &staticGroup{group: &replicav1.Group{Epoch: 1}}
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

// totalCalls sums the records and program reads received by all members.
func totalCalls(members []*fakeMember) (records, programReads int) {
	for _, member := range members {
		memberRecords, memberReads := member.counts()
		records, programReads = records+memberRecords, programReads+memberReads
	}
	return records, programReads
}

// stopClock makes every round appear to take no time.
func stopClock(client *Client) {
	stoppedAt := time.Now()
	client.hedgeDelay = time.Hour
	client.now = func() time.Time { return stoppedAt }
}

func TestReservationCallsOnlyWriteQuorum(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stopClock(client)
	members[0].entries = []*replicav1.Entry{{Id: "before", Program: "p", Most: 10, Settled: true, Used: 4}}
	members[1].entries, members[2].entries = members[0].entries, members[0].entries
	ledger, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	require.EqualValues(t, 4, ledger.Committed("r"))
	records, programReads := totalCalls(members)
	require.Equal(t, 2, records)
	require.Zero(t, programReads)
	written, readAgain := client.Reservations()
	require.EqualValues(t, 1, written)
	require.Zero(t, readAgain)
}

func TestReserveRereadsWhenAnotherReservationIsUnsettled(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stopClock(client)
	for _, member := range members {
		member.entries = []*replicav1.Entry{{Id: "other", Program: "p", Most: 10}}
	}
	_, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	_, programReads := totalCalls(members)
	require.GreaterOrEqual(t, programReads, 2)
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
	_, programReads := totalCalls(members)
	require.GreaterOrEqual(t, programReads, 2)
}

func TestAppendSucceedsWithOneUnresponsiveMember(t *testing.T) {
	members, group := startMembers(t, 3)
	members[0].unresponsive = true
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
	require.Eventually(t, func() bool {
		return client.reachability.isDown(members[0].address) && client.reachability.isDown(members[1].address)
	},
		10*time.Second, time.Millisecond)
	members[0].start(t)
	members[1].start(t)
	for range cap(written) {
		require.NoError(t, <-written)
	}
}

func TestProbeIntervalGrowsWithOutage(t *testing.T) {
	require.Equal(t, minProbeInterval, probeInterval(0))
	require.Equal(t, time.Second/probeIntervalDivisor, probeInterval(time.Second))
	require.Equal(t, maxProbeInterval, probeInterval(time.Hour))
}

func TestDeferredRecordIsSentWithNextReservation(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	stopClock(client)
	client.AppendDeferred(reservation("later"))
	_, err := client.Reserve(t.Context(), reservation("r"))
	require.NoError(t, err)
	records, _ := totalCalls(members)
	require.Equal(t, 4, records, "each of two members must receive both records in one call")
	require.Empty(t, client.deferred.takeAll())
}

func TestDeferredRecordIsWrittenWithoutReservation(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	go client.RunDeferred(t.Context())
	client.AppendDeferred(reservation("later"))
	require.Eventually(t, func() bool {
		records, _ := totalCalls(members)
		return records >= 2
	}, 10*time.Second, time.Millisecond)
}

func TestDeferredRecordIsKeptAfterFailedReservation(t *testing.T) {
	client := NewClient(&staticGroup{}, "", http.DefaultClient)
	client.AppendDeferred(reservation("later"))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := client.Reserve(ctx, reservation("r"))
	require.Error(t, err)
	require.Len(t, client.deferred.takeAll(), 1)
}

func TestAnsweredSince(t *testing.T) {
	now := time.Unix(1000, 0)
	tracked := newReachability(func() time.Time { return now }, nil)
	require.False(t, tracked.answeredSince("a", now))
	now = now.Add(time.Millisecond)
	tracked.recordAnswer("a")
	require.True(t, tracked.answeredSince("a", now.Add(-1)))
	require.False(t, tracked.answeredSince("a", now))
}

// TestTurnIsSentToAtMostThreeMembersAtOnce checks that two members of five do not receive a turn,
// because the text of turns is most of the traffic between zones.
func TestTurnIsSentToAtMostThreeMembersAtOnce(t *testing.T) {
	for members, copies := range map[int]int{2: 2, 3: 3, 4: 3, 5: 3} {
		started, group := startMembers(t, members)
		client := NewClient(group, "", http.DefaultClient)
		stopClock(client)
		turn := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "t", Program: "p"}}}
		require.NoError(t, client.Append(t.Context(), "p", turn))
		require.Eventually(t, func() bool {
			records, _ := totalCalls(started)
			return records == copies
		}, time.Minute, time.Millisecond, "group of %d members", members)
	}
}

// A probe without records found a majority again and again while no record could be written, and requests waited for it.
func TestProbeFindsNoMajorityWhileItsDisksAreUnavailable(t *testing.T) {
	members, group := startMembers(t, 3)
	client := NewClient(group, "", http.DefaultClient)
	members[0].diskUnavailable, members[1].diskUnavailable = true, true
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	require.ErrorAs(t, client.probeMajority(ctx, 0), &unavailable)
	require.Equal(t, "epoch 1: n0 cannot write to its disk, n1 cannot write to its disk, n2 counts", unavailable.Shortfall.String())
	members[0].mutex.Lock()
	members[0].diskUnavailable = false
	members[0].mutex.Unlock()
	require.NoError(t, client.probeMajority(t.Context(), 0))
}
