// Package replica implements the replica process. Replicas store turns, budgets and loans of the
// system durably, in replication groups.
//
// The system's data is divided into partitions. Each partition is replicated by one group, and each
// group is a list of members. A member holds a numbered seat in its group; when a node is replaced,
// its successor takes over the same seat. Every change of a group increases its epoch. The epoch in
// which a node took its seat is the member's claim.
//
// A data folder that starts to fill a seat draws a random incarnation, and starts a new one after a
// disk loss. Together with the seat and the claim it is the folder's identity in the partition. A
// standing is what a node reports about its seat: its epoch, its identity, whether it is recovered,
// and which incarnations of other seats it has seen. Package quorum decides which standings count
// together.
//
// A member is recovered when it holds all records that its seat held before. It is in sync when it
// is recovered and reports the group's current epoch. A seat is in transfer while its new holder
// has not received the records yet. A standby is a registered node without a seat in the group that
// can take one.
//
// The platform's store is the store of the platform that the system runs on. It holds the groups,
// the registered nodes and the configuration. A replica process that loses contact to it continues
// to serve with the groups that it knows.
package replica

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

const (
	// minLogBytesToCompact is the log size below which no compaction runs. maxLogToLiveRatio is the
	// ratio of log size to live records above which one runs.
	minLogBytesToCompact = 32 << 20
	maxLogToLiveRatio    = 3
	// noPosition marks records that do not belong to a turn store.
	noPosition = math.MaxUint64
	// maxReadAttempts bounds the attempts to read a record that a compaction moves meanwhile.
	maxReadAttempts = 3
	// maxPendingBytes bounds the bytes that wait for a disk which rejects writes. Above it new
	// records are refused.
	maxPendingBytes          = 256 << 10
	maxSegmentsPerCompaction = 4
	// maxWriteDuration is how long a write may take before the disk counts as unavailable. It is long
	// compared to the seconds for which the syncs of a busy machine may stand still.
	maxWriteDuration = suspectAfter
)

// state is the log and the in-memory state that it describes. Its methods are safe for concurrent
// use. Methods that write return after the change is on the disk.
type state struct {
	log *recordlog.Log
	// generation is a random number drawn each time the log is opened. Positions in a copy are
	// valid only within one generation.
	generation uint64
	// minCompactBytes is minLogBytesToCompact, unless a test changes it.
	minCompactBytes int64
	// now is the monotonic clock.
	now func() time.Time

	mutex         sync.Mutex
	partitions    map[uint32]*partitionState
	configuration *replicav1.Configuration
	workers       persistedWorkers
	versions      persistedVersions
	drainedZones  *replicav1.DrainedZoneList
	// fromFirstStart is set if this folder was begun with the system, before its first group was formed.
	fromFirstStart bool
	// quarantine holds the counts of requests under which workers have ended. It is not guarded by the
	// mutex.
	quarantine *quarantine.Table
	// quarantineOnDisk is up to where the records of quarantine are on the disk.
	quarantineOnDisk quarantine.Cursor
}

// openState reads the log. An empty folder gives a state without an identity. For a damaged log it
// returns an error of type recordlog.Damaged.
func openState(files recordlog.FileSystem) (*state, error) {
	return openStateWithClock(files, time.Now)
}

// openStateWithClock is openState with a given clock.
func openStateWithClock(files recordlog.FileSystem, now func() time.Time) (*state, error) {
	opened := &state{
		generation: rand.Uint64() | 1, minCompactBytes: minLogBytesToCompact, now: now, partitions: make(map[uint32]*partitionState),
		quarantine: quarantine.NewTable(now),
	}
	log, err := recordlog.Open(files, func(data []byte, at recordlog.Position) error {
		record := &replicav1.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			return &recordlog.Damaged{}
		}
		store := opened.partition(record.Partition).store
		position := store.Next()
		opened.apply(record)
		store.Placed(position, at)
		return nil
	})
	opened.log = log
	_, opened.quarantineOnDisk = opened.quarantine.Since(quarantine.Cursor{})
	return opened, err
}

// partition returns the state of a partition and creates it if needed. The mutex must be held.
func (s *state) partition(partition uint32) *partitionState {
	p := s.partitions[partition]
	if p == nil {
		p = newPartitionState(partition, s.now)
		s.partitions[partition] = p
	}
	return p
}

// apply applies a record to the state in memory and reports whether it changed anything.
func (s *state) apply(record *replicav1.Record) bool {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Configuration:
		if s.configuration != nil && s.configuration.Version >= kind.Configuration.Version {
			return false
		}
		s.configuration = kind.Configuration
	case *replicav1.Record_Workers:
		return s.workers.apply(kind.Workers)
	case *replicav1.Record_KnownVersion:
		return s.versions.apply(kind.KnownVersion)
	case *replicav1.Record_DrainedZones:
		if s.drainedZones.GetRevision() >= kind.DrainedZones.Revision {
			return false
		}
		s.drainedZones = kind.DrainedZones
	case *replicav1.Record_FirstStart:
		if s.fromFirstStart {
			return false
		}
		s.fromFirstStart = true
	case *replicav1.Record_Quarantine:
		s.quarantine.Merge(decodeStoredQuarantine(kind.Quarantine, s.now())...)
		return false
	default:
		return s.partition(record.Partition).apply(record)
	}
	return true
}

