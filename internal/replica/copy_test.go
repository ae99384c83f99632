package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// flakySource passes on sourceParts parts, one record each, and refuses every second
// call.
type flakySource struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	standing *replicav1.Standing

	mutex sync.Mutex
	calls int
	// sent counts how often each part was passed on.
	sent map[uint64]int
}

const sourceParts = 6

func (s *flakySource) Announce(context.Context, *connect.Request[replicav1.AnnounceRequest]) (*connect.Response[replicav1.AnnounceResponse], error) {
	return connect.NewResponse(&replicav1.AnnounceResponse{Standing: s.standing}), nil
}

func (s *flakySource) Pull(_ context.Context, request *connect.Request[replicav1.PullRequest]) (*connect.Response[replicav1.PullResponse], error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.calls%2 == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("broken off"))
	}
	at := request.Msg.After
	response := &replicav1.PullResponse{Life: 1, Standing: s.standing, Next: at}
	if at < sourceParts {
		s.sent[at]++
		response.Next, response.More = at+1, at+1 < sourceParts
		turn := &replicav1.Turn{Id: fmt.Sprintf("t%d", at), Output: make([]byte, 1000)}
		response.Records = []*replicav1.Record{{Kind: &replicav1.Record_Turn{Turn: turn}}}
	}
	return connect.NewResponse(response), nil
}

// copier returns a replica that is to fill the last seat of a group, and the sources
// behind the other seats.
func copier(t *testing.T, seats int) (*Replica, *replicav1.Group, []*flakySource) {
	group := &replicav1.Group{Epoch: 1, Target: uint32(seats)}
	var sources []*flakySource
	for seat := range seats {
		member := &replicav1.Member{Seat: uint32(seat), Node: fmt.Sprintf("n%d", seat), Claim: 1}
		group.Members = append(group.Members, member)
		if seat == seats-1 {
			break
		}
		source := &flakySource{
			sent:     make(map[uint64]int),
			standing: &replicav1.Standing{Epoch: 1, Seat: uint32(seat), Incarnation: uint64(seat + 1), Recovered: true, Member: true, Claim: 1},
		}
		_, handler := replicav1connect.NewReplicaServiceHandler(source)
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		member.Address = strings.TrimPrefix(server.URL, "http://")
		sources = append(sources, source)
	}
	copying, err := New(Options{Node: fmt.Sprintf("n%d", seats-1), DataFolder: t.TempDir()}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { copying.state.log.Close() })
	copying.directory.ApplyGroup(group, directory.SourceStore)
	return copying, group, sources
}

// TestCopyResumesWhereItStopped: a copy that began anew after each break moved the
// same records again and again, and kept its sources from their other work.
func TestCopyResumesWhereItStopped(t *testing.T) {
	copying, group, sources := copier(t, 3)
	member := group.Members[2]
	filling := &seat{replica: copying}
	for attempt := 0; ; attempt++ {
		require.Less(t, attempt, 4*sourceParts, "the copy does not come to its end")
		filling.fill(t.Context(), group, member)
		if copying.state.currentIdentity(0).Recovered {
			break
		}
	}
	for _, source := range sources {
		for part, times := range source.sent {
			require.Equal(t, 1, times, "part %d was passed on more than once", part)
		}
		require.Len(t, source.sent, sourceParts)
	}
}

func TestFirstCopyAttemptQueriesOnlyRequiredSources(t *testing.T) {
	copying, group, sources := copier(t, 5)
	(&seat{replica: copying}).fill(t.Context(), group, group.Members[4])
	asked := 0
	for _, source := range sources {
		if source.calls > 0 {
			asked++
		}
	}
	require.Equal(t, 3, asked)
}

func TestSeatInTransferIsCopiedFromPreviousHolder(t *testing.T) {
	group := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{
		{Seat: 0, Node: "a"}, {Seat: 1, Node: "b"}, {Seat: 2, Node: "d", Claim: 2, Predecessor: &replicav1.Predecessor{Node: "c", Claim: 1}},
	}}
	fresh := newSeatCopy()
	wanted, spare := fresh.wanted(group, group.Members[2], except())
	require.Len(t, spare, 2, "the others where it brings nothing soon")
	require.Len(t, wanted, 1)
	require.Equal(t, "c", wanted[0].Node)

	fresh.attemptFailed(false)
	wanted, _ = fresh.wanted(group, group.Members[2], except())
	require.Len(t, wanted, 3, "the others too once it was not enough")
}

func TestCopyBackoffGrowsWithoutProgress(t *testing.T) {
	failing := newSeatCopy()
	require.Zero(t, failing.pause())
	var pauses []time.Duration
	for range 8 {
		failing.attemptFailed(false)
		pauses = append(pauses, failing.pause())
	}
	require.Equal(t, firstCopyPause, pauses[0])
	require.Equal(t, 2*firstCopyPause, pauses[1])
	require.Equal(t, lastCopyPause, pauses[7])

	failing.attemptFailed(true)
	require.Equal(t, firstCopyPause, failing.pause(), "one that brought records begins anew")
}

func TestChunkSizeShrinksOnTimeout(t *testing.T) {
	slow := newSeatCopy().of("a")
	require.Equal(t, maxPullBytes, slow.partBytes)
	for range 10 {
		slow.timedOut()
	}
	require.Equal(t, minPullBytes, slow.partBytes)
	slow.take(&replicav1.PullResponse{Life: 1, Next: 1, More: true})
	require.Equal(t, 2*minPullBytes, slow.partBytes)
}

func TestNewSourceGenerationIsCopiedFromStart(t *testing.T) {
	copied := newSeatCopy().of("a")
	require.True(t, copied.take(&replicav1.PullResponse{Life: 1, Next: 40, More: true}))
	require.True(t, copied.take(&replicav1.PullResponse{Life: 2, Next: 60}), "positions of another life mean other records")
	require.Zero(t, copied.after)
}

// TestFirstAttemptFallsBackWhenPreviousHolderIsGone: waiting for it first cost
// 0.8 s, in which the group did not bear another lost disk.
func TestFirstAttemptFallsBackWhenPreviousHolderIsGone(t *testing.T) {
	copying, group, sources := copier(t, 3)
	release := make(chan struct{})
	gone := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(gone.Close)
	t.Cleanup(func() { close(release) })
	member := group.Members[2]
	member.Predecessor = &replicav1.Predecessor{Node: "gone", Address: strings.TrimPrefix(gone.URL, "http://")}
	identity := &replicav1.Identity{Seat: member.Seat, Claim: member.Claim, Incarnation: 9}
	filling := &seat{replica: copying, copy: newSeatCopy()}
	attempt := filling.beginAttempt(t.Context(), group, member, identity)
	defer attempt.stop()
	attempt.collect()
	require.Len(t, attempt.asked, 3)
	for _, source := range sources {
		require.NotEmpty(t, source.sent)
	}
}

// A copy waited 0.7 s and more for a member that had gone, beside one that holds everything.
func TestUnresponsiveSourceIsNotQueriedFirst(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c", "d"))
	wanted, spare := newSeatCopy().wanted(group, group.Members[3], except("a"))
	require.Equal(t, []string{"b", "c"}, nodesOf(wanted))
	require.Empty(t, spare)
}
