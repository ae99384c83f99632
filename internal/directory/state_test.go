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
	require.Equal(t, uint64(7), state.View().Table.Version(), "a stale configuration must be ignored")
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
	require.Empty(t, state.View().Workers.List("s"), "draining workers are not available")
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
	available := state.View().Workers.List("s")
	require.Len(t, available, 1)
	require.Equal(t, Worker{ID: "a", Instance: "a", Service: "s"}, available[0].Worker)
	require.True(t, available[0].Lapsed)
	mutex.Lock()
	now = now.Add(lapsedGracePeriod)
	mutex.Unlock()
	state.expireLapsed()
	require.Empty(t, state.View().Workers.List("s"))
}

func TestReturningWorkerIsNoLongerLapsed(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}}, 1)
	state.ReplaceWorkers(nil, 2)
	require.True(t, state.View().Workers.List("s")[0].Lapsed)
	state.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s"}}, 3)
	available := state.View().Workers.List("s")
	require.Len(t, available, 1)
	require.Equal(t, Worker{ID: "a", Instance: "a", Service: "s"}, available[0].Worker)
	require.False(t, available[0].Lapsed)
}

func TestApplyWorkerListOfAnotherProcess(t *testing.T) {
	source, target := NewState(time.Now, nil), NewState(time.Now, nil)
	source.ReplaceWorkers([]Worker{{ID: "a", Instance: "a", Service: "s", Address: "1.2.3.4:5", Zone: "z", Slots: 3, Draining: true}}, 5)
	target.ApplyWorkerList(source.WorkerList())
	require.Equal(t, int64(5), target.WorkersRevision())
	require.Equal(t, source.WorkerList().Workers[0].Address, target.WorkerList().Workers[0].Address)
	require.True(t, target.WorkerList().Workers[0].Draining)
}

// scriptedStore returns scripted errors from watches and records their timeouts.
type scriptedStore struct {
	Store
	mutex         sync.Mutex
	listCalls     int
	watchTimeouts []time.Duration
	watchErrors   []error
	done          context.CancelFunc
}

func (s *scriptedStore) List(context.Context, Kind) (Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listCalls++
	return Listing{Revision: int64(s.listCalls)}, nil
}

func (s *scriptedStore) Watch(_ context.Context, _ Kind, revision int64, timeout time.Duration) ([]Change, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchTimeouts = append(s.watchTimeouts, timeout)
	if len(s.watchErrors) == 0 {
		s.done()
		return nil, revision, nil
	}
	err := s.watchErrors[0]
	s.watchErrors = s.watchErrors[1:]
	return nil, revision, err
}

func listAndWatch(watchErrors ...error) *scriptedStore {
	ctx, cancel := context.WithCancel(context.Background())
	store := &scriptedStore{watchErrors: watchErrors, done: cancel}
	watcher := NewWatcher(store, NewState(time.Now, nil), GatewayTimings)
	watcher.ListAndWatch(ctx, KindConfiguration, "configuration", WatchTimeout, func(Listing, []Change, int64) {})
	return store
}

func TestWatchAfterFailedCallUsesProbeTimeout(t *testing.T) {
	store := listAndWatch(&StoreRefused{Status: 503}, nil)
	require.Equal(t, []time.Duration{WatchTimeout, probeWatchTimeout, WatchTimeout}, store.watchTimeouts,
		"a store that stops answering during a watch must be detected soon")
	require.Equal(t, 1, store.listCalls, "the watch must continue from its revision")
}

func TestLostHistoryCausesNewList(t *testing.T) {
	store := listAndWatch(&HistoryLost{Revision: 1})
	require.Equal(t, 2, store.listCalls)
}
