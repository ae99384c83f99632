package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// outsideBytes is what a process takes beside what the runtime counts: the program itself and the
	// system's buffers of its connections.
	outsideBytes = 18 << 20
	// outsideShare is the same as a part of the memory, for machines with more connections.
	outsideShare = 0.2
	// mostGrowth is how far the heap may grow between two collections, in percent of what is
	// live. The roles make short-lived garbage for each request: at the runtime's 100 a profile
	// of BenchmarkTurnAndStall shows 9 to 18% of the processor time in collection.
	mostGrowth = 300
	// garbageBytes is how much garbage there may be beside what is live, where that is more than
	// a few megabytes: in percent alone, a process that knows a whole fleet takes four times
	// what is live, which the machine never gets back.
	garbageBytes = 12 << 20
	// leastGrowth bounds the processor time of collections, whatever is live.
	leastGrowth = 40
	// growthStep is by how many percent the growth must differ to be set anew: each time stops
	// the process for a moment.
	growthStep = 10
	// liveHeap is the runtime's name of what was live at the last collection.
	liveHeap = "/gc/heap/live:bytes"
)

// limitHeap makes the collector work harder before the process runs out of
// memory. 0 is unknown.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(memoryLimit(memoryBytes))
	}
	if heapGrowth.CompareAndSwap(0, mostGrowth) {
		debug.SetGCPercent(mostGrowth)
		followCollections()
	}
}

// memoryLimit returns what the runtime may take of the memory.
func memoryLimit(memoryBytes int64) int64 {
	return memoryBytes - max(outsideBytes, int64(outsideShare*float64(memoryBytes)))
}

// heapGrowth is the growth that is in force; 0 is the runtime's own.
var heapGrowth atomic.Int64

// growthFor returns how far the heap may grow, in percent of what is live.
func growthFor(live uint64) int64 {
	percent := 100 * float64(garbageBytes) / math.Max(1, float64(live))
	return int64(min(mostGrowth, max(leastGrowth, percent)))
}

// followCollections sets the growth after each collection: a finalizer of what nobody holds runs
// then.
func followCollections() {
	type mark struct{ _ [16]byte }
	sample := []metrics.Sample{{Name: liveHeap}}
	var collected func(*mark)
	collected = func(*mark) {
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindUint64 {
			setGrowth(growthFor(sample[0].Value.Uint64()))
		}
		runtime.SetFinalizer(&mark{}, collected)
	}
	runtime.SetFinalizer(&mark{}, collected)
}

// setGrowth puts a growth in force that differs clearly from the present one.
func setGrowth(percent int64) {
	known := heapGrowth.Load()
	if difference := percent - known; 100*max(difference, -difference) >= growthStep*known {
		heapGrowth.Store(percent)
		debug.SetGCPercent(int(percent))
	}
}
