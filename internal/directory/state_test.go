package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ApplyConfiguration(&route.Configuration{Version: 7})
	state.ApplyConfiguration(&route.Configuration{Version: 4})
	require.Equal(t, uint64(7), state.View().Table.Version(), "a stale read changes nothing")
	state.ApplyConfiguration(&route.Configuration{})
	require.Equal(t, uint64(7), state.View().Table.Version())
}

func TestOlderGroupIsIgnored(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 3}, "")
	state.ApplyPeerGroup(&replicav1.Group{Epoch: 2}, "")
	state.ApplyPeerGroup(nil, "")
	require.Equal(t, uint64(3), state.Group(0).Epoch)
}

func TestStaleWorkersAreIgnored(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}}, 10)
	state.ReplaceWorkers(nil, 9)
	require.Len(t, state.View().Workers.List("s"), 1)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a", Worker: &Worker{ID: "a", Instance: "a", Service: "s", Draining: true}}}}, 11)
	require.Empty(t, state.View().Workers.List("s"), "draining workers take no new work")
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a", Worker: &Worker{ID: "a", Instance: "a", Service: "s"}}}}, 8)
	require.Empty(t, state.View().Workers.List("s"))
}

func TestLapsedWorkerExpiresAfterGracePeriod(t *testing.T) {
	now := time.Unix(100, 0)
	var mutex sync.Mutex
	clock := func() time.Time {
		mutex.Lock()
		defer mutex.Unlock()
		return now
	}
	state := NewState(clock, nil)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}, {ID: "b", Instance: "b", Service: "s", Draining: true}}, 1)
	state.ApplyWorkerChanges([]Change{{Object: Object{Name: "a"}, Deleted: true}, {Object: Object{Name: "b"}, Deleted: true}}, 2)
	last := state.View().Workers.List("s")
	require.Len(t, last, 1)
	require.Equal(t, Worker{ID: "a", Instance: "a", Service: "s"}, last[0].Worker)
	require.True(t, last[0].Lapsed)
	mutex.Lock()
	now = now.Add(lapseGrace)
	mutex.Unlock()
	state.expire()
	require.Empty(t, state.View().Workers.List("s"))
}

func TestReturningWorkerIsNoLongerLapsed(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}}, 1)
	state.ReplaceWorkers(nil, 2)
	require.True(t, state.View().Workers.List("s")[0].Lapsed)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}}, 3)
	back := state.View().Workers.List("s")
	require.Len(t, back, 1)
	require.Equal(t, Worker{ID: "a", Instance: "a", Service: "s"}, back[0].Worker)
	require.False(t, back[0].Lapsed)
}

func TestApplyWorkerListOfAnotherProcess(t *testing.T) {
	from, to := NewState(time.Now, nil), NewState(time.Now, nil)
	from.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s", Address: "1.2.3.4:5", Zone: "z", Slots: 3, Draining: true}}, 5)
	to.ApplyWorkerList(from.WorkerList())
	require.Equal(t, int64(5), to.WorkersRevision())
	require.Equal(t, from.WorkerList().Workers[0].Address, to.WorkerList().Workers[0].Address)
	require.True(t, to.WorkerList().Workers[0].Draining)
}

// scriptedObjects answers calls from a script and notes the waits of watches.
type scriptedObjects struct {
	Store
	mutex   sync.Mutex
	lists   int
	watches []time.Duration
	answers []error
	done    context.CancelFunc
}

func (s *scriptedObjects) List(context.Context, Kind) (Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	return Listing{Revision: int64(s.lists)}, nil
}

func (s *scriptedObjects) Watch(_ context.Context, _ Kind, revision int64, wait time.Duration) ([]Change, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches = append(s.watches, wait)
	if len(s.answers) == 0 {
		s.done()
		return nil, revision, nil
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return nil, revision, answer
}

func follow(answers ...error) *scriptedObjects {
	ctx, cancel := context.WithCancel(context.Background())
	objects := &scriptedObjects{answers: answers, done: cancel}
	feed := NewWatcher(objects, NewState(time.Now, nil), GatewayTimings)
	feed.ListAndWatch(ctx, KindConfiguration, "configuration", WatchTimeout, func(Listing, []Change, int64) {})
	return objects
}

func TestWatchAfterFailedCallUsesProbeTimeout(t *testing.T) {
	objects := follow(&StoreRefused{Status: 503}, nil)
	require.Equal(t, []time.Duration{WatchTimeout, probeWait, WatchTimeout}, objects.watches,
		"a store that has fallen silent in the middle of a watch must show soon")
	require.Equal(t, 1, objects.lists, "the watch goes on where it was")
}

func TestLostHistoryCausesNewList(t *testing.T) {
	objects := follow(&HistoryLost{Revision: 1})
	require.Equal(t, 2, objects.lists)
}
