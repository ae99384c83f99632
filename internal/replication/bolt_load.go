package replication

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// CorruptStateError reports that the storage no longer holds all the state that
// its incarnation acknowledged. The daemon must restart as a new incarnation.
type CorruptStateError struct {
	// Reason says what is missing or damaged.
	Reason string
}

func (e *CorruptStateError) Error() string {
	return fmt.Sprintf("stored state is incomplete or corrupt: %s", e.Reason)
}

const checksumBytes = 8

// addChecksum returns data preceded by a checksum over key and data.
func addChecksum(key, data []byte) []byte {
	value := make([]byte, checksumBytes, checksumBytes+len(data))
	binary.BigEndian.PutUint64(value, checksum(key, data))
	return append(value, data...)
}

// verifyChecksum returns a copy of the data of a value that addChecksum made,
// or nil if the value is absent. The error is a *CorruptStateError.
func verifyChecksum(key, value []byte) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	if len(value) < checksumBytes || binary.BigEndian.Uint64(value) != checksum(key, value[checksumBytes:]) {
		return nil, &CorruptStateError{Reason: fmt.Sprintf("checksum mismatch for key %x", key)}
	}
	return append([]byte{}, value[checksumBytes:]...), nil
}

func checksum(key, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// Load returns all shards. It truncates the log at the first entry with an
// invalid checksum if no acknowledged entry is lost by that. The error is a
// *failure.DiskFailed; its cause is a *CorruptStateError if acknowledged state
// is damaged.
func (b *BoltStorage) Load() (loaded map[structs.ShardID]StoredShard, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = &failure.DiskFailed{Cause: &CorruptStateError{Reason: fmt.Sprint(reason)}}
		}
	}()
	loaded = map[structs.ShardID]StoredShard{}
	err = b.database.View(func(tx *bbolt.Tx) error {
		shards := tx.Bucket(bucketShards)
		return shards.ForEachBucket(func(key []byte) error {
			stored, err := loadShard(shards.Bucket(key))
			if err != nil {
				return err
			}
			loaded[structs.ShardID(binary.BigEndian.Uint32(key))] = stored
			return nil
		})
	})
	if err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	return loaded, nil
}

func loadShard(bucket *bbolt.Bucket) (StoredShard, error) {
	stored := StoredShard{State: &journalv1.State{}}
	if err := getMessage(bucket, keyState, stored.State); err != nil {
		return stored, err
	}
	if stored.State.Removed {
		return stored, nil
	}
	snapshot, err := loadSnapshot(bucket)
	if err != nil {
		return stored, err
	}
	stored.Snapshot = snapshot
	last, err := verifyChecksum(keyLastIndex, bucket.Get(keyLastIndex))
	if err != nil {
		return stored, err
	}
	acknowledged := snapshot.Index
	if last != nil {
		acknowledged = max(acknowledged, binary.BigEndian.Uint64(last))
	}
	stored.Entries, err = loadEntries(bucket.Bucket(bucketEntries), snapshot.Index, acknowledged)
	return stored, err
}

// loadEntries returns the consecutive entries after base. The error is a
// *CorruptStateError if one up to acknowledged is missing or damaged.
func loadEntries(bucket *bbolt.Bucket, base, acknowledged uint64) ([]*journalv1.Entry, error) {
	var entries []*journalv1.Entry
	next := base + 1
	for ; bucket != nil; next++ {
		entry := &journalv1.Entry{}
		key := encodeUint64(next)
		if bucket.Get(key) == nil {
			break
		}
		if err := getMessage(bucket, key, entry); err != nil {
			eventLogTailTruncated.Log("index", next, "acknowledged", acknowledged)
			break
		}
		entries = append(entries, entry)
	}
	if next <= acknowledged {
		return nil, &CorruptStateError{Reason: fmt.Sprintf("entry %d is missing or damaged; entries up to %d were acknowledged", next, acknowledged)}
	}
	return entries, nil
}

func snapshotMetadata(snapshot *journal.Snapshot) *journalv1.Message {
	return &journalv1.Message{
		Index: snapshot.Index, LogTerm: snapshot.Term, Membership: snapshot.Membership, Size: uint64(len(snapshot.Data)),
	}
}

func loadSnapshot(bucket *bbolt.Bucket) (journal.Snapshot, error) {
	metadata := &journalv1.Message{}
	if err := getMessage(bucket, keySnapshot, metadata); err != nil {
		return journal.Snapshot{}, err
	}
	snapshot := journal.Snapshot{
		Index: metadata.Index, Term: metadata.LogTerm, Membership: metadata.Membership,
	}
	chunks := bucket.Bucket(bucketSnapshotChunks)
	for uint64(len(snapshot.Data)) < metadata.Size {
		key := encodeUint64(uint64(len(snapshot.Data)))
		chunk, err := verifyChecksum(key, chunks.Get(key))
		if err != nil {
			return snapshot, err
		}
		if len(chunk) == 0 {
			return snapshot, &CorruptStateError{Reason: "a chunk of the snapshot is missing"}
		}
		snapshot.Data = append(snapshot.Data, chunk...)
	}
	return snapshot, nil
}

// getMessage decodes a stored message. It leaves message unchanged if no value
// is stored.
func getMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := verifyChecksum(key, bucket.Get(key))
	if err != nil || data == nil {
		return err
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return &CorruptStateError{Reason: err.Error()}
	}
	return nil
}
