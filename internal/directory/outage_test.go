package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unavailableStore is a store that refuses every watch and counts the calls.
type unavailableStore struct {
	Store
	mutex     sync.Mutex
	calls     map[Kind]int
	available bool
}

func (o *unavailableStore) List(context.Context, Kind) (Listing, error) {
	return Listing{Revision: 1}, nil
}

func (o *unavailableStore) Watch(ctx context.Context, kind Kind, revision int64, _ time.Duration) ([]Change, int64, error) {
	o.mutex.Lock()
	o.calls[kind]++
	available := o.available
	o.mutex.Unlock()
	if available {
		<-ctx.Done()
	}
	return nil, revision, &StoreRefused{Status: 503}
}

func (o *unavailableStore) totalCalls() (calls int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range o.calls {
		calls += each
	}
	return calls
}

// Each refused call has a cost, so only one kind may retry during an outage.
func TestOneKindRetriesForAllDuringOutage(t *testing.T) {
	store := &unavailableStore{calls: make(map[Kind]int)}
	watcher := NewWatcher(store, NewState(time.Now, nil), Timings{ConfigurationWatchTimeout: time.Second, MaxBackoff: minInitialBackoff})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	require.Eventually(t, func() bool { return store.totalCalls() >= 12 }, time.Minute, time.Millisecond)
	require.False(t, watcher.Healthy())
	store.mutex.Lock()
	retrying := 0
	for _, calls := range store.calls {
		if calls > 2 {
			retrying++
		}
	}
	store.available = true
	store.mutex.Unlock()
	require.Equal(t, 1, retrying, "the other kinds must wait for the prober")
	cancel()
	<-done
}

func TestAnotherKindRetriesAfterProberIsReleased(t *testing.T) {
	current := newOutage()
	current.probing, current.prober = true, KindWorker
	over := current.over
	current.releaseProber(KindConfiguration)
	require.True(t, current.probing, "releasing a kind that is not the prober must not end the outage")
	current.releaseProber(KindWorker)
	require.False(t, current.probing)
	select {
	case <-over:
	default:
		t.Fatal("waiting kinds were not woken")
	}
	// KindGroup becomes the prober, so its wait ends after the delay. Any other kind would wait
	// forever.
	current.waitToRetry(t.Context(), KindGroup, time.Millisecond)
	require.True(t, current.probing)
	require.Equal(t, KindGroup, current.prober)
}
