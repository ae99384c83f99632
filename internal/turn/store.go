// Package turn holds the kept turns and the token budgets of programs as one
// replica knows them. It is pure: records go in, answers come out. Records are
// written once and never changed, so that the order in which they arrive does
// not matter. A record leaves the memory once its place in the log is known:
// what turns say and what is only passed on to other replicas is read from
// there.
//
// The turns of a chain are kept and dropped together, and so are the records of a
// program. A replica may lack some of them, and the uses of those that it has: a
// record is on a majority of the replicas only. Unused and DropUnused therefore
// leave it to the caller to ask the others before anything is dropped.
package turn

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// Store is what a replica's records say.
type Store struct {
	turns map[string]*keptTurn
	// chains are the chains of turns, by the id of the first turn.
	chains   map[string]*chain
	programs map[string]*program
	streams  *streamStarts
	// records are all records that Pull passes on, oldest first.
	records []Stored
	// next is the position of the next record; positions are never used twice.
	next uint64
	// bytes is the size of all records.
	bytes int64
}

// Stored is a record of the store.
type Stored struct {
	// Record is nil where Place is known.
	*replicav1.Record
	// Place is where the record lies in the log; zero until that is known.
	Place recordlog.Position

	position uint64
	// retention is how long the record is kept after its last use.
	retention time.Duration
	// size is the record's encoded size in bytes.
	size    int
	subject subject
}

// subjectKind is the kind of what a record concerns.
type subjectKind uint8

const (
	subjectNone subjectKind = iota
	subjectTurn
	subjectProgram
	subjectStream
)

// subject is what a record concerns: the turn, the program whose budget it changes, or the stream.
type subject struct {
	kind subjectKind
	// name is the id of a turn, the name of a program, or the content of a stream.
	name string
	// request is the one that began a stream.
	request string
}

// Kept is a turn of a chain.
type Kept struct {
	// Turn lacks input and output where Place is known.
	*replicav1.Turn
	Place recordlog.Position
}

type keptTurn struct {
	Kept
	chain *chain
}

type program struct {
	name    string
	entries map[string]*replicav1.Entry
	usage   usage
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		turns: make(map[string]*keptTurn), chains: make(map[string]*chain), programs: make(map[string]*program), streams: newStreamStarts(),
	}
}

// Apply takes a record that came in at a time of the steady clock, and reports
// whether it was new.
func (s *Store) Apply(now time.Time, record *replicav1.Record) bool {
	added := false
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Turn:
		added = s.addTurn(now, kind.Turn)
	case *replicav1.Record_Reservation:
		added = s.reserve(now, kind.Reservation)
	case *replicav1.Record_Settlement:
		added = s.settle(now, kind.Settlement)
	case *replicav1.Record_Stream:
		added = s.streams.add(now, kind.Stream)
	}
	if added {
		retention := time.Duration(record.RetentionMs) * time.Millisecond
		size := proto.Size(record)
		stored := Stored{position: s.next, Record: record, retention: retention, size: size, subject: s.subjectOf(record)}
		s.records = append(s.records, stored)
		s.bytes += int64(size)
		s.next++
		if used := s.usageOf(stored.subject); used != nil {
			used.retention = max(used.retention, retention)
		}
	}
	return added
}

// Next returns the position of the next record that is new.
func (s *Store) Next() uint64 { return s.next }

// Placed notes where the record at a position lies in the log. It is read from
// there from now on.
func (s *Store) Placed(position uint64, at recordlog.Position) {
	i := s.search(position)
	if i == len(s.records) || s.records[i].position != position {
		return
	}
	placed := &s.records[i]
	placed.Place, placed.Record = at, nil
	if placed.subject.kind == subjectTurn {
		s.turns[placed.subject.name].place(at)
	}
}

// place notes where the turn lies in the log. What it says leaves the memory.
func (k *keptTurn) place(at recordlog.Position) {
	k.Kept = Kept{Turn: &replicav1.Turn{Id: k.Id, Previous: k.Previous, Program: k.Program}, Place: at}
}

