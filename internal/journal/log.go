package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// entryOverheadBytes is counted for each entry besides its data.
const entryOverheadBytes = 64

// entryLog is the part of the log that is held in memory: the entries after
// (base, baseTerm). Everything up to base is covered by the applied state.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*journalv1.Entry
	bytes    int
}

func entryBytes(entry *journalv1.Entry) int {
	return len(entry.Data) + entryOverheadBytes
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false where the log does
// not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) entry(index uint64) *journalv1.Entry {
	return l.entries[index-l.base-1]
}

// between returns the entries in (after, upTo] up to maxBytes, at least one.
func (l *entryLog) between(after, upTo uint64, maxBytes int) []*journalv1.Entry {
	if upTo <= after {
		return nil
	}
	part := l.entries[after-l.base : upTo-l.base]
	total := 0
	for i, entry := range part {
		total += entryBytes(entry)
		if total > maxBytes && i > 0 {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (l *entryLog) append(entry *journalv1.Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += entryBytes(entry)
}

// truncate drops the entries after last.
func (l *entryLog) truncate(last uint64) {
	for _, entry := range l.entries[last-l.base:] {
		l.bytes -= entryBytes(entry)
	}
	kept := l.entries[:last-l.base]
	// A copy: slices handed out earlier must not see later appends.
	l.entries = append(make([]*journalv1.Entry, 0, len(kept)), kept...)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.last() {
		return
	}
	term, _ := l.term(index)
	for _, entry := range l.entries[:index-l.base] {
		l.bytes -= entryBytes(entry)
	}
	kept := l.entries[index-l.base:]
	l.entries = append(make([]*journalv1.Entry, 0, len(kept)), kept...)
	l.base, l.baseTerm = index, term
}

// excess returns the index, at most limit, up to which entries must go so that
// keepBytes are left.
func (l *entryLog) excess(limit uint64, keepBytes int) uint64 {
	left := l.bytes
	index := l.base
	for index < limit && left > keepBytes {
		index++
		left -= entryBytes(l.entry(index))
	}
	return index
}

// reset empties the log; it continues after (index, term).
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term}
}
