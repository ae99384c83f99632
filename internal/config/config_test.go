package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/config"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func drawConfiguration(t *rapid.T, version uint64) *structs.Configuration {
	c := &structs.Configuration{Version: version, PlanID: fmt.Sprintf("p%d", version)}
	c.Audit = &structs.AuditRecord{PlanID: c.PlanID, Base: version - 1}
	c.Declarations.Deployment.Replicas = rapid.IntRange(1, 3).Draw(t, "replicas")
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID[int])
	for _, i := range names.Draw(t, "tenants") {
		c.Declarations.Tenants = append(c.Declarations.Tenants, structs.Tenant{
			Name: structs.TenantID(fmt.Sprint("t", i)), Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")),
		})
	}
	for _, i := range names.Draw(t, "zones") {
		c.Declarations.Zones = append(c.Declarations.Zones, structs.Zone{Name: structs.ZoneName(fmt.Sprint("z", i)), Draining: rapid.Bool().Draw(t, "draining")})
	}
	return c
}

func newStore(t require.TestingT, folder string) *config.Store {
	store, err := config.NewStore(folder)
	require.NoError(t, err)
	return store
}

// TestDeltasGiveWhatThePlatformHolds: whatever changes, a daemon that follows
// by deltas or fetches the whole holds the same as the reader.
func TestDeltasGiveWhatThePlatformHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newStore(t, ""), newStore(t, "")
		version := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			offered := drawConfiguration(t, version)
			_, newer := reader.Offer(offered)
			require.True(t, newer)
			if rapid.Bool().Draw(t, "follow") {
				follow(t, reader, follower)
				require.Equal(t, toJSON(t, offered), toJSON(t, follower.InForce()))
			}
		}
		follow(t, reader, follower)
		require.Equal(t, toJSON(t, reader.InForce()), toJSON(t, follower.InForce()))
	})
}

// TestDeltasCoverTheWholeConfiguration fails when a member is added that no
// delta carries yet.
func TestDeltasCoverTheWholeConfiguration(t *testing.T) {
	covered := []string{"Version", "PlanID", "Declarations", "Domains", "Audit",
		"Deployment", "Zones", "Tenants", "Models", "Tools", "Programs"}
	for _, outer := range []reflect.Type{reflect.TypeFor[structs.Configuration](), reflect.TypeFor[structs.Declarations]()} {
		for i := range outer.NumField() {
			require.Contains(t, covered, outer.Field(i).Name)
		}
	}
}

func follow(t require.TestingT, from, to *config.Store) {
	source, target := from.Document(), to.Document()
	for _, delta := range source.Deltas(target.HeldVersion()) {
		require.True(t, target.Apply(delta))
	}
	if target.ActiveVersion() < source.ActiveVersion() {
		version, whole := source.Snapshot()
		require.True(t, target.ApplySnapshot(version, whole))
		for _, delta := range source.Deltas(version) {
			require.True(t, target.Apply(delta))
		}
	}
}

func toJSON(t require.TestingT, c *structs.Configuration) string {
	encoded, err := json.Marshal(c)
	require.NoError(t, err)
	return string(encoded)
}

func TestNeverBackwards(t *testing.T) {
	store := newStore(t, "")
	require.Nil(t, store.InForce())
	store.Offer(&structs.Configuration{Version: 5})
	_, newer := store.Offer(&structs.Configuration{Version: 4})
	require.False(t, newer)
	old := newStore(t, "")
	old.Offer(&structs.Configuration{Version: 3})
	version, whole := old.Document().Snapshot()
	require.False(t, store.Document().ApplySnapshot(version, whole))
	require.Equal(t, uint64(5), store.InForce().Version)
}

func TestRestartHoldsTheVersionBackUntilItIsVouchedFor(t *testing.T) {
	folder := t.TempDir()
	first := newStore(t, folder)
	first.Offer(&structs.Configuration{Version: 9, PlanID: "kept"})
	first.Deliver()
	first.Offer(&structs.Configuration{Version: 10, PlanID: "soon after"})
	first.Deliver()

	again := newStore(t, folder)
	require.Nil(t, again.InForce(), "nothing is served on memory alone")
	_, newer := again.Offer(&structs.Configuration{Version: 9})
	require.False(t, newer, "a lagging platform does not set it back")
	again.Document().Confirm(9)
	require.Nil(t, again.InForce(), "nor does a lagging peer")
	require.Equal(t, uint64(9), again.HeldVersion())
	follow(t, first, again)
	require.Equal(t, "soon after", again.InForce().PlanID)

	last := newStore(t, folder)
	last.Offer(&structs.Configuration{Version: 10, PlanID: "soon after"})
	require.Equal(t, uint64(10), last.Version())
}

