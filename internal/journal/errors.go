package journal

import "fmt"

// NotLeader reports a proposal to a replica that does not lead, or that is
// handing leadership over. Nothing was appended.
type NotLeader struct {
	// Leader is the believed leader; zero when none is known.
	Leader MemberID
}

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not leading; believed leader %q", string(e.Leader.Node))
}

// UncommittedLimitReached reports that too much is proposed and not committed. Nothing was
// appended.
type UncommittedLimitReached struct {
	// Bytes is the size of what is uncommitted.
	Bytes int
}

func (e *UncommittedLimitReached) Error() string {
	return fmt.Sprintf("%d bytes are uncommitted", e.Bytes)
}

// MembershipChangePending reports a membership change while another is not committed.
type MembershipChangePending struct {
	// Index is the entry that has to be committed first.
	Index uint64
}

func (e *MembershipChangePending) Error() string {
	return fmt.Sprintf("entry %d is not committed", e.Index)
}
