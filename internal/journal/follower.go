package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

func (r *Replica) stepAppend(from MemberID, m *journalv1.Message) {
	answer := &journalv1.Message{Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term}
	if m.Index < r.commitIndex && !r.injected.skipLogMatching {
		answer.Index, answer.Commit = r.commitIndex, r.commitIndex
		r.answerAppend(from, answer)
		return
	}
	previousTerm, found := r.log.term(m.Index)
	if (!found || previousTerm != m.LogTerm) && !r.injected.skipLogMatching {
		answer.Reject, answer.Index = true, m.Index
		answer.Hint = r.lastPossibleMatch(m.Index, m.LogTerm)
		r.answerAppend(from, answer)
		return
	}
	last := r.appendNewEntries(m.Index, m.Entries)
	r.setCommit(min(m.Commit, last))
	answer.Index, answer.Commit = last, r.commitIndex
	r.answerAppend(from, answer)
}

func (r *Replica) answerAppend(to MemberID, answer *journalv1.Message) {
	if r.injected.acknowledgeBeforeStore {
		r.sendImmediately(to, answer)
		return
	}
	r.sendAfterStore(to, answer)
}

// appendNewEntries appends those of the entries after previous that are new,
// and returns the last index at which the log matches the sender's log.
func (r *Replica) appendNewEntries(previous uint64, entries []*journalv1.Entry) uint64 {
	if r.injected.skipLogMatching {
		return r.appendWithoutMatching(entries)
	}
	for _, entry := range entries {
		term, found := r.log.term(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if entry.Index <= r.log.lastIndex() {
			r.truncate(entry.Index - 1)
		}
		r.appendEntry(entry)
	}
	return previous + uint64(len(entries))
}

// appendWithoutMatching replaces appendNewEntries if skipLogMatching is
// injected.
func (r *Replica) appendWithoutMatching(entries []*journalv1.Entry) uint64 {
	for _, entry := range entries {
		if entry.Index == r.log.lastIndex()+1 {
			r.appendEntry(entry)
		}
	}
	return r.log.lastIndex()
}

// lastPossibleMatch returns the last index, at most index, at which the logs
// may match: the last entry whose term is not above the given term.
func (r *Replica) lastPossibleMatch(index, term uint64) uint64 {
	candidate := min(index, r.log.lastIndex())
	for candidate > r.log.baseIndex {
		if ownTerm, _ := r.log.term(candidate); ownTerm <= term {
			break
		}
		candidate--
	}
	return candidate
}
