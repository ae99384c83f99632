// Package turn holds the kept turns and the token budgets of programs as one
// replica knows them. It is pure: records go in, answers come out. Records are
// written once and never changed, so that the order in which they arrive does
// not matter.
package turn

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// Store is what a replica's records say.
type Store struct {
	turns    map[string]*replicav1.Turn
	programs map[string]map[string]*replicav1.Entry
	// records are all records that Pull passes on, oldest first.
	records []*replicav1.Record
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{turns: make(map[string]*replicav1.Turn), programs: make(map[string]map[string]*replicav1.Entry)}
}

// Apply takes a record and reports whether it was new.
func (s *Store) Apply(record *replicav1.Record) bool {
	added := false
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Turn:
		if _, found := s.turns[kind.Turn.Id]; !found {
			s.turns[kind.Turn.Id] = kind.Turn
			added = true
		}
	case *replicav1.Record_Reservation:
		added = s.reserve(kind.Reservation)
	case *replicav1.Record_Settlement:
		added = s.settle(kind.Settlement)
	}
	if added {
		s.records = append(s.records, record)
	}
	return added
}

func (s *Store) entry(program, id string) *replicav1.Entry {
	entries := s.programs[program]
	if entries == nil {
		entries = make(map[string]*replicav1.Entry)
		s.programs[program] = entries
	}
	entry := entries[id]
	if entry == nil {
		entry = &replicav1.Entry{Id: id, Program: program, Most: -1}
		entries[id] = entry
	}
	return entry
}

func (s *Store) reserve(reservation *replicav1.Reservation) bool {
	entry := s.entry(reservation.Program, reservation.Id)
	if entry.Most >= 0 {
		return false
	}
	entry.Most = reservation.Most
	return true
}

func (s *Store) settle(settlement *replicav1.Settlement) bool {
	entry := s.entry(settlement.Program, settlement.Id)
	if entry.Settled {
		return false
	}
	entry.Settled, entry.Used = true, settlement.Used
	return true
}

// Entries returns the reservations of a program.
func (s *Store) Entries(program string) []*replicav1.Entry {
	entries := make([]*replicav1.Entry, 0, len(s.programs[program]))
	for _, entry := range s.programs[program] {
		entries = append(entries, proto.CloneOf(entry))
	}
	return entries
}

// Len returns how many records there are.
func (s *Store) Len() int { return len(s.records) }

// Chain returns a turn and the turns before it, the newest first, as far as
// they are known.
func (s *Store) Chain(id string) []*replicav1.Turn {
	var chain []*replicav1.Turn
	for id != "" {
		found := s.turns[id]
		if found == nil {
			break
		}
		chain = append(chain, found)
		id = found.Previous
	}
	return chain
}

// After returns records from a position on, up to about limit bytes, with the
// position after them and whether there are more.
func (s *Store) After(position uint64, limit int) (records []*replicav1.Record, next uint64, more bool) {
	size := 0
	next = min(position, uint64(len(s.records)))
	for next < uint64(len(s.records)) && size < limit {
		record := s.records[next]
		records = append(records, record)
		size += proto.Size(record)
		next++
	}
	return records, next, next < uint64(len(s.records))
}
