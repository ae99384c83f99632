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

// flakySource serves sourceChunks chunks of one record each, and fails every second call.
type flakySource struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	standing *replicav1.Standing

	mutex sync.Mutex
	calls int
	// sent counts how often each chunk was sent.
	sent map[uint64]int
}

const sourceChunks = 6

func (s *flakySource) Announce(context.Context, *connect.Request[replicav1.AnnounceRequest]) (*connect.Response[replicav1.AnnounceResponse], error) {
	return connect.NewResponse(&replicav1.AnnounceResponse{Standing: s.standing}), nil
}

func (s *flakySource) Pull(_ context.Context, request *connect.Request[replicav1.PullRequest]) (*connect.Response[replicav1.PullResponse], error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.calls%2 == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("interrupted"))
	}
	at := request.Msg.After
	response := &replicav1.PullResponse{Life: 1, Standing: s.standing, Next: at}
	if at < sourceChunks {
		s.sent[at]++
		response.Next, response.More = at+1, at+1 < sourceChunks
		turn := &replicav1.Turn{Id: fmt.Sprintf("t%d", at), Output: make([]byte, 1000)}
		response.Records = []*replicav1.Record{{Kind: &replicav1.Record_Turn{Turn: turn}}}
	}
	return connect.NewResponse(response), nil
}

// newCopyingReplica returns a replica that fills the last seat of a group, and the sources at the
// other seats.
func newCopyingReplica(t *testing.T, seats int) (*Replica, *replicav1.Group, []*flakySource) {
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
	replica, err := New(Options{Node: fmt.Sprintf("n%d", seats-1), DataFolder: t.TempDir()}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { replica.state.log.Close() })
	replica.directory.ApplyGroup(group, directory.SourceStore)
	return replica, group, sources
}

// A copy that restarts after each interruption transfers the same records repeatedly and occupies
// its sources.
func TestCopyResumesWhereItStopped(t *testing.T) {
	replica, group, sources := newCopyingReplica(t, 3)
	member := group.Members[2]
	recovery := &seatRecovery{replica: replica}
	for attempt := 0; ; attempt++ {
		require.Less(t, attempt, 4*sourceChunks, "the copy does not finish")
		recovery.step(t.Context(), group, member)
		if replica.state.currentIdentity(0).Recovered {
			break
		}
	}
	for _, source := range sources {
		for chunk, times := range source.sent {
			require.Equal(t, 1, times, "chunk %d was sent more than once", chunk)
		}
		require.Len(t, source.sent, sourceChunks)
	}
}

func TestFirstCopyAttemptQueriesOnlyRequiredSources(t *testing.T) {
	replica, group, sources := newCopyingReplica(t, 5)
	(&seatRecovery{replica: replica}).step(t.Context(), group, group.Members[4])
	queried := 0
	for _, source := range sources {
		if source.calls > 0 {
			queried++
		}
	}
	require.Equal(t, 3, queried)
}

func TestSeatInTransferIsCopiedFromPreviousHolder(t *testing.T) {
	group := &replicav1.Group{Epoch: 2, Members: []*replicav1.Member{
		{Seat: 0, Node: "a"}, {Seat: 1, Node: "b"}, {Seat: 2, Node: "d", Claim: 2, Predecessor: &replicav1.Predecessor{Node: "c", Claim: 1}},
	}}
	fresh := newSeatCopy()
	wanted, spare := fresh.selectSources(group, group.Members[2], allExcept())
	require.Len(t, spare, 2, "the other members are the fallback")
	require.Len(t, wanted, 1)
	require.Equal(t, "c", wanted[0].Node)

	fresh.recordFailure(false)
	wanted, _ = fresh.selectSources(group, group.Members[2], allExcept())
	require.Len(t, wanted, 3, "all sources are queried after an insufficient attempt")
}

func TestCopyBackoffGrowsWithoutProgress(t *testing.T) {
	progress := newSeatCopy()
	require.Zero(t, progress.backoff())
	var delays []time.Duration
	for range 8 {
		progress.recordFailure(false)
		delays = append(delays, progress.backoff())
	}
	require.Equal(t, minCopyBackoff, delays[0])
	require.Equal(t, 2*minCopyBackoff, delays[1])
	require.Equal(t, maxCopyBackoff, delays[7])

	progress.recordFailure(true)
	require.Equal(t, minCopyBackoff, progress.backoff(), "progress resets the backoff")
}

func TestChunkSizeShrinksOnTimeout(t *testing.T) {
	progress := newSeatCopy().source("a")
	require.Equal(t, maxChunkBytes, progress.chunkBytes)
	for range 10 {
		progress.shrinkChunk()
	}
	require.Equal(t, minChunkBytes, progress.chunkBytes)
	progress.advance(&replicav1.PullResponse{Life: 1, Next: 1, More: true})
	require.Equal(t, 2*minChunkBytes, progress.chunkBytes)
}

func TestNewSourceGenerationIsCopiedFromStart(t *testing.T) {
	progress := newSeatCopy().source("a")
	require.True(t, progress.advance(&replicav1.PullResponse{Life: 1, Next: 40, More: true}))
	require.True(t, progress.advance(&replicav1.PullResponse{Life: 2, Next: 60}), "positions of another generation refer to other records")
	require.Zero(t, progress.position)
}

// Waiting for the previous holder first takes 0.8 s, in which the group does not tolerate a further
// disk loss.
func TestFirstAttemptFallsBackWhenPreviousHolderIsGone(t *testing.T) {
	replica, group, sources := newCopyingReplica(t, 3)
	release := make(chan struct{})
	gone := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(gone.Close)
	t.Cleanup(func() { close(release) })
	member := group.Members[2]
	member.Predecessor = &replicav1.Predecessor{Node: "gone", Address: strings.TrimPrefix(gone.URL, "http://")}
	identity := &replicav1.Identity{Seat: member.Seat, Claim: member.Claim, Incarnation: 9}
	recovery := &seatRecovery{replica: replica, copy: newSeatCopy()}
	attempt := recovery.startAttempt(t.Context(), group, member, identity)
	defer attempt.stop()
	attempt.collect()
	require.Len(t, attempt.queried, 3)
	for _, source := range sources {
		require.NotEmpty(t, source.sent)
	}
}

// Otherwise a copy waits 0.7 s or more for a failed member, although another source has all
// records.
func TestUnresponsiveSourceIsNotQueriedFirst(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c", "d"))
	wanted, spare := newSeatCopy().selectSources(group, group.Members[3], allExcept("a"))
	require.Equal(t, []string{"b", "c"}, nodeNames(wanted))
	require.Empty(t, spare)
}
