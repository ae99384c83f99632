package journal

import "fmt"

// NotLeading reports a proposal to a replica that does not lead, or that is
// handing leadership over. Nothing was appended.
type NotLeading struct {
	// Leader is the believed leader; zero when none is known.
	Leader MemberID
}

func (e *NotLeading) Error() string {
	return fmt.Sprintf("not leading; believed leader %q", string(e.Leader.Node))
}

// Full reports that too much is proposed and not committed. Nothing was
// appended.
type Full struct {
	// Bytes is the size of what is uncommitted.
	Bytes int
}

func (e *Full) Error() string {
	return fmt.Sprintf("%d bytes are uncommitted", e.Bytes)
}

// ChangePending reports a membership change while another is not committed.
type ChangePending struct {
	// Index is the entry that has to be committed first.
	Index uint64
}

func (e *ChangePending) Error() string {
	return fmt.Sprintf("entry %d is not committed", e.Index)
}
