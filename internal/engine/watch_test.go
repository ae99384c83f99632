package engine_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func startEngine(t testing.TB) *emulator.Engine {
	t.Helper()
	e := emulator.NewEngine(emulator.EngineConfig{
		ID:     "changhua-engine-1",
		Zone:   "changhua",
		Loaded: []structs.LoadedModel{{Model: "swap-agent", Version: "2026-11", Adapters: []string{"rebalance", "refund"}}},
	})
	require.NoError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func TestWatchTellsOfChangeWithoutWaitingForTheInterval(t *testing.T) {
	e := startEngine(t)
	client := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	watch, err := client.WatchStatus(t.Context(), e.Address(), time.Hour)
	require.NoError(t, err)
	defer watch.Close()
	first, err := watch.Next()
	require.NoError(t, err)
	polled, err := client.Status(t.Context(), e.Address())
	require.NoError(t, err)
	first.ReportedAt, polled.ReportedAt = time.Time{}, time.Time{}
	require.Equal(t, polled, first)
	// The next line of the interval is an hour away.
	e.Faults.Leaving.Store(true)
	changed, err := watch.Next()
	require.NoError(t, err)
	require.True(t, changed.Leaving)
	require.NoError(t, client.Order(t.Context(), e.Address(), engine.Order{Fence: 9, Kind: engine.OrderRole, Role: structs.RoleDecode}))
	changed, err = watch.Next()
	require.NoError(t, err)
	require.Equal(t, uint64(9), changed.Fence)
	require.Equal(t, structs.RoleDecode, changed.Role)
}

func TestWatchKeepsStatusBetweenLoadLines(t *testing.T) {
	e := startEngine(t)
	client := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	watch, err := client.WatchStatus(t.Context(), e.Address(), 10*time.Millisecond)
	require.NoError(t, err)
	defer watch.Close()
	first, err := watch.Next()
	require.NoError(t, err)
	for range 3 {
		next, err := watch.Next()
		require.NoError(t, err)
		require.Equal(t, first.Loaded, next.Loaded)
		require.Equal(t, first.Incarnation, next.Incarnation)
		require.False(t, next.ReportedAt.Before(first.ReportedAt))
	}
	e.Crash()
	for err == nil {
		_, err = watch.Next()
	}
	require.IsType(t, &failure.EngineUnavailable{}, err)
}

func TestWatchShowsLoad(t *testing.T) {
	e := startEngine(t)
	client := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	watch, err := client.WatchStatus(t.Context(), e.Address(), 10*time.Millisecond)
	require.NoError(t, err)
	defer watch.Close()
	stream, err := client.Generate(t.Context(), e.Address(), engine.GenerateRequest{
		Holder: "program", StreamID: "stream", Model: "swap-agent", Segments: [][]byte{make([]byte, 4000)}, MaxTokens: 100_000,
	})
	require.NoError(t, err)
	defer stream.Close()
	var shown structs.EngineStatus
	for shown.Running == 0 {
		shown, err = watch.Next()
		require.NoError(t, err)
	}
	require.Equal(t, 1, shown.Running)
	require.Zero(t, shown.Waiting)
	require.LessOrEqual(t, shown.QueuedTokens, int64(1000))
	require.GreaterOrEqual(t, shown.CacheUsedTokens, int64(1000))
	require.NotEmpty(t, shown.Loaded)
}

// countedClient counts the bytes of its connections, both ways.
func countedClient(bytes *atomic.Int64) *engine.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{conn, bytes}, err
	}
	return engine.NewClient(&http.Client{Transport: &http.Transport{DialContext: dial}})
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReport compares the bytes of a load report by watch and by poll.
func BenchmarkReport(b *testing.B) {
	b.Run("watch", func(b *testing.B) {
		e := startEngine(b)
		var bytes atomic.Int64
		watch, err := countedClient(&bytes).WatchStatus(b.Context(), e.Address(), time.Millisecond)
		require.NoError(b, err)
		defer watch.Close()
		_, err = watch.Next()
		require.NoError(b, err)
		bytes.Store(0)
		for b.Loop() {
			_, err := watch.Next()
			require.NoError(b, err)
		}
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/report")
	})
	b.Run("poll", func(b *testing.B) {
		e := startEngine(b)
		var bytes atomic.Int64
		client := countedClient(&bytes)
		for b.Loop() {
			_, err := client.Status(b.Context(), e.Address())
			require.NoError(b, err)
		}
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/report")
	})
}

// BenchmarkWatchHeap reports the client's heap for each open watch, less that of
// the stand-in's side, which is in the same process and is measured alike.
func BenchmarkWatchHeap(b *testing.B) {
	e := startEngine(b)
	client := engine.NewClient(&http.Client{Transport: &http.Transport{}})
	const watches = 200
	for b.Loop() {
		before := heap()
		ctx, cancel := context.WithCancel(b.Context())
		for range watches {
			watch, err := client.WatchStatus(ctx, e.Address(), time.Hour)
			require.NoError(b, err)
			_, err = watch.Next()
			require.NoError(b, err)
		}
		b.ReportMetric(float64(heap()-before)/watches, "B/watch-both-sides")
		cancel()
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
