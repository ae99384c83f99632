package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

// entryOverheadBytes is added to the size of each entry's data.
const entryOverheadBytes = 64

// entryLog is the part of the log in memory: the entries after (baseIndex,
// baseTerm). The applied state covers all entries up to baseIndex.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*journalv1.Entry
	bytes     int
}

func entryBytes(entry *journalv1.Entry) int {
	return len(entry.Data) + entryOverheadBytes
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log does not
// hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) entry(index uint64) *journalv1.Entry {
	return l.entries[index-l.baseIndex-1]
}

// entriesBetween returns the entries in (after, upTo], limited to maxBytes but
// at least one.
func (l *entryLog) entriesBetween(after, upTo uint64, maxBytes int) []*journalv1.Entry {
	if upTo <= after {
		return nil
	}
	entries := l.entries[after-l.baseIndex : upTo-l.baseIndex]
	total := 0
	for i, entry := range entries {
		total += entryBytes(entry)
		if total > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

func (l *entryLog) append(entry *journalv1.Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += entryBytes(entry)
}

// truncate drops the entries after last.
func (l *entryLog) truncate(last uint64) {
	for _, entry := range l.entries[last-l.baseIndex:] {
		l.bytes -= entryBytes(entry)
	}
	kept := l.entries[:last-l.baseIndex]
	// Copy the entries: slices returned earlier must not see later appends.
	l.entries = append(make([]*journalv1.Entry, 0, len(kept)), kept...)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.lastIndex() {
		return
	}
	term, _ := l.term(index)
	for _, entry := range l.entries[:index-l.baseIndex] {
		l.bytes -= entryBytes(entry)
	}
	kept := l.entries[index-l.baseIndex:]
	l.entries = append(make([]*journalv1.Entry, 0, len(kept)), kept...)
	l.baseIndex, l.baseTerm = index, term
}

// compactionIndex returns the index, at most limit, up to which entries must
// be dropped to keep at most keepBytes.
func (l *entryLog) compactionIndex(limit uint64, keepBytes int) uint64 {
	remaining := l.bytes
	index := l.baseIndex
	for index < limit && remaining > keepBytes {
		index++
		remaining -= entryBytes(l.entry(index))
	}
	return index
}

// reset empties the log. The next entry follows (index, term).
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}
