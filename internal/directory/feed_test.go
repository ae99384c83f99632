package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// hangingObjects is a store that has fallen silent: watches of workers say
// nothing for as long as they may wait, and those of the configuration fail when
// the test says so.
type hangingObjects struct {
	Store
	fail chan struct{}

	mutex   sync.Mutex
	watches map[Kind]int
}

func (o *hangingObjects) List(context.Context, Kind) (Listing, error) {
	return Listing{Revision: 1}, nil
}

func (o *hangingObjects) Watch(ctx context.Context, kind Kind, _ int64, _ time.Duration) ([]Change, int64, error) {
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

func (o *hangingObjects) count(kind Kind) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.watches[kind]
}

// TestWatchIsCanceledWhenAnotherKindFails holds that a watch on a connection
// that says nothing more does not keep news back for its whole wait.
func TestWatchIsCanceledWhenAnotherKindFails(t *testing.T) {
	const patient, poll = time.Minute, 5 * time.Millisecond
	objects := &hangingObjects{fail: make(chan struct{}), watches: make(map[Kind]int)}
	feed := NewWatcher(objects, NewState(time.Now, nil), ReplicaTimings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go feed.Run(ctx)
	waiting := func() bool { return objects.count(KindWorker) == 1 && objects.count(KindGroup) == 1 }
	require.Eventually(t, waiting, patient, poll)
	require.False(t, func() bool { return feed.failing.Load() > 0 }())
	close(objects.fail)
	again := func() bool { return objects.count(KindWorker) > 1 && objects.count(KindGroup) > 1 }
	require.Eventually(t, again, patient, poll)
}

// listedObjects answers each list with one object.
type listedObjects struct {
	Store
}

func (listedObjects) List(_ context.Context, kind Kind) (Listing, error) {
	if kind == KindWorker {
		return Listing{Revision: 5, Objects: []Object{{Name: "w", Worker: &Worker{ID: "w", Instance: "w", Service: "s"}}}}, nil
	}
	return Listing{Revision: 5, Objects: []Object{{Name: GroupName(0), Group: &replicav1.Group{Epoch: 3}}}}, nil
}

func TestListWorkersGroupsAndDrains(t *testing.T) {
	state := NewState(time.Now, nil)
	NewWatcher(listedObjects{}, state, GatewayTimings).ListWorkersGroupsAndDrains(t.Context())
	require.Len(t, state.View().Workers.List("s"), 1)
	require.EqualValues(t, 3, state.Group(0).Epoch)
	require.EqualValues(t, 5, state.WorkersRevision())
}
