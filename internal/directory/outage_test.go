package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadObjects is a store that answers nothing and counts the calls.
type deadObjects struct {
	Store
	mutex sync.Mutex
	calls map[Kind]int
	alive bool
}

func (o *deadObjects) List(context.Context, Kind) (Listing, error) { return Listing{Revision: 1}, nil }

func (o *deadObjects) Watch(ctx context.Context, kind Kind, revision int64, _ time.Duration) ([]Change, int64, error) {
	o.mutex.Lock()
	o.calls[kind]++
	alive := o.alive
	o.mutex.Unlock()
	if alive {
		<-ctx.Done()
	}
	return nil, revision, &StoreRefused{Status: 503}
}

func (o *deadObjects) total() (calls int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range o.calls {
		calls += each
	}
	return calls
}

// TestOneKindRetriesForAllDuringOutage: each kind's calls asked for themselves,
// and each refused call has its price.
func TestOneKindRetriesForAllDuringOutage(t *testing.T) {
	objects := &deadObjects{calls: make(map[Kind]int)}
	feed := NewWatcher(objects, NewState(time.Now, nil), Timings{ConfigurationWatchTimeout: time.Second, MaxBackoff: firstRetry})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		feed.Run(ctx)
	}()
	require.Eventually(t, func() bool { return objects.total() >= 12 }, time.Minute, time.Millisecond)
	require.False(t, feed.Healthy())
	objects.mutex.Lock()
	asking := 0
	for _, calls := range objects.calls {
		if calls > 2 {
			asking++
		}
	}
	objects.alive = true
	objects.mutex.Unlock()
	require.Equal(t, 1, asking, "the other kinds wait for the one that asks")
	cancel()
	<-done
}

func TestAnotherKindRetriesAfterProberIsReleased(t *testing.T) {
	waiting := newOutage()
	waiting.probing, waiting.prober = true, KindWorker
	over := waiting.over
	waiting.leave(KindConfiguration)
	require.True(t, waiting.probing, "one that does not ask leaves nothing behind")
	waiting.leave(KindWorker)
	require.False(t, waiting.probing)
	select {
	case <-over:
	default:
		t.Fatal("those that wait are not told")
	}
	// It ends with its own time, for which a kind that does not ask would wait in vain.
	waiting.pause(t.Context(), KindGroup, time.Millisecond)
	require.True(t, waiting.probing)
	require.Equal(t, KindGroup, waiting.prober)
}