func TestForgedDeltaIsDropped(t *testing.T) {
	reader, follower := newStore(t, ""), newStore(t, "")
	reader.Offer(&structs.Configuration{Version: 1})
	follow(t, reader, follower)
	next := &structs.Configuration{Version: 2}
	next.Declarations.Tenants = []structs.Tenant{{Name: "t"}}
	reader.Offer(next)
	delta := reader.Document().Deltas(1)[0]
	forged := append([]byte(nil), delta.Data...)
	for i := range forged {
		if forged[i] == 't' && forged[i-1] == '"' && i+1 < len(forged) && forged[i+1] == '"' && forged[i+2] == ',' {
			forged[i] = 'u'
		}
	}
	require.NotEqual(t, forged, delta.Data)
	delta.Data = forged
	require.False(t, follower.Document().Apply(delta))
	require.Equal(t, uint64(1), follower.InForce().Version)
}

func TestReadersAreFewAndReplaced(t *testing.T) {
	var members []structs.Node
	for i := range 30 {
		members = append(members, structs.Node{
			ID: structs.NodeID(fmt.Sprint("n", i)), Zone: structs.ZoneName(fmt.Sprint("z", i%3)), State: structs.NodeAlive,
		})
	}
	readers := func() (found []int) {
		for i := range members {
			if members[i].State == structs.NodeAlive && config.IsReader(members[i].ID, members, 2) {
				found = append(found, i)
			}
		}
		return found
	}
	before := readers()
	require.Len(t, before, 6)
	members[before[0]].State = structs.NodeSuspect
	after := readers()
	require.Len(t, after, 6)
	require.NotContains(t, after, before[0])
	require.Subset(t, after, slices.Clone(before[1:]))
}

// scriptedSource fails, lags and answers as told.
type scriptedSource struct {
	answers []any
	reads   int
}

func (s *scriptedSource) Get(context.Context, string) (config.Object, error) {
	answer := s.answers[min(s.reads, len(s.answers)-1)]
	s.reads++
	if err, failed := answer.(error); failed {
		return config.Object{}, err
	}
	version := uint64(answer.(int))
	return config.Object{Key: config.RootKey, Version: version, Value: []byte(`{"planID":"x"}`)}, nil
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, _ uint64) (config.Watch, error) {
	return silentWatch{ctx}, nil
}

// silentWatch loses all changes.
type silentWatch struct{ ctx context.Context }

func (w silentWatch) Next() (config.Object, error) {
	<-w.ctx.Done()
	return config.Object{}, &failure.PlatformUnavailable{Operation: "watch"}
}

func (w silentWatch) Close() error { return nil }

// loneMember is a daemon without others; it keeps what it would tell them.
type loneMember struct {
	mutex     sync.Mutex
	announced []uint64
}

func (l *loneMember) Members() []structs.Node { return nil }

func (l *loneMember) DocumentChanged(before uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.announced = append(l.announced, before)
}

func (l *loneMember) told() []uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.announced)
}

func TestFeedOutlastsAPlatformThatFailsLagsAndLosesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := &failure.PlatformUnavailable{Operation: "get"}
		source := &scriptedSource{answers: []any{down, down, 7, 6, 8}}
		store, peers := newStore(t, ""), &loneMember{}
		feed := config.NewFeed(config.FeedOptions{Self: "n", Source: source, Peers: peers, Store: store})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { feed.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(7), store.Version())
		time.Sleep(35 * time.Second)
		require.Equal(t, uint64(7), store.Version(), "the lagging answer was dropped")
		time.Sleep(30 * time.Second)
		require.Equal(t, uint64(8), store.Version())
		require.Equal(t, []uint64{0, 7}, peers.told())
		cancel()
		<-done
	})
}
