package quorum

import "github.com/barleyshelf/barleyshelf/internal/gen/replicav1"

// RequiredRecoverySources is how many members an empty one must copy to hold everything that counts. While
// the removal of a member is not complete, what counts may lie with as few as before it.
func RequiredRecoverySources(group *replicav1.Group) int {
	voters := VoterCount(group)
	needed := RecoveryQuorum(voters)
	if group.Removed != nil {
		needed = max(needed, RecoveryQuorum(voters+1))
	}
	return needed
}

// ToleratedLosses is how many members of a group may still lose their disks, where so many hold what
// their seats held: the others must be enough for the empty ones to copy. It is negative where they
// are too few already.
func ToleratedLosses(group *replicav1.Group, whole int) int {
	return whole - RequiredRecoverySources(group)
}
