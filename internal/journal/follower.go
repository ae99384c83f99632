package journal

import "github.com/barleyshelf/barleyshelf/internal/gen/journalv1"

func (r *Replica) stepAppend(from MemberID, m *journalv1.Message) {
	answer := &journalv1.Message{Type: journalv1.MessageType_MESSAGE_TYPE_APPEND_ANSWER, Term: r.term}
	if m.Index < r.commit && !r.broken.skipLogMatching {
		answer.Index, answer.Commit = r.commit, r.commit
		r.answerAppend(from, answer)
		return
	}
	term, held := r.log.term(m.Index)
	if (!held || term != m.LogTerm) && !r.broken.skipLogMatching {
		answer.Reject, answer.Index = true, m.Index
		answer.Hint = r.matchHint(m.Index, m.LogTerm)
		r.answerAppend(from, answer)
		return
	}
	last := r.storeEntries(m.Index, m.Entries)
	r.setCommit(min(m.Commit, last))
	answer.Index, answer.Commit = last, r.commit
	r.answerAppend(from, answer)
}

func (r *Replica) answerAppend(to MemberID, answer *journalv1.Message) {
	if r.broken.acknowledgeUnstored {
		r.sendEarly(to, answer)
		return
	}
	r.sendStored(to, answer)
}

// storeEntries appends what is new of entries that follow previous, and
// returns the last index that now matches the sender's log.
func (r *Replica) storeEntries(previous uint64, entries []*journalv1.Entry) uint64 {
	if r.broken.skipLogMatching {
		return r.storeUnmatched(entries)
	}
	for _, entry := range entries {
		term, held := r.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if entry.Index <= r.log.last() {
			r.truncate(entry.Index - 1)
		}
		r.appendEntry(entry)
	}
	return previous + uint64(len(entries))
}

// storeUnmatched is the deliberate breakage skipLogMatching.
func (r *Replica) storeUnmatched(entries []*journalv1.Entry) uint64 {
	for _, entry := range entries {
		if entry.Index == r.log.last()+1 {
			r.appendEntry(entry)
		}
	}
	return r.log.last()
}

// matchHint returns the last index at or before index at which the logs may
// match: the last whose term is not above the leader's.
func (r *Replica) matchHint(index, term uint64) uint64 {
	hint := min(index, r.log.last())
	for hint > r.log.base {
		if own, _ := r.log.term(hint); own <= term {
			break
		}
		hint--
	}
	return hint
}
