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

// drainChange is a change of one zone.
func drainChange(zone string, gone bool) Change {
	return Change{Object: Object{Name: zone, ZoneDrain: &ZoneDrain{Zone: zone}}, Deleted: gone}
}

func TestStaleZoneDrainsAreIgnored(t *testing.T) {
	state := NewState(time.Now, nil)
	require.False(t, state.View().Drains.Known())
	state.ReplaceZoneDrains([]string{"a"}, 10)
	state.ReplaceZoneDrains(nil, 9)
	require.True(t, state.View().Drains.Has("a"), "an older word")
	state.ReplaceZoneDrains(nil, 10)
	require.True(t, state.View().Drains.Has("a"), "one that is as old")
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
	require.True(t, state.View().Drains.Known(), "it is known that none is drained")
}

func TestZoneDrainChangesAgreeWithList(t *testing.T) {
	state := NewState(time.Now, nil)
	state.ReplaceZoneDrains([]string{"a"}, 10)
	before := state.View().Drains
	state.ApplyZoneDrainChanges([]Change{drainChange("b", false), drainChange("a", true), drainChange("unknown", true)}, 14)
	require.Equal(t, []string{"b"}, state.View().Drains.Zones())
	require.Equal(t, []string{"a"}, before.Zones(), "what readers hold does not change")
	require.Nil(t, state.DrainedZoneList(14))
	require.Equal(t, []string{"b"}, state.DrainedZoneList(13).Zones)

	other := NewState(time.Now, nil)
	other.ApplyDrainedZoneList(state.DrainedZoneList(0))
	require.Equal(t, state.View().Drains, other.View().Drains)
}

// TestZoneDrainsReflectNewestRevision tells a process words of the store's history
// in any order, as lists and as changes, as replicas and the store do.
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
		heard := 0
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			revision := rapid.IntRange(0, len(history)-1).Draw(t, "revision")
			from := rapid.IntRange(0, revision).Draw(t, "from")
			if heard > 0 && from < heard && rapid.Bool().Draw(t, "watch") {
				// A watch begins at a list that was taken, and tells all since.
				state.ApplyZoneDrainChanges(slices.Concat(changes[from+1:revision+1]...), int64(revision+1))
			} else {
				zones := make([]string, 0)
				for zone := range history[revision] {
					zones = append(zones, zone)
				}
				state.ReplaceZoneDrains(zones, int64(revision+1))
			}
			heard = max(heard, revision)
			require.Equal(t, int64(heard+1), state.View().Drains.Revision)
			for _, zone := range []string{"a", "b", "c"} {
				require.Equal(t, history[heard][zone], state.View().Drains.Has(zone), zone)
			}
		}
	})
}

// countingObjects answers each kind and counts its calls.
type countingObjects struct {
	Store
	mutex sync.Mutex
	lists map[Kind]int
	// drainWait is how long the last watch of drains may have lasted.
	drainWait time.Duration
}

func (o *countingObjects) List(_ context.Context, kind Kind) (Listing, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lists[kind]++
	listing := Listing{Revision: 5}
	if kind == KindZoneDrain {
		listing.Objects = []Object{{Name: "a", ZoneDrain: &ZoneDrain{Zone: "a"}}}
	}
	return listing, nil
}

func (o *countingObjects) Watch(ctx context.Context, kind Kind, revision int64, wait time.Duration) ([]Change, int64, error) {
	if kind == KindZoneDrain && revision == 5 {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.drainWait = wait
		return []Change{drainChange("b", false)}, 6, nil
	}
	<-ctx.Done()
	return nil, 0, &StoreUnreachable{Cause: ctx.Err()}
}

func (o *countingObjects) listed(kind Kind) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.lists[kind]
}

func TestZoneDrainsAreWatchedOnlyIfEnabled(t *testing.T) {
	const patient, poll = time.Minute, 5 * time.Millisecond
	for _, followed := range []bool{false, true} {
		objects := &countingObjects{lists: make(map[Kind]int)}
		state := NewState(time.Now, nil)
		feed := NewWatcher(objects, state, ReplicaTimings)
		if followed {
			feed.EnableZoneDrains(time.Second)
		}
		feed.ListWorkersGroupsAndDrains(t.Context())
		require.Equal(t, followed, state.View().Drains.Has("a"), "listed with the rest")
		ctx, cancel := context.WithCancel(t.Context())
		go feed.Run(ctx)
		require.Eventually(t, func() bool { return objects.listed(KindWorker) == 2 && objects.listed(KindConfiguration) == 1 }, patient, poll)
		if followed {
			require.Eventually(t, func() bool { return slices.Equal(state.View().Drains.Zones(), []string{"a", "b"}) }, patient, poll)
			require.Equal(t, time.Second, objects.drainWait)
		} else {
			require.Zero(t, objects.listed(KindZoneDrain))
		}
		cancel()
	}
}

func TestInitialBackoffIsLongerWithZoneDrains(t *testing.T) {
	feed := NewWatcher(nil, NewState(time.Now, nil), GatewayTimings)
	feed.SetMaxBackoff(16 * time.Second)
	require.Equal(t, firstRetry, feed.firstRetry(), "as ever where no drains are followed")
	feed.EnableZoneDrains(WatchTimeout)
	require.Equal(t, time.Second, feed.firstRetry())
	feed.SetMaxBackoff(ReplicaTimings.MaxBackoff)
	require.Equal(t, firstRetry, feed.firstRetry())
}
