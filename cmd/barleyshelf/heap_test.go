package main

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGarbageIsBoundedBesideWhatIsLive compares processes that know little and much.
func TestGarbageIsBoundedBesideWhatIsLive(t *testing.T) {
	for live, want := range map[uint64]int64{0: mostGrowth, 1 << 20: mostGrowth, 4 << 20: mostGrowth, 12 << 20: 100, 1 << 30: leastGrowth} {
		require.Equal(t, want, growthFor(live), live)
	}
	for live := uint64(1 << 20); live < 24<<20; live += 1 << 20 {
		require.LessOrEqual(t, live*uint64(growthFor(live))/100, uint64(garbageBytes))
	}
}

// TestTheGrowthFollowsWhatIsLive holds much for a while.
func TestTheGrowthFollowsWhatIsLive(t *testing.T) {
	before := debug.SetGCPercent(mostGrowth)
	defer func() {
		heapGrowth.Store(0)
		debug.SetGCPercent(before)
	}()
	limitHeap(0)
	held := make([]byte, 64<<20)
	require.Eventually(t, func() bool {
		runtime.GC()
		return heapGrowth.Load() == leastGrowth
	}, time.Minute, time.Millisecond)
	runtime.KeepAlive(held)
	held = nil
	require.Eventually(t, func() bool {
		runtime.GC()
		return heapGrowth.Load() > leastGrowth
	}, time.Minute, time.Millisecond)
}

// Guards against a collector that takes the processor because it has no room, and against machines that end the process.
func TestMemoryLimitLeavesRoomForWhatTheRuntimeDoesNotCount(t *testing.T) {
	for memoryMB, wantMB := range map[int64]int64{72: 54, 82: 64, 112: 89, 254: 203} {
		require.Equal(t, wantMB, memoryLimit(memoryMB<<20)>>20, "%d MB", memoryMB)
	}
}
