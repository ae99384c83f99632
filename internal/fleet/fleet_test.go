package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// leavingBound is how soon a sign must be in the view.
const leavingBound = 3 * time.Second

var testSelf = structs.Node{ID: "daemon-1", Zone: "changhua", Region: "taiwan", State: structs.NodeAlive}

func endpoint(number int) Endpoint {
	name := fmt.Sprintf("engine-%03d", number)
	return Endpoint{
		EngineEndpoint: structs.EngineEndpoint{ID: structs.EngineID(name), Address: "http://" + name},
		Zone:           testSelf.Zone,
		Region:         testSelf.Region,
	}
}

func configurationOf(draining bool, endpoints ...Endpoint) *structs.Configuration {
	zone := structs.Zone{Name: testSelf.Zone, Region: testSelf.Region, Draining: draining}
	for _, e := range endpoints {
		zone.Engines = append(zone.Engines, e.EngineEndpoint)
	}
	return &structs.Configuration{Version: 1, Declarations: structs.Declarations{Zones: []structs.Zone{zone}}}
}

// bench is a fleet over fakes, for use inside a synctest bubble.
type bench struct {
	engines       *fakeEngines
	platform      *fakePlatform
	configuration atomic.Pointer[structs.Configuration]
	fleet         *Fleet
}

// run starts a fleet over two engines, lets it settle and calls the test.
func run(t *testing.T, prepare func(*Options), test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{
			engines:  newFakeEngines(endpoint(1), endpoint(2)),
			platform: &fakePlatform{},
		}
		b.configuration.Store(configurationOf(false, endpoint(1), endpoint(2)))
		options := Options{
			Self:          testSelf,
			Engines:       b.engines,
			Platform:      b.platform,
			Configuration: b.configuration.Load,
			Nodes:         func() []structs.Node { return []structs.Node{testSelf} },
		}
		if prepare != nil {
			prepare(&options)
		}
		b.fleet = New(options)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			b.fleet.Run(ctx)
			close(done)
		}()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		test(t, b)
		cancel()
		<-done
	})
}

func (b *bench) leaving(t *testing.T, id structs.EngineID) bool {
	t.Helper()
	found, known := b.fleet.View().Engine(id)
	require.True(t, known)
	return found.Leaving
}

func TestEverySignOfLeavingIsInViewWithinThreeSeconds(t *testing.T) {
	first := endpoint(1)
	signs := map[string]func(b *bench){
		"own report": func(b *bench) { b.engines.change(first.Address, func(e *fakeEngine) { e.status.Leaving = true }) },
		"refused":    func(b *bench) { b.engines.change(first.Address, func(e *fakeEngine) { e.down = true }) },
		"silent":     func(b *bench) { b.engines.change(first.Address, func(e *fakeEngine) { e.silent = true }) },
		"machine list": func(b *bench) {
			b.platform.change(func() { b.platform.leaving = []platform.Machine{{Engine: first.ID}} })
		},
		"declaration": func(b *bench) { b.configuration.Store(configurationOf(true, endpoint(1), endpoint(2))) },
		"peer":        func(b *bench) { b.fleet.Observe(LeavingKey, 7, []byte(`{"engines":["engine-001"]}`)) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, b *bench) {
				require.False(t, b.leaving(t, first.ID))
				sign(b)
				time.Sleep(leavingBound)
				synctest.Wait()
				require.True(t, b.leaving(t, first.ID))
				if name != "declaration" {
					require.False(t, b.leaving(t, endpoint(2).ID))
				}
			})
		})
	}
}

func TestMarkTakesEffectAtOnceUntilReportsDisagree(t *testing.T) {
	first := endpoint(1)
	run(t, nil, func(t *testing.T, b *bench) {
		b.fleet.MarkLeaving(first.ID)
		require.True(t, b.leaving(t, first.ID))
		time.Sleep(markSettle)
		require.True(t, b.leaving(t, first.ID))
		time.Sleep(defaultReportInterval + 2*fakeStep)
		require.False(t, b.leaving(t, first.ID))
		b.engines.change(first.Address, func(e *fakeEngine) { e.silent = true })
		b.fleet.MarkLeaving(first.ID)
		time.Sleep(markDuration)
		require.True(t, b.leaving(t, first.ID), "a silent engine is lost")
	})
}

func TestEngineThatComesBackIsUsedAgain(t *testing.T) {
	first := endpoint(1)
	run(t, nil, func(t *testing.T, b *bench) {
		b.engines.change(first.Address, func(e *fakeEngine) { e.down = true })
		time.Sleep(time.Minute)
		require.True(t, b.leaving(t, first.ID))
		b.engines.change(first.Address, func(e *fakeEngine) {
			e.down = false
			e.status.Incarnation = 2
		})
		time.Sleep(lastReconnect*5/4 + time.Second)
		require.False(t, b.leaving(t, first.ID))
	})
}

