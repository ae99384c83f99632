package replication

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Names and file modes in the data folder.
const (
	databaseFile        = "journal.db"
	databaseFileMode    = 0o600
	dataFolderMode      = 0o700
	databaseLockTimeout = 2 * time.Second
	// snapshotChunkBytes is the maximum size of one value of a stored snapshot.
	snapshotChunkBytes = 1 << 20
)

var (
	bucketIdentity       = []byte("identity")
	bucketShards         = []byte("shards")
	bucketEntries        = []byte("entries")
	bucketSnapshotChunks = []byte("parts")
	keyIncarnation       = []byte("incarnation")
	keyState             = []byte("state")
	keySnapshot          = []byte("snapshot")
	keyLastIndex         = []byte("last")
)

// BoltStorage is a Storage in one bbolt database. Every value carries a
// checksum over its key and content. All writes passed to one call of Write
// are one transaction.
type BoltStorage struct {
	database *bbolt.DB
}

// OpenBoltStorage opens the database in folder for one incarnation of the
// daemon. It deletes the shards of any other incarnation, because this
// incarnation is not bound by their votes and acknowledgements. The error is a
// *failure.DiskFailed.
func OpenBoltStorage(folder string, incarnation structs.Incarnation) (*BoltStorage, error) {
	database, err := openDatabase(folder)
	if err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	err = database.Update(func(tx *bbolt.Tx) error { return initializeIncarnation(tx, incarnation) })
	if err != nil {
		_ = database.Close()
		return nil, &failure.DiskFailed{Cause: err}
	}
	return &BoltStorage{database: database}, nil
}

// openDatabase opens the database file. bbolt reports some kinds of corruption
// by a panic, which is returned as a *CorruptStateError.
func openDatabase(folder string) (database *bbolt.DB, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			database, err = nil, &CorruptStateError{Reason: fmt.Sprint(reason)}
		}
	}()
	if err := os.MkdirAll(folder, dataFolderMode); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: databaseLockTimeout, FreelistType: bbolt.FreelistMapType}
	return bbolt.Open(filepath.Join(folder, databaseFile), databaseFileMode, options)
}

// initializeIncarnation stores the incarnation as the owner of the database. It
// deletes all shards if another incarnation owned it.
func initializeIncarnation(tx *bbolt.Tx, incarnation structs.Incarnation) error {
	identity, err := tx.CreateBucketIfNotExists(bucketIdentity)
	if err != nil {
		return err
	}
	if stored, err := verifyChecksum(keyIncarnation, identity.Get(keyIncarnation)); err == nil && stored != nil {
		if structs.Incarnation(binary.BigEndian.Uint64(stored)) == incarnation {
			_, err := tx.CreateBucketIfNotExists(bucketShards)
			return err
		}
	}
	if err := tx.DeleteBucket(bucketShards); err != nil && err != bolterrors.ErrBucketNotFound {
		return err
	}
	if _, err := tx.CreateBucket(bucketShards); err != nil {
		return err
	}
	return identity.Put(keyIncarnation, addChecksum(keyIncarnation, encodeUint64(uint64(incarnation))))
}

// Close closes the database.
func (b *BoltStorage) Close() error { return b.database.Close() }

// Write stores all writes in one transaction. The error is a
// *failure.DiskFailed.
func (b *BoltStorage) Write(writes []ShardWrite) error {
	err := b.database.Update(func(tx *bbolt.Tx) error {
		for i := range writes {
			if err := writeShard(tx.Bucket(bucketShards), &writes[i]); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return &failure.DiskFailed{Cause: err}
	}
	return nil
}

func writeShard(shards *bbolt.Bucket, write *ShardWrite) error {
	key := shardKey(write.Shard)
	if write.Remove {
		if err := shards.DeleteBucket(key); err != nil && err != bolterrors.ErrBucketNotFound {
			return err
		}
	}
	bucket, err := shards.CreateBucketIfNotExists(key)
	if err != nil {
		return err
	}
	if write.State != nil {
		if err := putMessage(bucket, keyState, write.State); err != nil {
			return err
		}
	}
	if write.Snapshot != nil {
		if err := writeSnapshot(bucket, write); err != nil {
			return err
		}
	}
	return writeEntries(bucket, write)
}

func writeEntries(bucket *bbolt.Bucket, write *ShardWrite) error {
	if len(write.Entries) == 0 {
		return nil
	}
	entries, err := bucket.CreateBucketIfNotExists(bucketEntries)
	if err != nil {
		return err
	}
	if err := deleteEntriesFrom(entries, write.Entries[0].Index); err != nil {
		return err
	}
	for _, entry := range write.Entries {
		if err := putMessage(entries, encodeUint64(entry.Index), entry); err != nil {
			return err
		}
	}
	last := encodeUint64(write.Entries[len(write.Entries)-1].Index)
	return bucket.Put(keyLastIndex, addChecksum(keyLastIndex, last))
}

// deleteEntriesFrom deletes the entries from index on.
func deleteEntriesFrom(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(encodeUint64(index)); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesUpTo deletes the entries up to and including index.
func deleteEntriesUpTo(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func writeSnapshot(bucket *bbolt.Bucket, write *ShardWrite) error {
	if err := deleteSnapshottedEntries(bucket, write); err != nil {
		return err
	}
	if err := bucket.DeleteBucket(bucketSnapshotChunks); err != nil && err != bolterrors.ErrBucketNotFound {
		return err
	}
	chunks, err := bucket.CreateBucket(bucketSnapshotChunks)
	if err != nil {
		return err
	}
	data := write.Snapshot.Data
	for offset := 0; offset < len(data); offset += snapshotChunkBytes {
		key := encodeUint64(uint64(offset))
		chunk := data[offset:min(offset+snapshotChunkBytes, len(data))]
		if err := chunks.Put(key, addChecksum(key, chunk)); err != nil {
			return err
		}
	}
	return putMessage(bucket, keySnapshot, snapshotMetadata(write.Snapshot))
}

// deleteSnapshottedEntries deletes the entries that the snapshot covers, or all
// entries unless KeepLaterEntries is set.
func deleteSnapshottedEntries(bucket *bbolt.Bucket, write *ShardWrite) error {
	if !write.KeepLaterEntries {
		if err := bucket.DeleteBucket(bucketEntries); err != nil && err != bolterrors.ErrBucketNotFound {
			return err
		}
		return bucket.Put(keyLastIndex, addChecksum(keyLastIndex, encodeUint64(write.Snapshot.Index)))
	}
	entries := bucket.Bucket(bucketEntries)
	if entries == nil {
		return nil
	}
	return deleteEntriesUpTo(entries, write.Snapshot.Index)
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, addChecksum(key, data))
}

func shardKey(id structs.ShardID) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(id))
}

func encodeUint64(value uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, value)
}
