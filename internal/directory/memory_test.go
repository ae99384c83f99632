package directory

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// liveHeapBytes returns the size of the live heap after a garbage collection.
func liveHeapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryPerWorkerIsBounded measures the state of a gateway that has received a full list from a
// replica and computed the subset that requests choose from. It was 770 bytes per worker when each
// view had its own lists and maps.
func TestMemoryPerWorkerIsBounded(t *testing.T) {
	const workers, maxBytesPerWorker = 10_000, 500
	source := NewState(time.Now, nil)
	source.ReplaceWorkers(makeWorkers(workers), 1)
	encoded, err := proto.Marshal(source.WorkerList())
	require.NoError(t, err)
	source = nil
	before := liveHeapBytes()
	state := NewState(time.Now, LogChanges())
	list := &replicav1.WorkerList{}
	require.NoError(t, proto.Unmarshal(encoded, list))
	state.ApplyWorkerList(list)
	list = nil
	state.View().Workers.Subset("model", 32)
	after := liveHeapBytes()
	runtime.KeepAlive(encoded)
	t.Logf("%d bytes per worker", (after-before)/workers)
	require.LessOrEqual(t, (after-before)/workers, uint64(maxBytesPerWorker))
	runtime.KeepAlive(state)
}
