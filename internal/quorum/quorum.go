// Package quorum writes records to a majority of a group's replicas and reads from enough of them
// that no acknowledged record can be missed. There is no leader: records are written once and
// never changed.
//
// Invariants:
//   - A record counts as written when W = n/2+1 recovered members of one epoch have it on their
//     disks.
//   - Any W recovered members of that epoch include one that has the record, and so do any W
//     members of the next epoch, which differs by one seat.
//   - After the loss of one member's disk, any n-W+1 others include one that has the record.
//   - Answers count together only if no answering member knows of a newer incarnation (the
//     lifetime of a data folder) of another one (see Consistent).
package quorum

import "github.com/barleyshelf/barleyshelf/internal/gen/replicav1"

// IsJoining reports whether a member holds a new seat and has not yet received the records of the
// other members. It does not count toward any quorum. Otherwise a group that has shrunk to two
// and grows again would be left with one member of three, and no majority, after the loss of one
// disk.
func IsJoining(member *replicav1.Member) bool {
	predecessor := member.GetPredecessor()
	return predecessor != nil && predecessor.Node == "" && predecessor.ReceivedBy == 0
}

// VoterCount returns the number of members of a group that count toward quorums.
func VoterCount(group *replicav1.Group) (count int) {
	for _, member := range group.Members {
		if !IsJoining(member) {
			count++
		}
	}
	return count
}

// WriteQuorum returns how many of a group's members must have a record.
func WriteQuorum(members int) int { return members/2 + 1 }

// ReadQuorum returns how many of a group's members must lack a record before its absence is
// proven. n-W+1 would be enough within one epoch, but a record written in the previous epoch by a
// member that has left since is only found by a majority.
func ReadQuorum(members int) int { return WriteQuorum(members) }

// RecoveryQuorum returns how many other members an empty member of a group must copy from before
// it holds all records of its seat.
func RecoveryQuorum(members int) int { return members - WriteQuorum(members) + 1 }

// Consistent reports whether the standings may count together: each is from a recovered member of
// the epoch, and none has seen another incarnation of a seat than the one that answered.
func Consistent(epoch uint64, standings []*replicav1.Standing) bool {
	incarnations := make(map[uint32]uint64, len(standings))
	for _, standing := range standings {
		if !standing.Member || !standing.Recovered || standing.Epoch != epoch {
			return false
		}
		if _, duplicate := incarnations[standing.Seat]; duplicate {
			return false
		}
		incarnations[standing.Seat] = standing.Incarnation
	}
	for _, standing := range standings {
		for _, seen := range standing.Seen {
			incarnation, answered := incarnations[seen.Seat]
			if answered && incarnation != seen.Incarnation {
				return false
			}
		}
	}
	return true
}

// ChooseConsistent returns the indexes of size standings that may count together, or nil.
func ChooseConsistent(epoch uint64, standings []*replicav1.Standing, size int) []int {
	if len(standings) < size {
		return nil
	}
	var chosen []int
	var chosenStandings []*replicav1.Standing
	var search func(from int) bool
	search = func(from int) bool {
		if len(chosenStandings) == size {
			return Consistent(epoch, chosenStandings)
		}
		for i := from; i < len(standings); i++ {
			chosen, chosenStandings = append(chosen, i), append(chosenStandings, standings[i])
			if search(i + 1) {
				return true
			}
			chosen, chosenStandings = chosen[:len(chosen)-1], chosenStandings[:len(chosenStandings)-1]
		}
		return false
	}
	if search(0) {
		return chosen
	}
	return nil
}
