package directory

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// drainChange returns a watch event that starts or ends the drain of a zone.
func drainChange(zone string, deleted bool) Change {
	return Change{Object: Object{Name: zone, ZoneDrain: &ZoneDrain{Zone: zone}}, Deleted: deleted}
}

func TestStaleZoneDrainsAreIgnored(t *testing.T) {
	state := NewState(time.Now, nil)
	require.False(t, state.View().Drains.Known())
	state.ReplaceZoneDrains([]string{"a"}, 10)
	state.ReplaceZoneDrains(nil, 9)
	require.True(t, state.View().Drains.Has("a"), "an older list")
	state.ReplaceZoneDrains(nil, 10)
	require.True(t, state.View().Drains.Has("a"), "a list of the same revision")
	state.ApplyZoneDrainChanges([]Change{drainChange("a", true)}, 8)
	require.True(t, state.View().Drains.Has("a"), "an older change")
	state.ApplyDrainedZoneList(&replicav1.DrainedZoneList{Revision: 7})
	state.ApplyDrainedZoneList(nil)
	require.True(t, state.View().Drains.Has("a"))
}

func TestNewerZoneDrainListReplacesAllZones(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceZoneDrains([]string{"a", "b"}, 10)
	state.ReplaceZoneDrains([]string{"c"}, 11)
	require.Equal(t, []string{"c"}, state.View().Drains.Zones())
	state.ReplaceZoneDrains(nil, 12)
	require.Empty(t, state.View().Drains.Zones())
	require.True(t, state.View().Drains.Known(), "an empty list is a known state")
}

func TestZoneDrainChangesAgreeWithList(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceZoneDrains([]string{"a"}, 10)
	previous := state.View().Drains
	state.ApplyZoneDrainChanges([]Change{drainChange("b", false), drainChange("a", true), drainChange("unknown", true)}, 14)
	require.Equal(t, []string{"b"}, state.View().Drains.Zones())
	require.Equal(t, []string{"a"}, previous.Zones(), "an earlier snapshot must not change")
	require.Nil(t, state.DrainedZoneList(14))
	require.Equal(t, []string{"b"}, state.DrainedZoneList(13).Zones)

	other := NewState(time.Now, nil)
	other.ApplyDrainedZoneList(state.DrainedZoneList(0))
	require.Equal(t, state.View().Drains, other.View().Drains)
}

// TestZoneDrainsReflectNewestRevision applies lists and changes of random revisions in any order,
// as they arrive from replicas and the store, and expects the state of the newest revision.
func TestZoneDrainsReflectNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []map[string]bool{{}}
		changes := [][]Change{nil}
		for range rapid.IntRange(1, 12).Draw(t, "writes") {
			last := history[len(history)-1]
			next := make(map[string]bool)
			for zone := range last {
				next[zone] = true
			}
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			if last[zone] {
				delete(next, zone)
			} else {
				next[zone] = true
			}
			history, changes = append(history, next), append(changes, []Change{drainChange(zone, last[zone])})
		}
		state := NewState(time.Now, nil)
		newest := 0
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			revision := rapid.IntRange(0, len(history)-1).Draw(t, "revision")
			from := rapid.IntRange(0, revision).Draw(t, "from")
			if newest > 0 && from < newest && rapid.Bool().Draw(t, "watch") {
				// A watch starts at the revision of a list and returns all changes since.
				state.ApplyZoneDrainChanges(slices.Concat(changes[from+1:revision+1]...), int64(revision+1))
			} else {
				zones := make([]string, 0)
				for zone := range history[revision] {
					zones = append(zones, zone)
				}
				state.ReplaceZoneDrains(zones, int64(revision+1))
			}
			newest = max(newest, revision)
			require.Equal(t, int64(newest+1), state.View().Drains.Revision)
			for _, zone := range []string{"a", "b", "c"} {
				require.Equal(t, history[newest][zone], state.View().Drains.Has(zone), zone)
			}
		}
	})
}

// countingStore answers every call and counts the calls by kind.
type countingStore struct {
	Store
	mutex     sync.Mutex
	listCalls map[Kind]int
	// drainWatchTimeout is the timeout of the last watch of zone drains.
	drainWatchTimeout time.Duration
}

func (o *countingStore) List(_ context.Context, kind Kind) (Listing, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.listCalls[kind]++
	listing := Listing{Revision: 5}
	if kind == KindZoneDrain {
		listing.Objects = []Object{{Name: "a", ZoneDrain: &ZoneDrain{Zone: "a"}}}
	}
	return listing, nil
}

func (o *countingStore) Watch(ctx context.Context, kind Kind, revision int64, timeout time.Duration) ([]Change, int64, error) {
	if kind == KindZoneDrain && revision == 5 {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.drainWatchTimeout = timeout
		return []Change{drainChange("b", false)}, 6, nil
	}
	<-ctx.Done()
	return nil, 0, &StoreUnreachable{Cause: ctx.Err()}
}

func (o *countingStore) listCount(kind Kind) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.listCalls[kind]
}

func TestZoneDrainsAreWatchedOnlyIfEnabled(t *testing.T) {
	const testTimeout, pollInterval = time.Minute, 5 * time.Millisecond
	for _, enabled := range []bool{false, true} {
		store := &countingStore{listCalls: make(map[Kind]int)}
		state := NewState(time.Now, nil)
		watcher := NewWatcher(store, state, ReplicaTimings)
		if enabled {
			watcher.EnableZoneDrains(time.Second)
		}
		watcher.ListWorkersGroupsAndDrains(t.Context())
		require.Equal(t, enabled, state.View().Drains.Has("a"), "drains must be listed only if enabled")
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		require.Eventually(t, func() bool { return store.listCount(KindWorker) == 2 && store.listCount(KindConfiguration) == 1 }, testTimeout, pollInterval)
		if enabled {
			require.Eventually(t, func() bool { return slices.Equal(state.View().Drains.Zones(), []string{"a", "b"}) }, testTimeout, pollInterval)
			require.Equal(t, time.Second, store.drainWatchTimeout)
		} else {
			require.Zero(t, store.listCount(KindZoneDrain))
		}
		cancel()
	}
}

func TestInitialBackoffIsLongerWithZoneDrains(t *testing.T) {
	watcher := NewWatcher(nil, NewState(time.Now, nil), GatewayTimings)
	watcher.SetMaxBackoff(16 * time.Second)
	require.Equal(t, minInitialBackoff, watcher.initialBackoff(), "the minimum applies without zone drains")
	watcher.EnableZoneDrains(WatchTimeout)
	require.Equal(t, time.Second, watcher.initialBackoff())
	watcher.SetMaxBackoff(ReplicaTimings.MaxBackoff)
	require.Equal(t, minInitialBackoff, watcher.initialBackoff())
}
