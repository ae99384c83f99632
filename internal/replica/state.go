// Package replica is the process that keeps records on a disk: kept turns,
// budgets, the last configuration and its place in the group of replicas.
package replica

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/turn"
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
func openState(files recordlog.Files) (*state, error) { return openStateAt(files, time.Now) }

// openStateAt is openState with a clock.
func openStateAt(files recordlog.Files, now func() time.Time) (*state, error) {
	opened := &state{
		life: rand.Uint64() | 1, compactFrom: minCompactBytes, now: now, partitions: make(map[uint32]*partitionState),
	}
	log, err := recordlog.Open(files, func(data []byte, at recordlog.Place) error {
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
	owed := s.log.Owed()
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
		return &recordlog.Behind{Bytes: owed}
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
	if owed := s.log.Owed(); owed > maxOwedBytes {
		return &recordlog.Behind{Bytes: owed}
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
func (s *state) placed(written []placedRecord) func([]recordlog.Place) {
	return func(places []recordlog.Place) {
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

// compact drops what has expired. While the log holds much more than what is
// live, it writes what is live in its oldest segment anew.
func (s *state) compact(now time.Time) error {
	s.mutex.Lock()
	for _, each := range s.partitions {
		each.store.Expire(now)
	}
	s.mutex.Unlock()
	for range maxCompacted {
		size, live := s.log.Size(), s.liveBytes()
		if size < s.compactFrom || size < compactFactor*live {
			return nil
		}
		if err := s.compactSegment(s.log.Oldest()); err != nil {
			return err
		}
	}
	return nil
}

// liveBytes returns the size of the records of all partitions.
func (s *state) liveBytes() (live int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		live += each.store.Bytes()
	}
	return live
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

// compactSegment writes what is live in a segment, and everything that is not
// a store's, to the end of the log, and gives the segment's space back.
func (s *state) compactSegment(segment uint64) error {
	var places []recordlog.Place
	var written []placedRecord
	s.mutex.Lock()
	for partition, each := range s.partitions {
		for _, live := range each.store.In(segment) {
			places = append(places, live.Place)
			written = append(written, placedRecord{partition: partition, position: live.Position()})
		}
	}
	s.mutex.Unlock()
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	for _, record := range s.ownRecords() {
		data, err := proto.Marshal(record)
		if err != nil {
			s.mutex.Unlock()
			return &failure.Internal{Cause: err}
		}
		encoded = append(encoded, data)
		written = append(written, placedRecord{position: noPosition})
	}
	wait := s.log.Replace(segment, s.placed(written), encoded...)
	s.mutex.Unlock()
	return wait()
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

// chain returns a turn and those before it, whole, the newest first, as far as
// they are here. It fails where the turn is here and cannot be read: that is no
// proof that it does not exist. A turn before it that cannot be read ends the
// chain.
func (s *state) chain(partition uint32, id string) ([]*replicav1.Turn, error) {
	s.mutex.Lock()
	kept := s.partition(partition).store.Chain(id)
	s.mutex.Unlock()
	turns := make([]*replicav1.Turn, 0, len(kept))
	for _, each := range kept {
		whole, err := s.load(partition, each)
		if err != nil {
			eventUnreadable.Log("turn", each.Id, "cause", err.Error())
			if len(turns) == 0 {
				return nil, err
			}
			break
		}
		turns = append(turns, whole)
	}
	return turns, nil
}

// load reads what a turn says. One whose segment was given back lies elsewhere.
func (s *state) load(partition uint32, kept turn.Kept) (*replicav1.Turn, error) {
	for try := 1; ; try++ {
		if kept.Place.IsZero() {
			return kept.Turn, nil
		}
		data, err := s.log.Read(kept.Place)
		if err == nil {
			record, err := decodeTurn(data, kept.Place)
			return record.GetTurn(), err
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || try == maxReads {
			return nil, err
		}
		s.mutex.Lock()
		if found := s.partition(partition).store.Chain(kept.Id); len(found) > 0 {
			kept = found[0]
		}
		s.mutex.Unlock()
	}
}

// decodeTurn reads a turn's record as the log has it.
func decodeTurn(data []byte, at recordlog.Place) (*replicav1.Record, error) {
	record := &replicav1.Record{}
	if err := proto.Unmarshal(data, record); err != nil || record.GetTurn() == nil {
		return nil, &recordlog.Damaged{Offset: at.Offset}
	}
	return record, nil
}

// after returns whole records of a partition from a position on, up to about limit
// bytes.
func (s *state) after(partition uint32, position uint64, limit int) (records []*replicav1.Record, next uint64, more bool, err error) {
	for try := 1; ; try++ {
		s.mutex.Lock()
		found, next, more := s.partition(partition).store.After(position, limit)
		s.mutex.Unlock()
		records, err := s.loadAll(found)
		if err == nil {
			return records, next, more, nil
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || try == maxReads {
			return nil, position, true, err
		}
	}
}

// loadAll returns records with what their turns say.
func (s *state) loadAll(found []turn.Stored) ([]*replicav1.Record, error) {
	var places []recordlog.Place
	for _, each := range found {
		if each.GetTurn() != nil && !each.Place.IsZero() {
			places = append(places, each.Place)
		}
	}
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return nil, err
	}
	records := make([]*replicav1.Record, 0, len(found))
	for _, each := range found {
		record := each.Record
		if record.GetTurn() != nil && !each.Place.IsZero() {
			if record, err = decodeTurn(encoded[0], each.Place); err != nil {
				return nil, err
			}
			encoded = encoded[1:]
		}
		records = append(records, record)
	}
	return records, nil
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
