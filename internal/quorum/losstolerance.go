package quorum

import "github.com/barleyshelf/barleyshelf/internal/gen/replicav1"

// RequiredRecoverySources returns the number of members that an empty member must copy from to hold
// all records that count. While the removal of a member is not complete, these records may be on
// as few members as before the removal.
func RequiredRecoverySources(group *replicav1.Group) int {
	voters := VoterCount(group)
	needed := RecoveryQuorum(voters)
	if group.Removed != nil {
		needed = max(needed, RecoveryQuorum(voters+1))
	}
	return needed
}

// ToleratedLosses returns how many members of a group may still lose their disks if the given
// number of members is intact, that is, has all records of its seat. The rest must be enough for
// the empty members to copy from. The result is negative if there are already too few.
func ToleratedLosses(group *replicav1.Group, intact int) int {
	return intact - RequiredRecoverySources(group)
}
