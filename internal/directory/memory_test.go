package directory

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// liveBytes returns what is live after a collection.
func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryPerWorkerIsBounded is about a whole fleet's list as a replica passes it on,
// taken by a gateway, with the subset that requests choose from. It was 770 bytes a worker when
// each view had lists and maps of its own.
func TestMemoryPerWorkerIsBounded(t *testing.T) {
	const workers, mostEach = 10_000, 500
	from := NewState(time.Now, nil)
	from.ReplaceWorkers(fleet(workers), 1)
	encoded, err := proto.Marshal(from.WorkerList())
	require.NoError(t, err)
	from = nil
	before := liveBytes()
	state := NewState(time.Now, LogChanges())
	list := &replicav1.WorkerList{}
	require.NoError(t, proto.Unmarshal(encoded, list))
	state.ApplyWorkerList(list)
	list = nil
	state.View().Workers.Subset("model", 32)
	after := liveBytes()
	runtime.KeepAlive(encoded)
	t.Logf("%d bytes a worker", (after-before)/workers)
	require.LessOrEqual(t, (after-before)/workers, uint64(mostEach))
	runtime.KeepAlive(state)
}