func (s *Store) search(position uint64) int {
	return sort.Search(len(s.records), func(i int) bool { return s.records[i].position >= position })
}

// In returns the records that lie in a segment of the log.
func (s *Store) In(segment uint64) []Stored {
	var found []Stored
	for _, each := range s.records {
		if each.Place.Segment == segment {
			found = append(found, each)
		}
	}
	return found
}

// Position returns the record's position, which is never used for another.
func (s Stored) Position() uint64 { return s.position }

func (s *Store) entry(now time.Time, name, id string) *replicav1.Entry {
	known := s.programs[name]
	if known == nil {
		known = &program{name: name, entries: make(map[string]*replicav1.Entry)}
		s.programs[name] = known
	}
	known.usage.lastUse = now
	entry := known.entries[id]
	if entry == nil {
		entry = &replicav1.Entry{Id: id, Program: known.name, Most: -1}
		known.entries[id] = entry
	}
	return entry
}

// subjectOf returns what a record concerns. It shares the name of a program, which has many records.
func (s *Store) subjectOf(record *replicav1.Record) subject {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Turn:
		return subject{kind: subjectTurn, name: kind.Turn.Id}
	case *replicav1.Record_Reservation:
		return subject{kind: subjectProgram, name: s.programs[kind.Reservation.Program].name}
	case *replicav1.Record_Settlement:
		return subject{kind: subjectProgram, name: s.programs[kind.Settlement.Program].name}
	case *replicav1.Record_Stream:
		return subject{kind: subjectStream, name: kind.Stream.Content, request: kind.Stream.Request}
	}
	return subject{}
}

// StreamStarts returns the known starts of streams with a content, or, if request is not empty, of the one
// that began with that request.
func (s *Store) StreamStarts(content, request string) []*replicav1.StreamStart {
	return s.streams.find(content, request)
}

func (s *Store) reserve(now time.Time, reservation *replicav1.Reservation) bool {
	entry := s.entry(now, reservation.Program, reservation.Id)
	if entry.Most >= 0 {
		return false
	}
	entry.Most, entry.Holder = reservation.Most, reservation.Holder
	return true
}

func (s *Store) settle(now time.Time, settlement *replicav1.Settlement) bool {
	entry := s.entry(now, settlement.Program, settlement.Id)
	if entry.Settled {
		return false
	}
	entry.Settled, entry.Used = true, settlement.Used
	return true
}

// Entries returns the reservations of a program, without its name: lists of them are
// most of what replicas answer.
func (s *Store) Entries(program string) []*replicav1.Entry {
	known := s.programs[program]
	if known == nil {
		return nil
	}
	entries := make([]*replicav1.Entry, 0, len(known.entries))
	for _, entry := range known.entries {
		listed := proto.CloneOf(entry)
		listed.Program = ""
		entries = append(entries, listed)
	}
	return entries
}

// Len returns how many records there are.
func (s *Store) Len() int { return len(s.records) }

// Bytes returns the encoded size of all records.
func (s *Store) Bytes() int64 { return s.bytes }

// Chain returns a turn and the turns before it, the newest first, as far as
// they are known.
func (s *Store) Chain(id string) []Kept {
	var chain []Kept
	for id != "" {
		found := s.turns[id]
		if found == nil {
			break
		}
		chain = append(chain, found.Kept)
		id = found.Previous
	}
	return chain
}

// After returns records from a position on, up to about limit bytes, with the
// position after them and whether there are more.
func (s *Store) After(position uint64, limit int) (records []Stored, next uint64, more bool) {
	from := s.search(position)
	size := 0
	next = position
	for from < len(s.records) && size < limit {
		each := s.records[from]
		records = append(records, each)
		size += each.size
		next = each.position + 1
		from++
	}
	return records, next, from < len(s.records)
}
