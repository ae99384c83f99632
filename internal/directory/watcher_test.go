package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// hangingStore is a store that stops answering. Watches of workers and groups block until they are
// canceled. Watches of the configuration fail when the test closes the channel.
type hangingStore struct {
	Store
	fail chan struct{}

	mutex   sync.Mutex
	watches map[Kind]int
}

func (o *hangingStore) List(context.Context, Kind) (Listing, error) {
	return Listing{Revision: 1}, nil
}

func (o *hangingStore) Watch(ctx context.Context, kind Kind, _ int64, _ time.Duration) ([]Change, int64, error) {
	o.mutex.Lock()
	o.watches[kind]++
	o.mutex.Unlock()
	if kind == KindConfiguration {
		select {
		case <-o.fail:
		case <-ctx.Done():
		}
		return nil, 0, &StoreUnreachable{Cause: context.DeadlineExceeded}
	}
	<-ctx.Done()
	return nil, 0, &StoreUnreachable{Cause: ctx.Err()}
}

func (o *hangingStore) watchCount(kind Kind) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.watches[kind]
}

// A watch on a dead connection must not delay updates until its timeout.
func TestWatchIsCanceledWhenAnotherKindFails(t *testing.T) {
	const testTimeout, pollInterval = time.Minute, 5 * time.Millisecond
	store := &hangingStore{fail: make(chan struct{}), watches: make(map[Kind]int)}
	watcher := NewWatcher(store, NewState(time.Now, nil), ReplicaTimings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.Run(ctx)
	waiting := func() bool { return store.watchCount(KindWorker) == 1 && store.watchCount(KindGroup) == 1 }
	require.Eventually(t, waiting, testTimeout, pollInterval)
	require.False(t, func() bool { return watcher.failingKinds.Load() > 0 }())
	close(store.fail)
	restarted := func() bool { return store.watchCount(KindWorker) > 1 && store.watchCount(KindGroup) > 1 }
	require.Eventually(t, restarted, testTimeout, pollInterval)
}

// singleObjectStore returns one worker or one group from each list.
type singleObjectStore struct {
	Store
}

func (singleObjectStore) List(_ context.Context, kind Kind) (Listing, error) {
	if kind == KindWorker {
		return Listing{Revision: 5, Objects: []Object{{Name: "w", Worker: &Worker{ID: "w", Instance: "w", Service: "s"}}}}, nil
	}
	return Listing{Revision: 5, Objects: []Object{{Name: GroupName(0), Group: &replicav1.Group{Epoch: 3}}}}, nil
}

func TestListWorkersGroupsAndDrains(t *testing.T) {
	state := NewState(time.Now, nil)
	NewWatcher(singleObjectStore{}, state, GatewayTimings).ListWorkersGroupsAndDrains(t.Context())
	require.Len(t, state.View().Workers.List("s"), 1)
	require.EqualValues(t, 3, state.Group(0).Epoch)
	require.EqualValues(t, 5, state.WorkersRevision())
}
