package journal

import "fmt"

// NotLeader reports a proposal to a replica that is not the leader, or that is
// transferring leadership. Nothing was appended.
type NotLeader struct {
	// Leader is the last known leader, or zero if none is known.
	Leader MemberID
}

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not the leader; last known leader is %q", string(e.Leader.Node))
}

// UncommittedLimitReached reports that too many bytes of proposals are not
// committed yet. Nothing was appended.
type UncommittedLimitReached struct {
	// Bytes is the size of the uncommitted entries.
	Bytes int
}

func (e *UncommittedLimitReached) Error() string {
	return fmt.Sprintf("too many uncommitted bytes: %d", e.Bytes)
}

// MembershipChangePending reports a membership change while an earlier entry
// must be committed first.
type MembershipChangePending struct {
	// Index is the index of the entry that must be committed first.
	Index uint64
}

func (e *MembershipChangePending) Error() string {
	return fmt.Sprintf("entry %d must be committed before the membership can change", e.Index)
}
