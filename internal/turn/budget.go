package turn

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// Ledger is the union of what several replicas know of one program's
// reservations.
type Ledger map[string]*replicav1.Entry

// Merge adds entries. A settlement known to one replica holds for all.
func (l Ledger) Merge(entries []*replicav1.Entry) {
	for _, entry := range entries {
		known := l[entry.Id]
		if known == nil {
			l[entry.Id] = entry
			continue
		}
		known.Most = max(known.Most, entry.Most)
		if entry.Holder != nil {
			known.Holder = entry.Holder
		}
		if entry.Settled {
			known.Settled, known.Used = true, entry.Used
		}
	}
}

// MergeLedger adds what another ledger of the program knows.
func (l Ledger) MergeLedger(other Ledger) {
	for _, entry := range other {
		l.Merge([]*replicav1.Entry{entry})
	}
}

// OthersSettled reports whether every reservation but those that are named is
// settled.
func (l Ledger) OthersSettled(but ...string) bool {
	for id, entry := range l {
		if !entry.Settled && !slices.Contains(but, id) {
			return false
		}
	}
	return true
}

// Settled returns the tokens that the program has used for good. They never
// become fewer.
func (l Ledger) Settled() int64 {
	var sum int64
	for _, entry := range l {
		if entry.Settled {
			sum += entry.Used
		}
	}
	return sum
}

// Loans returns the loans that are not settled, by id.
func (l Ledger) Loans() (loans []*replicav1.Entry) {
	for _, entry := range l {
		if entry.Holder != nil && !entry.Settled {
			loans = append(loans, entry)
		}
	}
	slices.SortFunc(loans, func(a, b *replicav1.Entry) int { return strings.Compare(a.Id, b.Id) })
	return loans
}

// FitsWithoutLoans reports whether a reservation of most tokens would stay within the
// budget if nothing of the program's unsettled loans were used. Where it would, the
// budget is not known to be spent: what a loan has left may come back.
func (l Ledger) FitsWithoutLoans(id string, most, budget int64) bool {
	lent := int64(0)
	for _, loan := range l.Loans() {
		lent += max(0, loan.Most)
	}
	return l.Committed(id)-lent+most <= budget
}

// Committed returns the tokens that the program has used or may still use
// without the reservation that is named.
func (l Ledger) Committed(without string) int64 {
	var sum int64
	for id, entry := range l {
		switch {
		case id == without:
		case entry.Settled:
			sum += entry.Used
		default:
			sum += max(0, entry.Most)
		}
	}
	return sum
}

// Fits reports whether a reservation of most tokens stays within the budget.
func (l Ledger) Fits(id string, most, budget int64) bool {
	return l.Committed(id)+most <= budget
}
