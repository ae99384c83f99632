package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func start(t *testing.T, config emulator.PlatformConfig) (*emulator.Platform, *platform.Client) {
	t.Helper()
	service := emulator.NewPlatform(config)
	require.NoError(t, service.Start())
	t.Cleanup(service.Close)
	return service, platform.NewClient(service.Address(), &http.Client{Transport: &http.Transport{}})
}

func TestObjectsChangeByCompareAndSwap(t *testing.T) {
	_, client := start(t, emulator.PlatformConfig{})
	ctx := t.Context()
	_, err := client.Get(ctx, "config/root")
	require.Equal(t, &failure.ObjectNotFound{Key: "config/root"}, err)
	first, err := client.Put(ctx, "config/root", 0, []byte("one"))
	require.NoError(t, err)
	_, err = client.Put(ctx, "config/root", 0, []byte("two"))
	require.Equal(t, &failure.VersionConflict{Expected: 0, Found: first}, err)
	second, err := client.Put(ctx, "config/root", first, []byte("two"))
	require.NoError(t, err)
	require.Greater(t, second, first)
	found, err := client.Get(ctx, "config/root")
	require.NoError(t, err)
	require.Equal(t, platform.Object{Key: "config/root", Version: second, Value: []byte("two")}, found)
	require.IsType(t, &failure.VersionConflict{}, client.Delete(ctx, "config/root", first))
	require.NoError(t, client.Delete(ctx, "config/root", second))
	objects, err := client.List(ctx, "config/")
	require.NoError(t, err)
	require.Empty(t, objects)
}

func TestRacingWritersEachSucceedOnce(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{})
	const writers, writes = 8, 20
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for done := 0; done < writes; {
				found, err := client.Get(context.Background(), "counter")
				if err != nil && !failure.IsType(err, "object_not_found") {
					return
				}
				if _, err = client.Put(context.Background(), "counter", found.Version, append(found.Value, '.')); err == nil {
					done++
				}
			}
		})
	}
	group.Wait()
	value, _, _ := service.Object("counter")
	require.Len(t, value, writers*writes)
}

func TestAnswerLostAfterWriteIsSettledByReadingBack(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{})
	service.Faults.LoseAnswer.Set(1)
	_, err := client.Put(t.Context(), "plans/1", 0, []byte("plan"))
	require.Equal(t, &failure.PlatformUnavailable{Operation: "put"}, err)
	require.Equal(t, failure.OutcomeUnknown, failure.Classify(err).Outcome())
	found, err := client.Get(t.Context(), "plans/1")
	require.NoError(t, err)
	require.Equal(t, []byte("plan"), found.Value)
	require.Equal(t, int64(1), service.Counters().Writes, "no repeat is hidden in the client")
}

func TestWatchGivesPastThenChanges(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{})
	first, err := client.Put(t.Context(), "config/root", 0, []byte("one"))
	require.NoError(t, err)
	_, err = client.Put(t.Context(), "other", 0, []byte("unseen"))
	require.NoError(t, err)
	watch, err := client.Watch(t.Context(), "config/", 0)
	require.NoError(t, err)
	defer watch.Close()
	change, err := watch.Next()
	require.NoError(t, err)
	require.Equal(t, platform.Object{Key: "config/root", Version: first, Value: []byte("one")}, change)
	second, err := client.Put(t.Context(), "config/root", first, []byte("two"))
	require.NoError(t, err)
	change, err = watch.Next()
	require.NoError(t, err)
	require.Equal(t, second, change.Version)
	require.NoError(t, client.Delete(t.Context(), "config/root", second))
	change, err = watch.Next()
	require.NoError(t, err)
	require.True(t, change.Deleted)
	service.Faults.Down.Store(true)
	_, err = watch.Next()
	require.IsType(t, &failure.PlatformUnavailable{}, err)
}

func TestStoreBearsFewReaders(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{MaxReaders: 2})
	for range 2 {
		watch, err := client.Watch(t.Context(), "", 0)
		require.NoError(t, err)
		defer watch.Close()
	}
	_, err := client.Watch(t.Context(), "", 0)
	require.IsType(t, &failure.PlatformUnavailable{}, err)
	_, err = client.Get(t.Context(), "config/root")
	require.IsType(t, &failure.PlatformUnavailable{}, err)
	_, err = client.Put(t.Context(), "config/root", 0, nil)
	require.NoError(t, err)
	counters := service.Counters()
	require.Equal(t, int64(2), counters.MostReaders)
	require.Equal(t, int64(2), counters.RefusedReaders)
}

func TestStoreThatIsDownOrSlowIsUnavailable(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{})
	unavailable := &failure.PlatformUnavailable{Operation: "get"}
	service.Faults.Down.Store(true)
	_, err := client.Get(t.Context(), "key")
	require.Equal(t, unavailable, err)
	service.Faults.Down.Store(false)
	service.Faults.Hang.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Get(ctx, "key")
	require.Equal(t, unavailable, err)
	service.Faults.Hang.Store(false)
	service.Crash()
	_, err = client.Get(t.Context(), "key")
	require.Equal(t, unavailable, err)
	require.NoError(t, service.Restart())
	_, err = client.Get(t.Context(), "key")
	require.IsType(t, &failure.ObjectNotFound{}, err)
}

func TestMachineListLags(t *testing.T) {
	service, client := start(t, emulator.PlatformConfig{MachineLag: time.Hour})
	var machines []emulator.Machine
	for i, id := range []structs.EngineID{"engine-a", "engine-b", "engine-c"} {
		machines = append(machines, emulator.Machine{Engine: id, Address: fmt.Sprintf("http://10.0.0.%d", i), Zone: "changhua"})
	}
	service.SetMachines(machines)
	service.SetEngineLeaving("engine-b", true)
	leaving, err := client.LeavingMachines(t.Context())
	require.NoError(t, err)
	require.Empty(t, leaving)
	service.Faults.MachineLag.Set(0)
	leaving, err = client.LeavingMachines(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.Machine{{Engine: "engine-b", Address: "http://10.0.0.1", Zone: "changhua", State: platform.MachineLeaving}}, leaving)
	all, err := client.Machines(t.Context())
	require.NoError(t, err)
	require.Len(t, all, 3)
}
