package journal

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// oracle holds what any member was seen to commit.
type oracle struct {
	committed    map[uint64]*journalv1.Entry
	highest      uint64
	acknowledged uint64
	leaders      map[uint64]MemberID
	seen         map[string]uint64
	violation    string
}

func newOracle() *oracle {
	return &oracle{committed: map[uint64]*journalv1.Entry{}, leaders: map[uint64]MemberID{}, seen: map[string]uint64{}}
}

func (o *oracle) violate(format string, arguments ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, arguments...)
	}
}

func (o *oracle) applied(id MemberID, entry *journalv1.Entry) {
	known, exists := o.committed[entry.Index]
	if exists {
		if known.Term != entry.Term || string(known.Data) != string(entry.Data) || known.Type != entry.Type {
			o.violate("%v applied another entry at %d", id, entry.Index)
		}
		return
	}
	if entry.Index != o.highest+1 {
		o.violate("%v committed %d, but %d is the highest", id, entry.Index, o.highest)
	}
	o.committed[entry.Index] = entry
	o.highest = max(o.highest, entry.Index)
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		if at, twice := o.seen[string(entry.Data)]; twice {
			o.violate("%q committed at %d and %d", entry.Data, at, entry.Index)
		}
		o.seen[string(entry.Data)] = entry.Index
	}
}

func (o *oracle) leads(id MemberID, term uint64) {
	if other, taken := o.leaders[term]; taken && other != id {
		o.violate("%v and %v lead term %d", other, id, term)
	}
	o.leaders[term] = id
}

// serves checks that a leader that begins to serve holds all that was
// committed, in its log or in its state. Entries of later terms are none of a
// leader's that was already deposed when its first entry was committed.
func (o *oracle) serves(m *simulated) {
	for index := m.replica.log.base + 1; index <= o.highest; index++ {
		committed := o.committed[index].Term
		if committed > m.replica.term {
			break
		}
		term, held := m.replica.log.term(index)
		if !held || term != committed {
			o.violate("leader %v of term %d lacks committed entry %d", m.id, m.replica.term, index)
			return
		}
	}
	o.checkState(m.id, m.position, m.machine)
}

func (o *oracle) checkState(id MemberID, index uint64, state []string) {
	var want []string
	for at := uint64(1); at <= index; at++ {
		entry, known := o.committed[at]
		if !known {
			o.violate("%v holds the state at %d, which nobody committed", id, index)
			return
		}
		if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
			want = append(want, string(entry.Data))
		}
	}
	if !slices.Equal(want, state) {
		o.violate("%v holds another state at %d", id, index)
	}
}
