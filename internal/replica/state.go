// Package replica is the process that keeps records on a disk: kept turns,
// budgets, the last configuration and its place in the group of replicas.
package replica

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

const (
	// minCompactBytes is the size below which a log is left as it is, and
	// compactFactor how many times its live records it may grow to.
	minCompactBytes = 32 << 20
	compactFactor   = 3
	// noPosition stands for records that are not the store's.
	noPosition = math.MaxUint64
	// maxReads is how often a record that has moved is looked for.
	maxReads = 3
	// maxOwedBytes is how much of what the disk did not take may be waiting before
	// new records are refused.
	maxOwedBytes = 256 << 10
	// maxCompacted bounds the segments that one compaction gives back.
	maxCompacted = 4
)

// state is what the log says, and the log. Its methods are safe for concurrent
// use; those that say so return only once the change is on the disk.
type state struct {
	log *recordlog.Log
	// life tells this process from an earlier one of the same folder.
	life uint64
	// compactFrom is the size below which the log is left as it is.
	compactFrom int64
	// now is the steady clock.
	now func() time.Time

	mutex         sync.Mutex
	partitions    map[uint32]*partitionState
	configuration *replicav1.Configuration
	workers       keptWorkers
	drainedZones  *replicav1.DrainedZoneList
}

// openState reads the log. A folder that is empty or damaged gives a state
// without an identity.
func openState(files recordlog.FileSystem) (*state, error) { return openStateAt(files, time.Now) }

// openStateAt is openState with a clock.
func openStateAt(files recordlog.FileSystem, now func() time.Time) (*state, error) {
	opened := &state{
		life: rand.Uint64() | 1, compactFrom: minCompactBytes, now: now, partitions: make(map[uint32]*partitionState),
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
	return opened, err
}

// partition returns what is known of a partition. The mutex is held.
func (s *state) partition(partition uint32) *partitionState {
	known := s.partitions[partition]
	if known == nil {
		known = newPartitionState(partition, s.now)
		s.partitions[partition] = known
	}
	return known
}

// apply takes a record into memory and reports whether it changed anything.
func (s *state) apply(record *replicav1.Record) bool {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Configuration:
		if s.configuration != nil && s.configuration.Version >= kind.Configuration.Version {
			return false
		}
		s.configuration = kind.Configuration
	case *replicav1.Record_Workers:
		return s.workers.take(kind.Workers)
	case *replicav1.Record_DrainedZones:
		if s.drainedZones.GetRevision() >= kind.DrainedZones.Revision {
			return false
		}
		s.drainedZones = kind.DrainedZones
	default:
		return s.partition(record.Partition).apply(record)
	}
	return true
}

// write applies records and returns once they, and all equal ones from before,
// are on the disk. While the disk takes nothing, new records are refused before
// they are applied.
func (s *state) write(records ...*replicav1.Record) error {
	owed := s.log.UnwrittenBytes()
	if owed > maxOwedBytes {
		records = nil
	}
	wait, err := s.enqueue(records)
	if err != nil {
		return err
	}
	if err := wait(); err != nil {
		return err
	}
	if owed > maxOwedBytes {
		return &recordlog.WriteBacklog{Bytes: owed}
	}
	return nil
}

// placedRecord names a record of a store: its partition and its position there.
type placedRecord struct {
	partition uint32
	position  uint64
}

// decide lets a decision rest on what is known of a partition, and returns once the
// records that it writes, and all before them, are on the disk. While the disk takes
// nothing, no decision is made.
func (s *state) decide(partition uint32, decision func(known *partitionState, write func(*replicav1.Record))) error {
	if owed := s.log.UnwrittenBytes(); owed > maxOwedBytes {
		return &recordlog.WriteBacklog{Bytes: owed}
	}
	wait, err := s.enqueueWith(func(changes *changes) { decision(s.partition(partition), changes.add) })
	if err != nil {
		return err
	}
	return wait()
}

// enqueue applies records and hands those that are new to the log, in one step.
func (s *state) enqueue(records []*replicav1.Record) (wait func() error, err error) {
	return s.enqueueWith(func(changes *changes) {
		for _, record := range records {
			changes.add(record)
		}
	})
}

// enqueueWith hands the changes that are made to the log, in one step with making them.
func (s *state) enqueueWith(change func(*changes)) (wait func() error, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	made := &changes{state: s}
	if change(made); made.err != nil {
		return nil, made.err
	}
	return s.log.Enqueue(s.placed(made.written), made.encoded...), nil
}

// changes are records that were applied and are to be written. The state's mutex is held.
type changes struct {
	state   *state
	encoded [][]byte
	written []placedRecord
	err     error
}

// add applies a record and notes it for the log if it changed anything.
func (c *changes) add(record *replicav1.Record) {
	store := c.state.partition(record.Partition).store
	position := store.Next()
	if c.err != nil || !c.state.apply(record) {
		return
	}
	data, err := proto.Marshal(record)
	if err != nil {
		c.err = &failure.Internal{Cause: err}
		return
	}
	if store.Next() == position {
		position = noPosition
	}
	c.encoded = append(c.encoded, data)
	c.written = append(c.written, placedRecord{partition: record.Partition, position: position})
}

// placed returns a function that notes where records were written.
func (s *state) placed(written []placedRecord) func([]recordlog.Position) {
	return func(places []recordlog.Position) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for i, record := range written {
			if record.position != noPosition {
				s.partition(record.partition).store.Placed(record.position, places[i])
			}
		}
	}
}

// standing describes this replica's seat of a partition to a caller that knows an
// epoch.
func (s *state) standing(partition uint32, epoch uint64) *replicav1.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).standing(epoch)
}

// records returns how many kept turns, reservations and settlements there are.
func (s *state) records() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		count += each.store.Len()
	}
	return count
}

// ownRecords returns what this replica knows of itself, the groups, the
// configuration, the workers and the drained zones.
func (s *state) ownRecords() (records []*replicav1.Record) {
	for _, each := range s.partitions {
		records = append(records, each.ownRecords()...)
	}
	if s.configuration != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: s.configuration}})
	}
	if list := s.workers.list(); list != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Workers{Workers: list}})
	}
	if s.drainedZones != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: s.drainedZones}})
	}
	return records
}

// currentGroup returns the newest group that is known of a partition, or nil.
func (s *state) currentGroup(partition uint32) *replicav1.Group {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).group
}

// currentGroups returns the newest groups that are known.
func (s *state) currentGroups() (groups []*replicav1.Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		if each.group != nil {
			groups = append(groups, each.group)
		}
	}
	return groups
}

// currentIdentity returns what this folder is in a partition, or nil.
func (s *state) currentIdentity(partition uint32) *replicav1.Identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partition(partition).identity
}
