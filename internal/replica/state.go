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
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// minCompactBytes is the size below which a log is left as it is, and
	// compactFactor how many times its live records it may grow to.
	minCompactBytes = 32 << 20
	compactFactor   = 3
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
	log, encoded, err := recordlog.Open(files)
	if err != nil {
		return nil, err
	}
	opened := &state{
		log: log, life: rand.Uint64() | 1, compactFrom: minCompactBytes, store: turn.NewStore(), seen: make(map[uint32]uint64),
	}
	for _, data := range encoded {
		record := &replicav1.Record{}
		if err := proto.Unmarshal(data, record); err != nil {
			log.Close()
			return nil, &recordlog.Damaged{}
		}
		opened.apply(record)
	}
	return opened, nil
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
// are on the disk.
func (s *state) write(records ...*replicav1.Record) error {
	s.mutex.Lock()
	encoded := make([][]byte, 0, len(records))
	for _, record := range records {
		if !s.apply(record) {
			continue
		}
		data, err := proto.Marshal(record)
		if err != nil {
			s.mutex.Unlock()
			return &failure.Internal{Cause: err}
		}
		encoded = append(encoded, data)
	}
	wait := s.log.Enqueue(encoded...)
	s.mutex.Unlock()
	return wait()
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
		standing.Seat = s.identity.Seat
		standing.Incarnation = s.identity.Incarnation
		standing.Recovered = s.identity.Recovered
	}
	for seat, incarnation := range s.seen {
		standing.Seen = append(standing.Seen, &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation})
	}
	return standing
}

// compact drops what has expired and, when the log holds much more than what is
// live, writes the live records anew.
func (s *state) compact(now time.Time) error {
	s.mutex.Lock()
	s.store.Expire(now)
	size := s.log.Size()
	if size < s.compactFrom || size < compactFactor*s.store.Bytes() {
		s.mutex.Unlock()
		return nil
	}
	wait := s.log.Rewrite(s.live())
	s.mutex.Unlock()
	return wait()
}

// live returns all records that count, encoded.
func (s *state) live() (encoded [][]byte) {
	records, _, _ := s.store.After(0, math.MaxInt)
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
	for _, record := range records {
		data, err := proto.Marshal(record)
		if err != nil {
			continue
		}
		encoded = append(encoded, data)
	}
	return encoded
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
