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

// Names in the data folder and in the database.
const (
	boltFile        = "journal.db"
	boltFileMode    = 0o600
	boltFolderMode  = 0o700
	boltLockTimeout = 2 * time.Second
	// snapshotPartBytes is the size of one value of a stored snapshot.
	snapshotPartBytes = 1 << 20
)

var (
	bucketIdentity = []byte("identity")
	bucketShards   = []byte("shards")
	bucketEntries  = []byte("entries")
	bucketParts    = []byte("parts")
	keyIncarnation = []byte("incarnation")
	keyState       = []byte("state")
	keySnapshot    = []byte("snapshot")
	keyLast        = []byte("last")
)

// BoltStorage is a Storage in one bbolt database. Every value carries a checksum over
// its key and content; a write of many shards is one transaction.
type BoltStorage struct {
	database *bbolt.DB
}

// OpenBoltStorage opens the store in folder for one incarnation of the daemon. What
// the store holds of another incarnation is dropped: its promises are not this
// one's. The error is a *failure.DiskFailed.
func OpenBoltStorage(folder string, incarnation structs.Incarnation) (*BoltStorage, error) {
	database, err := openDatabase(folder)
	if err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	err = database.Update(func(tx *bbolt.Tx) error { return claim(tx, incarnation) })
	if err != nil {
		_ = database.Close()
		return nil, &failure.DiskFailed{Cause: err}
	}
	return &BoltStorage{database: database}, nil
}

// openDatabase opens the file. bbolt reports some damage by a panic.
func openDatabase(folder string) (database *bbolt.DB, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			database, err = nil, &CorruptStateError{Reason: fmt.Sprint(reason)}
		}
	}()
	if err := os.MkdirAll(folder, boltFolderMode); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: boltLockTimeout, FreelistType: bbolt.FreelistMapType}
	return bbolt.Open(filepath.Join(folder, boltFile), boltFileMode, options)
}

// claim makes the store that of one incarnation.
func claim(tx *bbolt.Tx, incarnation structs.Incarnation) error {
	identity, err := tx.CreateBucketIfNotExists(bucketIdentity)
	if err != nil {
		return err
	}
	if held, err := open(keyIncarnation, identity.Get(keyIncarnation)); err == nil && held != nil {
		if structs.Incarnation(binary.BigEndian.Uint64(held)) == incarnation {
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
	return identity.Put(keyIncarnation, seal(keyIncarnation, number(uint64(incarnation))))
}

// Close closes the database.
func (b *BoltStorage) Close() error { return b.database.Close() }

// ShardWrite stores all writes in one transaction. The error is a
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
	if err := deleteFrom(entries, write.Entries[0].Index); err != nil {
		return err
	}
	for _, entry := range write.Entries {
		if err := putMessage(entries, number(entry.Index), entry); err != nil {
			return err
		}
	}
	last := number(write.Entries[len(write.Entries)-1].Index)
	return bucket.Put(keyLast, seal(keyLast, last))
}

// deleteFrom drops the entries from index on.
func deleteFrom(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(number(index)); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteUpTo drops the entries up to index.
func deleteUpTo(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func writeSnapshot(bucket *bbolt.Bucket, write *ShardWrite) error {
	if err := dropCovered(bucket, write); err != nil {
		return err
	}
	if err := bucket.DeleteBucket(bucketParts); err != nil && err != bolterrors.ErrBucketNotFound {
		return err
	}
	parts, err := bucket.CreateBucket(bucketParts)
	if err != nil {
		return err
	}
	data := write.Snapshot.Data
	for offset := 0; offset < len(data); offset += snapshotPartBytes {
		key := number(uint64(offset))
		part := data[offset:min(offset+snapshotPartBytes, len(data))]
		if err := parts.Put(key, seal(key, part)); err != nil {
			return err
		}
	}
	return putMessage(bucket, keySnapshot, describeSnapshot(write.Snapshot))
}

// dropCovered drops the entries that the snapshot stands for.
func dropCovered(bucket *bbolt.Bucket, write *ShardWrite) error {
	if !write.KeepLaterEntries {
		if err := bucket.DeleteBucket(bucketEntries); err != nil && err != bolterrors.ErrBucketNotFound {
			return err
		}
		return bucket.Put(keyLast, seal(keyLast, number(write.Snapshot.Index)))
	}
	entries := bucket.Bucket(bucketEntries)
	if entries == nil {
		return nil
	}
	return deleteUpTo(entries, write.Snapshot.Index)
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, seal(key, data))
}

func shardKey(id structs.ShardID) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(id))
}

func number(value uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, value)
}
