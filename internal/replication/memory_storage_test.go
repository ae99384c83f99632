package replication

import (
	"maps"
	"slices"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// memoryStorage is a storage in memory that outlives the hosts that use it.
type memoryStorage struct {
	mutex  sync.Mutex
	shards map[structs.ShardID]StoredShard
}

func (d *memoryStorage) Load() (map[structs.ShardID]StoredShard, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return maps.Clone(d.shards), nil
}

func (d *memoryStorage) Write(writes []ShardWrite) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.shards == nil {
		d.shards = map[structs.ShardID]StoredShard{}
	}
	for _, write := range writes {
		d.shards[write.Shard] = applyWrite(d.shards[write.Shard], write)
	}
	return nil
}

func applyWrite(stored StoredShard, write ShardWrite) StoredShard {
	if write.Remove {
		stored = StoredShard{}
	}
	if write.State != nil {
		stored.State = write.State
	}
	if write.Snapshot != nil {
		stored.Snapshot = *write.Snapshot
		stored.Entries = slices.DeleteFunc(slices.Clone(stored.Entries), func(e *journalv1.Entry) bool {
			return !write.KeepLaterEntries || e.Index <= write.Snapshot.Index
		})
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		stored.Entries = slices.DeleteFunc(slices.Clone(stored.Entries), func(e *journalv1.Entry) bool {
			return e.Index >= first
		})
		stored.Entries = append(stored.Entries, write.Entries...)
	}
	return stored
}

func (d *memoryStorage) Close() error { return nil }