func TestReturnToMachineListTakesEffectLate(t *testing.T) {
	first := endpoint(1)
	var published []uint64
	publish := func(_ string, version uint64, _ []byte) { published = append(published, version) }
	run(t, func(o *Options) { o.Publish = publish }, func(t *testing.T, b *bench) {
		b.platform.change(func() { b.platform.leaving = []platform.Machine{{Engine: first.ID}} })
		time.Sleep(leavingBound)
		b.platform.change(func() { b.platform.leaving = nil })
		time.Sleep(returnDelay - time.Second)
		require.True(t, b.leaving(t, first.ID))
		time.Sleep(4 * time.Second)
		require.False(t, b.leaving(t, first.ID))
		synctest.Wait()
		require.Len(t, published, 2)
		require.Greater(t, published[1], published[0])
	})
}

func TestOlderFactDoesNotReplaceNewer(t *testing.T) {
	run(t, nil, func(t *testing.T, b *bench) {
		b.fleet.Observe(LeavingKey, 1<<62, []byte(`{"engines":["engine-001"]}`))
		b.fleet.Observe(LeavingKey, 1<<62-1, []byte(`{"engines":[]}`))
		require.True(t, b.leaving(t, "engine-001"))
	})
}

func TestLateReportIsCorrectedByOwnDispatches(t *testing.T) {
	first := endpoint(1)
	run(t, nil, func(t *testing.T, b *bench) {
		b.engines.change(first.Address, func(e *fakeEngine) { e.status.Running = 3 })
		time.Sleep(1100 * time.Millisecond)
		ended := b.fleet.Dispatched(first.ID, 500)
		also := b.fleet.Dispatched(first.ID, 70)
		time.Sleep(500 * time.Millisecond)
		found, _ := b.fleet.View().Engine(first.ID)
		require.Equal(t, 3, found.Running)
		require.Equal(t, 2, found.OwnRunning)
		require.Equal(t, int64(570), found.OwnQueuedTokens)
		also()
		also()
		found, _ = b.fleet.View().Engine(first.ID)
		require.Equal(t, 1, found.OwnRunning)
		// A report made later than the dispatch shows it by itself.
		time.Sleep(2 * time.Second)
		found, _ = b.fleet.View().Engine(first.ID)
		require.Zero(t, found.OwnRunning)
		ended()
		found, _ = b.fleet.View().Engine(first.ID)
		require.Zero(t, found.OwnRunning)
	})
}

func TestCacheEventsArriveOnceForUsedEngines(t *testing.T) {
	var taken []engine.CacheEvent
	prepare := func(o *Options) {
		o.CacheEvent = func(_ structs.EngineID, event engine.CacheEvent) { taken = append(taken, event) }
	}
	first := endpoint(1)
	run(t, prepare, func(t *testing.T, b *bench) {
		event := engine.CacheEvent{Incarnation: 1, Sequence: 4, Holder: "program", Tokens: 9}
		b.engines.change(first.Address, func(e *fakeEngine) { e.events = []engine.CacheEvent{event} })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, taken)
		b.fleet.Dispatched(first.ID, 10)()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		require.Equal(t, []engine.CacheEvent{event}, taken)
	})
}

func TestOneDaemonOfAZoneSweepsAnEngineAndTwoReadMachines(t *testing.T) {
	var daemons []structs.Node
	for i := range 9 {
		daemons = append(daemons, structs.Node{
			ID:     structs.NodeID(fmt.Sprintf("daemon-%d", i)),
			Zone:   structs.ZoneName(fmt.Sprintf("zone-%d", i%3)),
			Region: "taiwan",
			State:  structs.NodeAlive,
		})
	}
	readers := 0
	for number := range 20 {
		for _, zone := range []structs.ZoneName{"zone-0", "zone-without-daemons"} {
			one := endpoint(number)
			one.Zone = zone
			sweepers := 0
			for _, self := range daemons {
				f := New(Options{Self: self, Nodes: func() []structs.Node { return daemons }})
				if dutiesOf(self, daemons).first(string(one.ID), one.Zone) {
					sweepers++
				}
				if number == 0 && zone == "zone-0" && f.readsMachines() {
					readers++
				}
			}
			require.Equal(t, 1, sweepers)
		}
	}
	require.Equal(t, machineReaders, readers)
}

