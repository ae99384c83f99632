package journal

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// oracle holds the entries that any member was seen to commit, and the first
// violation.
type oracle struct {
	committed           map[uint64]*journalv1.Entry
	highestCommitted    uint64
	highestAcknowledged uint64
	leaders             map[uint64]MemberID
	committedData       map[string]uint64
	violation           string
}

func newOracle() *oracle {
	return &oracle{committed: map[uint64]*journalv1.Entry{}, leaders: map[uint64]MemberID{}, committedData: map[string]uint64{}}
}

func (o *oracle) recordViolation(format string, arguments ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, arguments...)
	}
}

func (o *oracle) checkApplied(id MemberID, entry *journalv1.Entry) {
	committed, exists := o.committed[entry.Index]
	if exists {
		if committed.Term != entry.Term || string(committed.Data) != string(entry.Data) || committed.Type != entry.Type {
			o.recordViolation("%v applied a different entry at index %d", id, entry.Index)
		}
		return
	}
	if entry.Index != o.highestCommitted+1 {
		o.recordViolation("%v committed entry %d, but the highest committed entry is %d", id, entry.Index, o.highestCommitted)
	}
	o.committed[entry.Index] = entry
	o.highestCommitted = max(o.highestCommitted, entry.Index)
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		if index, found := o.committedData[string(entry.Data)]; found {
			o.recordViolation("%q was committed at index %d and %d", entry.Data, index, entry.Index)
		}
		o.committedData[string(entry.Data)] = entry.Index
	}
}

func (o *oracle) checkLeader(id MemberID, term uint64) {
	if other, exists := o.leaders[term]; exists && other != id {
		o.recordViolation("%v and %v are both leaders of term %d", other, id, term)
	}
	o.leaders[term] = id
}

// checkServing checks that a leader that starts to serve holds all committed
// entries, in its log or in its state. It does not need the entries of later
// terms: another leader may have replaced it before its first entry was
// committed.
func (o *oracle) checkServing(m *simulatedNode) {
	for index := m.replica.log.baseIndex + 1; index <= o.highestCommitted; index++ {
		committedTerm := o.committed[index].Term
		if committedTerm > m.replica.term {
			break
		}
		term, found := m.replica.log.term(index)
		if !found || term != committedTerm {
			o.recordViolation("leader %v of term %d does not hold committed entry %d", m.id, m.replica.term, index)
			return
		}
	}
	o.checkState(m.id, m.appliedIndex, m.appliedData)
}

func (o *oracle) checkState(id MemberID, index uint64, state []string) {
	var want []string
	for i := uint64(1); i <= index; i++ {
		entry, known := o.committed[i]
		if !known {
			o.recordViolation("%v holds a state that includes index %d, which is not committed", id, index)
			return
		}
		if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
			want = append(want, string(entry.Data))
		}
	}
	if !slices.Equal(want, state) {
		o.recordViolation("%v holds a different state at index %d", id, index)
	}
}
