package turn

import (
	"math"
	"slices"
	"time"
)

// ExpiryMargin is how much longer than its retention a record is kept, so that what goes on from it at the last moment
// is complete before it is dropped.
const ExpiryMargin = 5 * time.Second

// usage is when records that are kept and dropped together were last used.
type usage struct {
	lastUse time.Time
	// retention is the longest of the records.
	retention time.Duration
}

// isOver reports whether the records need not be kept any longer, as far as their uses are known.
func (u usage) isOver(now time.Time) bool {
	return u.lastUse.Add(u.retention + ExpiryMargin).Before(now)
}

// Usage is what one replica knows of the use of a chain or a program.
type Usage struct {
	// IsKnown is set if the replica has records of the chain or program.
	IsKnown bool
	// Idle is the time since the last use, and Retention for how long after it the records are kept.
	Idle, Retention time.Duration
}

// Subjects names chains, by the ids of their first turns, and programs.
type Subjects struct {
	Chains, Programs []string
}

// IsEmpty reports whether nothing is named.
func (n Subjects) IsEmpty() bool { return len(n.Chains) == 0 && len(n.Programs) == 0 }

// Unused returns up to limit chains and as many programs whose records have not been used for their retention, as far
// as that is known here.
func (s *Store) Unused(now time.Time, limit int) (unused Subjects) {
	for id, each := range s.chains {
		if each.usage.isOver(now) && len(unused.Chains) < limit {
			unused.Chains = append(unused.Chains, id)
		}
	}
	for name, each := range s.programs {
		if each.usage.isOver(now) && len(unused.Programs) < limit {
			unused.Programs = append(unused.Programs, name)
		}
	}
	slices.Sort(unused.Chains)
	slices.Sort(unused.Programs)
	return unused
}

// ChainUsage returns what is known here of a chain's use. The zero value is a chain that is not known.
func (s *Store) ChainUsage(now time.Time, id string) Usage {
	if known := s.chains[id]; known != nil {
		return known.usage.at(now)
	}
	return Usage{}
}

// ProgramUsage is ChainUsage for a program.
func (s *Store) ProgramUsage(now time.Time, name string) Usage {
	if known := s.programs[name]; known != nil {
		return known.usage.at(now)
	}
	return Usage{}
}

func (u usage) at(now time.Time) Usage {
	return Usage{IsKnown: true, Idle: max(0, now.Sub(u.lastUse)), Retention: u.retention}
}

// ObserveChainUsage adopts what another replica knows of a chain's use. A chain that is not known here stays unknown.
func (s *Store) ObserveChainUsage(now time.Time, id string, other Usage) {
	if known := s.chains[id]; known != nil {
		known.usage.observe(now, other)
	}
}

// ObserveProgramUsage is ObserveChainUsage for a program.
func (s *Store) ObserveProgramUsage(now time.Time, name string, other Usage) {
	if known := s.programs[name]; known != nil {
		known.usage.observe(now, other)
	}
}

func (u *usage) observe(now time.Time, other Usage) {
	if !other.IsKnown {
		return
	}
	u.retention = max(u.retention, other.Retention)
	if lastUse := now.Add(-other.Idle); lastUse.After(u.lastUse) {
		u.lastUse = lastUse
	}
}

// DropUnused drops the records of those chains and programs that have not been used since they were found unused. No
// other replica may know of a later use. It also drops the starts of streams that are old enough, which nothing uses.
func (s *Store) DropUnused(now time.Time, unused Subjects) {
	dropped := make(map[*usage]bool, len(unused.Chains)+len(unused.Programs))
	for _, id := range unused.Chains {
		if known := s.chains[id]; known != nil && known.usage.isOver(now) {
			dropped[&known.usage] = true
		}
	}
	for _, name := range unused.Programs {
		if known := s.programs[name]; known != nil && known.usage.isOver(now) {
			dropped[&known.usage] = true
		}
	}
	s.dropRecords(func(each Stored) bool {
		if each.subject.kind == subjectStream {
			return s.streams.usage(each).isOver(now)
		}
		return dropped[s.usageOf(each.subject)]
	})
	s.dropPrograms(unused.Programs, dropped)
}

// Expire drops all records that have not been used for their retention. It is for a replica that need not ask others.
func (s *Store) Expire(now time.Time) { s.DropUnused(now, s.Unused(now, math.MaxInt)) }

// dropRecords drops the records that are to be dropped. Programs stay: their records need them until all are dropped.
func (s *Store) dropRecords(isDropped func(Stored) bool) {
	kept := s.records[:0]
	for _, each := range s.records {
		if !isDropped(each) {
			kept = append(kept, each)
			continue
		}
		s.bytes -= int64(each.size)
		switch each.subject.kind {
		case subjectTurn:
			s.removeTurn(each.subject.name)
		case subjectStream:
			s.streams.remove(each.subject.name, each.subject.request)
		}
	}
	clear(s.records[len(kept):])
	s.records = kept
}

// dropPrograms removes the programs whose records were dropped.
func (s *Store) dropPrograms(names []string, dropped map[*usage]bool) {
	for _, name := range names {
		if known := s.programs[name]; known != nil && dropped[&known.usage] {
			delete(s.programs, name)
		}
	}
}

// usageOf returns the use of what a record concerns, or nil for a stream, which has none.
func (s *Store) usageOf(concerned subject) *usage {
	switch concerned.kind {
	case subjectTurn:
		return &s.turns[concerned.name].chain.usage
	case subjectProgram:
		return &s.programs[concerned.name].usage
	}
	return nil
}
