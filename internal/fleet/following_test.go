package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkFollowing follows 34 engines, as a daemon does at the full size, each
// with 90 streams, and reports the bytes a second over ten seconds.
func BenchmarkFollowing(b *testing.B) {
	const engines, streams, seconds = 34, 90, 10
	direct := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	zone := structs.Zone{Name: rolloutZone}
	for i := range engines {
		e := emulator.NewEngine(emulator.EngineConfig{
			ID:     structs.EngineID(fmt.Sprintf("changhua-engine-%d", i)),
			Zone:   rolloutZone,
			Loaded: []structs.LoadedModel{{Model: rolloutModel, Version: "1"}},
		})
		require.NoError(b, e.Start())
		defer e.Close()
		zone.Engines = append(zone.Engines, structs.EngineEndpoint{ID: e.ID(), Address: e.Address()})
		for h := range streams {
			holder := structs.ProgramID(fmt.Sprintf("%08x-%032x", i, h))
			stream, err := direct.Generate(b.Context(), e.Address(), engine.GenerateRequest{
				Holder: holder, StreamID: string(holder), Model: rolloutModel,
				Segments: [][]byte{[]byte("question")}, MaxTokens: 2_000,
			})
			require.NoError(b, err)
			require.NoError(b, stream.Close())
		}
	}
	configuration := &structs.Configuration{Declarations: structs.Declarations{Zones: []structs.Zone{zone}}}
	for b.Loop() {
		var bytes atomic.Int64
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countedConn{conn, &bytes}, err
		}
		f := fleet.New(fleet.Options{
			Self:          structs.Node{ID: "daemon", Zone: rolloutZone},
			Engines:       fleet.FromClient(engine.NewClient(&http.Client{Transport: &http.Transport{DialContext: dial}})),
			Configuration: func() *structs.Configuration { return configuration },
			Nodes:         func() []structs.Node { return nil },
			SubsetSize:    engines,
		})
		ctx, cancel := context.WithCancel(b.Context())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		time.Sleep(2 * time.Second)
		bytes.Store(0)
		time.Sleep(seconds * time.Second)
		b.ReportMetric(float64(bytes.Load())/seconds, "B/s")
		cancel()
		running.Wait()
	}
}
