package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/weights"
)

const (
	rolloutZone  = structs.ZoneName("changhua")
	rolloutModel = structs.ModelName("swap-agent")
	// rolloutTries ends a roll-out that goes nowhere; it takes 50 tries.
	rolloutTries = 5000
)

// outside is stand-ins for a zone with three engines, one of them empty.
type outside struct {
	engines  []*emulator.Engine
	platform *emulator.Platform
	weights  *emulator.Weights
	http     *http.Client
}

func startOutside(t *testing.T) *outside {
	t.Helper()
	o := &outside{
		platform: emulator.NewPlatform(emulator.PlatformConfig{}),
		weights:  emulator.NewWeights(emulator.WeightsConfig{BytesPerSecond: 1 << 30}),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	require.NoError(t, o.platform.Start())
	t.Cleanup(o.platform.Close)
	require.NoError(t, o.weights.Start())
	t.Cleanup(o.weights.Close)
	timing := emulator.DefaultEngineTiming()
	timing.Scale = 0.02
	for i := range 3 {
		config := emulator.EngineConfig{
			ID:             structs.EngineID(fmt.Sprintf("engine-%d", i)),
			Zone:           rolloutZone,
			Timing:         timing,
			ReportLag:      20 * time.Millisecond,
			MaxModels:      1,
			WeightsAddress: o.weights.Address(),
		}
		if i > 0 {
			config.Loaded = []structs.LoadedModel{{Model: rolloutModel, Version: "1"}}
		}
		e := emulator.NewEngine(config)
		require.NoError(t, e.Start())
		t.Cleanup(e.Close)
		o.engines = append(o.engines, e)
	}
	return o
}

func (o *outside) configuration(version string) *structs.Configuration {
	zone := structs.Zone{Name: rolloutZone}
	for _, e := range o.engines {
		zone.Engines = append(zone.Engines, structs.EngineEndpoint{ID: e.ID(), Address: e.Address()})
	}
	model := structs.Model{
		Name: rolloutModel, Version: version, WeightsBytes: 1 << 20, Adapters: []string{"rebalance"},
		ReplicasPerZone: map[structs.ZoneName]int{rolloutZone: 3},
	}
	return &structs.Configuration{Declarations: structs.Declarations{
		Zones: []structs.Zone{zone}, Models: []structs.Model{model},
	}}
}

// daemon starts a fleet; facts go to the others through share.
func (o *outside) daemon(id structs.NodeID, configuration *atomic.Pointer[structs.Configuration], share func(string, uint64, []byte)) *fleet.Fleet {
	return fleet.New(fleet.Options{
		Self:              structs.Node{ID: id, Zone: rolloutZone, State: structs.NodeAlive},
		Engines:           fleet.FromClient(engine.NewClient(o.http)),
		Platform:          platform.NewClient(o.platform.Address(), o.http),
		Weights:           weights.NewClient(o.weights.Address(), o.http),
		Configuration:     configuration.Load,
		Nodes:             func() []structs.Node { return nil },
		Publish:           share,
		ReportInterval:    50 * time.Millisecond,
		ReportLag:         20 * time.Millisecond,
		ReconcileInterval: 10 * time.Millisecond,
		SettleTime:        200 * time.Millisecond,
	})
}

// ready counts the engines that hold the version with its adapter.
func (o *outside) ready(t *testing.T, client *engine.Client, version string) int {
	count := 0
	for _, e := range o.engines {
		status, err := client.Status(t.Context(), e.Address())
		require.NoError(t, err)
		if len(status.Loaded) == 1 && status.Loaded[0].Version == version && len(status.Loaded[0].Adapters) == 1 {
			count++
		}
	}
	return count
}

// TestRollOutUnderLoadByTwoDaemonsCutsNoStream has two daemons that both
// believe to be the zone's reconciler, since neither sees the other.
func TestRollOutUnderLoadByTwoDaemonsCutsNoStream(t *testing.T) {
	o := startOutside(t)
	var configuration atomic.Pointer[structs.Configuration]
	configuration.Store(o.configuration("1"))
	var daemons [2]*fleet.Fleet
	for i := range daemons {
		other := 1 - i
		share := func(key string, version uint64, value []byte) { daemons[other].Observe(key, version, value) }
		daemons[i] = o.daemon(structs.NodeID(fmt.Sprintf("daemon-%d", i)), &configuration, share)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, daemon := range daemons {
		running.Go(func() { daemon.Run(ctx) })
	}
	client := engine.NewClient(o.http)
	var streams atomic.Int64
	running.Go(func() { sendStreams(ctx, daemons[0], client, &streams) })
	for _, version := range []string{"1", "2"} {
		configuration.Store(o.configuration(version))
		for tries := 0; o.ready(t, client, version) < len(o.engines); tries++ {
			require.Less(t, tries, rolloutTries, "version %s", version)
			time.Sleep(20 * time.Millisecond)
		}
	}
	cancel()
	running.Wait()
	require.Positive(t, streams.Load())
	o.checkLedgers(t)
}

func (o *outside) checkLedgers(t *testing.T) {
	t.Helper()
	for _, e := range o.engines {
		ledger := e.Ledger()
		for _, record := range ledger.Streams {
			require.NotEqual(t, emulator.StreamCut, record.Outcome)
		}
		var fence uint64
		for _, order := range ledger.Orders {
			if order.Accepted {
				require.GreaterOrEqual(t, order.Fence, fence)
				fence = order.Fence
			}
		}
	}
	fetched := 0
	for _, fetch := range o.weights.Ledger() {
		if fetch.Adapter == "" {
			fetched++
		}
	}
	require.Equal(t, 1+len(o.engines), fetched, "each engine fetches what it lacks once")
}

// sendStreams keeps some streams under way on engines that the view offers.
func sendStreams(ctx context.Context, daemon *fleet.Fleet, client *engine.Client, started *atomic.Int64) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		for _, target := range daemon.View().Engines {
			if target.Leaving || len(target.Loaded) == 0 {
				continue
			}
			group.Go(func() {
				request := engine.GenerateRequest{
					Holder: "program", StreamID: fmt.Sprintf("%s-%d", target.ID, number), Model: rolloutModel,
					Segments: [][]byte{[]byte("question")}, MaxTokens: 40,
				}
				if readStream(ctx, client, target.Address, request) {
					started.Add(1)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func readStream(ctx context.Context, client *engine.Client, address string, request engine.GenerateRequest) bool {
	stream, err := client.Generate(ctx, address, request)
	if err != nil {
		return false
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err != nil {
			return err == io.EOF
		}
	}
}