// write applies records and returns once they, and all equal records written earlier, are on the
// disk. While the disk rejects writes, new records are refused before they are applied.
func (s *state) write(records ...*replicav1.Record) error {
	owed := s.log.UnwrittenBytes()
	if owed > maxPendingBytes {
		records = nil
	}
	wait, err := s.enqueue(records)
	if err != nil {
		return err
	}
	if err := wait(); err != nil {
		return err
	}
	if owed > maxPendingBytes {
		return &recordlog.WriteBacklog{Bytes: owed}
	}
	return nil
}

// recordRef identifies a record of a turn store by its partition and position.
type recordRef struct {
	partition uint32
	position  uint64
}

// update runs a decision on the state of a partition while the mutex is held. It returns once the
// records that the decision writes, and all earlier records, are on the disk. While the disk
// rejects writes, the decision is not run.
func (s *state) update(partition uint32, decision func(partitionState *partitionState, write func(*replicav1.Record))) error {
	if owed := s.log.UnwrittenBytes(); owed > maxPendingBytes {
		return &recordlog.WriteBacklog{Bytes: owed}
	}
	wait, err := s.enqueueBatch(func(b *writeBatch) { decision(s.partition(partition), b.add) })
	if err != nil {
		return err
	}
	return wait()
}

// enqueue applies records and passes those that changed the state to the log, as one atomic step.
func (s *state) enqueue(records []*replicav1.Record) (wait func() error, err error) {
	return s.enqueueBatch(func(b *writeBatch) {
		for _, record := range records {
			b.add(record)
		}
	})
}

// enqueueBatch runs apply and passes the records that it added to the log, as one atomic step.
func (s *state) enqueueBatch(apply func(*writeBatch)) (wait func() error, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := &writeBatch{state: s}
	if apply(b); b.err != nil {
		return nil, b.err
	}
	return s.log.Enqueue(s.placeRecorder(b.refs), b.encoded...), nil
}

// writeBatch collects records that were applied and are to be written. The state's mutex must be
// held.
type writeBatch struct {
	state   *state
	encoded [][]byte
	refs    []recordRef
	err     error
}

// add applies a record and adds it to the batch if it changed the state.
func (b *writeBatch) add(record *replicav1.Record) {
	store := b.state.partition(record.Partition).store
	position := store.Next()
	if b.err != nil || !b.state.apply(record) {
		return
	}
	data, err := proto.Marshal(record)
	if err != nil {
		b.err = &failure.Internal{Cause: err}
		return
	}
	if store.Next() == position {
		position = noPosition
	}
	b.encoded = append(b.encoded, data)
	b.refs = append(b.refs, recordRef{partition: record.Partition, position: position})
}

// placeRecorder returns a callback that stores where in the log the records were written.
func (s *state) placeRecorder(refs []recordRef) func([]recordlog.Position) {
	return func(places []recordlog.Position) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for i, record := range refs {
			if record.position != noPosition {
				s.partition(record.partition).store.Placed(record.position, places[i])
			}
		}
	}
}

// diskUnavailable reports whether the disk rejects writes or has not completed one for
// maxWriteDuration. A member whose disk is unavailable stores nothing and cannot be copied.
func (s *state) diskUnavailable() bool {
	return s.log.UnwrittenBytes() > 0 || s.log.WritingFor() >= maxWriteDuration
}

// standing returns this replica's standing in a partition. It includes the group if the caller's
// epoch is older.
func (s *state) standing(partition uint32, epoch uint64) *replicav1.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).standing(epoch)
}

// recordCount returns the number of stored turns, reservations and settlements.
func (s *state) recordCount() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		count += partition.store.Len()
	}
	return count
}

// metadataRecords returns the records outside the turn stores: identities, groups, seen
// incarnations, loan accounts, the configuration, the workers, the ages of their versions, the drained
// zones and the counts of requests under which workers have ended.
func (s *state) metadataRecords() (records []*replicav1.Record) {
	for _, partition := range s.partitions {
		records = append(records, partition.metadataRecords()...)
	}
	if s.configuration != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: s.configuration}})
	}
	if list := s.workers.list(); list != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Workers{Workers: list}})
	}
	records = append(records, s.versions.records()...)
	if s.drainedZones != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: s.drainedZones}})
	}
	if s.fromFirstStart {
		records = append(records, firstStartRecord())
	}
	records = append(records, s.quarantineRecords()...)
	return records
}

// currentGroup returns the newest known group of a partition, or nil.
func (s *state) currentGroup(partition uint32) *replicav1.Group {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).group
}

// currentGroups returns the newest known group of each partition.
func (s *state) currentGroups() (groups []*replicav1.Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		if partition.group != nil {
			groups = append(groups, partition.group)
		}
	}
	return groups
}

// currentIdentity returns the identity of this data folder in a partition, or nil.
func (s *state) currentIdentity(partition uint32) *replicav1.Identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).identity
}
