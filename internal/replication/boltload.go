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

// CorruptStateError reports that a store does not hold all that its incarnation
// promised. The daemon must come back as a new incarnation.
type CorruptStateError struct {
	// Reason says what is missing.
	Reason string
}

func (e *CorruptStateError) Error() string { return fmt.Sprintf("stored state lost: %s", e.Reason) }

const checksumBytes = 8

// seal puts a checksum over key and data before data.
func seal(key, data []byte) []byte {
	sealed := make([]byte, checksumBytes, checksumBytes+len(data))
	binary.BigEndian.PutUint64(sealed, checksum(key, data))
	return append(sealed, data...)
}

// open returns a copy of the data of a sealed value; nil of an absent one.
func open(key, sealed []byte) ([]byte, error) {
	if sealed == nil {
		return nil, nil
	}
	if len(sealed) < checksumBytes || binary.BigEndian.Uint64(sealed) != checksum(key, sealed[checksumBytes:]) {
		return nil, &CorruptStateError{Reason: fmt.Sprintf("checksum of %x", key)}
	}
	return append([]byte{}, sealed[checksumBytes:]...), nil
}

func checksum(key, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// Load returns all shards. An entry after the last acknowledged one that does
// not match its checksum is cut off with all that follow it. The error is a
// *failure.DiskFailed whose cause is a *CorruptStateError where acknowledged state is
// damaged.
func (b *BoltStorage) Load() (found map[structs.ShardID]StoredShard, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = &failure.DiskFailed{Cause: &CorruptStateError{Reason: fmt.Sprint(reason)}}
		}
	}()
	found = map[structs.ShardID]StoredShard{}
	err = b.database.View(func(tx *bbolt.Tx) error {
		shards := tx.Bucket(bucketShards)
		return shards.ForEachBucket(func(key []byte) error {
			stored, err := loadShard(shards.Bucket(key))
			if err != nil {
				return err
			}
			found[structs.ShardID(binary.BigEndian.Uint32(key))] = stored
			return nil
		})
	})
	if err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	return found, nil
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
	last, err := open(keyLast, bucket.Get(keyLast))
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

// loadEntries returns the entries after base, without gaps.
func loadEntries(bucket *bbolt.Bucket, base, acknowledged uint64) ([]*journalv1.Entry, error) {
	var entries []*journalv1.Entry
	next := base + 1
	for ; bucket != nil; next++ {
		entry := &journalv1.Entry{}
		key := number(next)
		if bucket.Get(key) == nil {
			break
		}
		if err := getMessage(bucket, key, entry); err != nil {
			eventTailCut.Log("index", next, "acknowledged", acknowledged)
			break
		}
		entries = append(entries, entry)
	}
	if next <= acknowledged {
		return nil, &CorruptStateError{Reason: fmt.Sprintf("entry %d of %d", next, acknowledged)}
	}
	return entries, nil
}

func describeSnapshot(snapshot *journal.Snapshot) *journalv1.Message {
	return &journalv1.Message{
		Index: snapshot.Index, LogTerm: snapshot.Term, Membership: snapshot.Membership, Size: uint64(len(snapshot.Data)),
	}
}

func loadSnapshot(bucket *bbolt.Bucket) (journal.Snapshot, error) {
	description := &journalv1.Message{}
	if err := getMessage(bucket, keySnapshot, description); err != nil {
		return journal.Snapshot{}, err
	}
	snapshot := journal.Snapshot{
		Index: description.Index, Term: description.LogTerm, Membership: description.Membership,
	}
	parts := bucket.Bucket(bucketParts)
	for uint64(len(snapshot.Data)) < description.Size {
		key := number(uint64(len(snapshot.Data)))
		part, err := open(key, parts.Get(key))
		if err != nil {
			return snapshot, err
		}
		if len(part) == 0 {
			return snapshot, &CorruptStateError{Reason: "part of a snapshot"}
		}
		snapshot.Data = append(snapshot.Data, part...)
	}
	return snapshot, nil
}

// getMessage decodes a sealed value; an absent one leaves message as it is.
func getMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	data, err := open(key, bucket.Get(key))
	if err != nil || data == nil {
		return err
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return &CorruptStateError{Reason: err.Error()}
	}
	return nil
}
