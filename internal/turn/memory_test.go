package turn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// addPlaced adds a record as a replica reads it, and notes its place.
func addPlaced(t *testing.T, store *Store, record *replicav1.Record) {
	encoded, err := proto.Marshal(record)
	require.NoError(t, err)
	read := &replicav1.Record{}
	require.NoError(t, proto.Unmarshal(encoded, read))
	position := store.Next()
	require.True(t, store.Apply(time.Now(), read))
	store.Placed(position, recordlog.Position{Segment: 1, Offset: int64(position) + 1, Length: len(encoded)})
}

// Guards against replicas whose collector has no room beside their records, so that it takes the processor.
func TestSettledReservationOnDiskTakesLittleMemory(t *testing.T) {
	const reservations, ofEachProgram, maxBytes = 20_000, 40, 480
	before := heapBytes()
	store := NewStore()
	for i := range reservations {
		id, program := fmt.Sprintf("reservation-%06d", i), fmt.Sprintf("program-%06d", i/ofEachProgram)
		addPlaced(t, store, reservation(id, program, 100))
		addPlaced(t, store, settlement(id, program, 50))
	}
	taken := heapBytes() - before
	runtime.KeepAlive(store)
	require.Less(t, taken/reservations, uint64(maxBytes))
	t.Logf("%d bytes each", taken/reservations)
}
