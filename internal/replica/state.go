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

	mutex         sync.Mutex
	store         *turn.Store
	group         *replicav1.Group
	identity      *replicav1.Identity
	seen          map[uint32]uint64
	configuration *replicav1.Configuration
	workers       *replicav1.WorkerList
}

// openState reads the log. A folder that is empty or damaged gives a state
// without an identity.
func openState(files recordlog.Files) (*state, error) {
	opened := &state{
		life: rand.Uint64() | 1, compactFrom: minCompactBytes, store: turn.NewStore(), seen: make(map[uint32]uint64),
	}
	log, err := recordlog.Open(files, func(data []byte, at recordlog.Place) error {
		record := &replicav1.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			return &recordlog.Damaged{}
		}
		position := opened.store.Next()
		opened.apply(record)
		opened.store.Placed(position, at)
		return nil
	})
	opened.log = log
	return opened, err
}

// apply takes a record into memory and reports whether it changed anything.
func (s *state) apply(record *replicav1.Record) bool {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Identity:
		s.identity = kind.Identity
	case *replicav1.Record_Incarnation:
		if s.seen[kind.Incarnation.Seat] == kind.Incarnation.Incarnation {
			return false
		}
		s.seen[kind.Incarnation.Seat] = kind.Incarnation.Incarnation
	case *replicav1.Record_Group:
		if s.group != nil && s.group.Epoch >= kind.Group.Epoch {
			return false
		}
		s.group = kind.Group
	case *replicav1.Record_Configuration:
		if s.configuration != nil && s.configuration.Version >= kind.Configuration.Version {
			return false
		}
		s.configuration = kind.Configuration
	case *replicav1.Record_Workers:
		if s.workers != nil && s.workers.Revision >= kind.Workers.Revision {
			return false
		}
		s.workers = kind.Workers
	default:
		return s.store.Apply(time.Now(), record)
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

// enqueue applies records and hands those that are new to the log, in one step.
func (s *state) enqueue(records []*replicav1.Record) (wait func() error, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	encoded := make([][]byte, 0, len(records))
	positions := make([]uint64, 0, len(records))
	for _, record := range records {
		position := s.store.Next()
		if !s.apply(record) {
			continue
		}
		data, err := proto.Marshal(record)
		if err != nil {
			return nil, &failure.Internal{Cause: err}
		}
		if s.store.Next() == position {
			position = noPosition
		}
		encoded, positions = append(encoded, data), append(positions, position)
	}
	return s.log.Enqueue(s.placed(positions), encoded...), nil
}

// placed returns a function that notes where records were written.
func (s *state) placed(positions []uint64) func([]recordlog.Place) {
	return func(places []recordlog.Place) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for i, position := range positions {
			if position != noPosition {
				s.store.Placed(position, places[i])
			}
		}
	}
}

// member returns this node's seat in the group, if it has one that its folder
// was begun for.
func (s *state) member() (*replicav1.Member, bool) {
	if s.group == nil || s.identity == nil {
		return nil, false
	}
	for _, member := range s.group.Members {
		if member.Seat == s.identity.Seat && member.Claim == s.identity.Claim {
			return member, true
		}
	}
	return nil, false
}

// standing describes this replica to a caller that knows an epoch.
func (s *state) standing(epoch uint64) *replicav1.Standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	standing := &replicav1.Standing{}
	if s.group != nil {
		standing.Epoch = s.group.Epoch
		if epoch < s.group.Epoch {
			standing.Group = s.group
		}
	}
	if s.identity != nil {
		_, standing.Member = s.member()
		standing.Seat, standing.Claim = s.identity.Seat, s.identity.Claim
		standing.Incarnation = s.identity.Incarnation
		standing.Recovered = s.identity.Recovered
	}
	for seat, incarnation := range s.seen {
		standing.Seen = append(standing.Seen, &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation})
	}
	return standing
}

// compact drops what has expired. While the log holds much more than what is
// live, it writes what is live in its oldest segment anew.
func (s *state) compact(now time.Time) error {
	s.mutex.Lock()
	s.store.Expire(now)
	s.mutex.Unlock()
	for range maxCompacted {
		s.mutex.Lock()
		size, live := s.log.Size(), s.store.Bytes()
		s.mutex.Unlock()
		if size < s.compactFrom || size < compactFactor*live {
			return nil
		}
		if err := s.compactSegment(s.log.Oldest()); err != nil {
			return err
		}
	}
	return nil
}

// compactSegment writes what is live in a segment, and everything that is not
// the store's, to the end of the log, and gives the segment's space back.
func (s *state) compactSegment(segment uint64) error {
	s.mutex.Lock()
	live := s.store.In(segment)
	s.mutex.Unlock()
	places := make([]recordlog.Place, 0, len(live))
	positions := make([]uint64, 0, len(live))
	for _, each := range live {
		places, positions = append(places, each.Place), append(positions, each.Position())
	}
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
		encoded, positions = append(encoded, data), append(positions, noPosition)
	}
	wait := s.log.Replace(segment, s.placed(positions), encoded...)
	s.mutex.Unlock()
	return wait()
}

// ownRecords returns what this replica knows of itself, the group, the
// configuration and the workers.
func (s *state) ownRecords() (records []*replicav1.Record) {
	if s.identity != nil {
		records = append(records, identityRecord(s.identity))
	}
	if s.group != nil {
		records = append(records, groupRecord(s.group))
	}
	for seat, incarnation := range s.seen {
		records = append(records, incarnationRecord(seat, incarnation))
	}
	if s.configuration != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: s.configuration}})
	}
	if s.workers != nil {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Workers{Workers: s.workers}})
	}
	return records
}

// chain returns a turn and those before it, whole, the newest first, as far as
// they are here. It fails where the turn is here and cannot be read: that is no
// proof that it does not exist. A turn before it that cannot be read ends the
// chain.
func (s *state) chain(id string) ([]*replicav1.Turn, error) {
	s.mutex.Lock()
	kept := s.store.Chain(id)
	s.mutex.Unlock()
	turns := make([]*replicav1.Turn, 0, len(kept))
	for _, each := range kept {
		whole, err := s.load(each)
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
func (s *state) load(kept turn.Kept) (*replicav1.Turn, error) {
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
		if found := s.store.Chain(kept.Id); len(found) > 0 {
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

// after returns whole records from a position on, up to about limit bytes.
func (s *state) after(position uint64, limit int) (records []*replicav1.Record, next uint64, more bool, err error) {
	for try := 1; ; try++ {
		s.mutex.Lock()
		found, next, more := s.store.After(position, limit)
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

func (s *state) currentGroup() *replicav1.Group {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.group
}

func (s *state) currentIdentity() *replicav1.Identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.identity
}

func groupRecord(group *replicav1.Group) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Group{Group: group}}
}

func identityRecord(identity *replicav1.Identity) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Identity{Identity: identity}}
}

func incarnationRecord(seat uint32, incarnation uint64) *replicav1.Record {
	seen := &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation}
	return &replicav1.Record{Kind: &replicav1.Record_Incarnation{Incarnation: seen}}
}