func TestOrphanIsReleasedWithinBoundAndHeldMemoryStays(t *testing.T) {
	first := endpoint(1)
	orphans := func(_ context.Context, _ structs.EngineID, _ structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID {
		var found []structs.ProgramID
		for _, holder := range holders {
			if holder == "orphan" {
				found = append(found, holder)
			}
		}
		return found
	}
	run(t, func(o *Options) { o.Orphans = orphans }, func(t *testing.T, b *bench) {
		b.engines.change(first.Address, func(e *fakeEngine) { e.holders = []structs.ProgramID{"held", "orphan"} })
		time.Sleep(2 * defaultSweepInterval * 5 / 4)
		time.Sleep(time.Second)
		synctest.Wait()
		found, err := b.engines.read(first.Address)
		require.NoError(t, err)
		require.Equal(t, []structs.ProgramID{"held"}, found.holders)
		require.Equal(t, []structs.ProgramID{"orphan"}, found.released)
	})
}

func TestHoldBeingRecordedIsNotReleased(t *testing.T) {
	first := endpoint(1)
	var recorded atomic.Bool
	orphans := func(_ context.Context, _ structs.EngineID, _ structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID {
		if recorded.Load() {
			return nil
		}
		return holders
	}
	prepare := func(o *Options) {
		o.Orphans = orphans
		o.SweepInterval = time.Second
	}
	run(t, prepare, func(t *testing.T, b *bench) {
		b.engines.change(first.Address, func(e *fakeEngine) { e.holders = []structs.ProgramID{"new"} })
		time.Sleep(4 * time.Second)
		recorded.Store(true)
		time.Sleep(time.Minute)
		synctest.Wait()
		found, err := b.engines.read(first.Address)
		require.NoError(t, err)
		require.Empty(t, found.released)
	})
}

func TestWantedModelIsFoundBeyondTheSubset(t *testing.T) {
	const rare = structs.ModelName("rare")
	synctest.Test(t, func(t *testing.T) {
		var endpoints []Endpoint
		for i := range 60 {
			endpoints = append(endpoints, endpoint(i))
		}
		engines := newFakeEngines(endpoints...)
		holder := endpoints[47]
		engines.change(holder.Address, func(e *fakeEngine) { e.status.Loaded = []structs.LoadedModel{{Model: rare}} })
		configuration := configurationOf(false, endpoints...)
		var peers []structs.Node
		for i := range 40 {
			peers = append(peers, structs.Node{ID: structs.NodeID(fmt.Sprintf("peer-%d", i)), Zone: testSelf.Zone, State: structs.NodeAlive})
		}
		f := New(Options{
			Self: testSelf, Engines: engines, SubsetSize: 3,
			Configuration: func() *structs.Configuration { return configuration },
			Nodes:         func() []structs.Node { return peers },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Minute)
		_, known := f.View().Engine(holder.ID)
		require.False(t, known)
		subset := len(f.View().Engines)
		f.Want([]structs.ZoneName{testSelf.Zone}, rare)
		// Sixty engines are looked at in eight rounds at most.
		time.Sleep(8 * (wantPatience + tickInterval))
		_, known = f.View().Engine(holder.ID)
		require.True(t, known)
		require.LessOrEqual(t, len(f.View().Engines), subset+wantEngines)
		time.Sleep(wantLasts)
		synctest.Wait()
		_, known = f.View().Engine(holder.ID)
		require.False(t, known)
		cancel()
		<-done
	})
}

func TestSweepsOfLongListsAreRare(t *testing.T) {
	s := &sweeper{fleet: New(Options{}), seen: map[sweptEngine]map[structs.ProgramID]*sweptHolder{}}
	fill := func(holders int) {
		list := map[structs.ProgramID]*sweptHolder{}
		for i := range holders {
			list[structs.ProgramID(fmt.Sprintf("program-%d", i))] = &sweptHolder{}
		}
		s.seen[sweptEngine{id: "engine"}] = list
	}
	require.Equal(t, defaultSweepInterval, s.interval())
	fill(256)
	require.Equal(t, 23*time.Second, s.interval())
	fill(10_000)
	require.Equal(t, maxSweepInterval, s.interval())
}

// TestOrphanLifeIsBounded lets orphans come to be at all times between sweeps.
func TestOrphanLifeIsBounded(t *testing.T) {
	const orphans = 60
	first := endpoint(1)
	all := func(_ context.Context, _ structs.EngineID, _ structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID {
		return holders
	}
	run(t, func(o *Options) { o.Orphans = all }, func(t *testing.T, b *bench) {
		random := rand.New(rand.NewPCG(1, 1))
		var longest, total time.Duration
		for i := range orphans {
			time.Sleep(time.Duration(random.Int64N(int64(defaultSweepInterval))))
			orphan := structs.ProgramID(fmt.Sprintf("orphan-%d", i))
			b.engines.change(first.Address, func(e *fakeEngine) { e.holders = []structs.ProgramID{orphan} })
			born := time.Now()
			for held := 1; held > 0; {
				time.Sleep(100 * time.Millisecond)
				found, err := b.engines.read(first.Address)
				require.NoError(t, err)
				held = len(found.holders)
			}
			longest = max(longest, time.Since(born))
			total += time.Since(born)
		}
		t.Logf("orphans released after %s on average, %s at most", total/orphans, longest)
		require.LessOrEqual(t, longest, 2*defaultSweepInterval*5/4+time.Second)
	})
}
