// Package quorum writes records to a majority of the group's replicas and reads
// from enough of them that no acknowledged record can be missed. There is no
// leader: records are written once and never changed.
//
// Invariants:
//   - A record counts as written when W = n/2+1 recovered members of one epoch
//     have it on their disks.
//   - Any W recovered members of that epoch include one that has it, and so do
//     any W members of the next epoch, which differs by one seat.
//   - Where one member's disk is lost, any n-W+1 others include one that has it.
//   - Answers count together only if no answering member knows of a newer life
//     of another one's data folder (Consistent).
package quorum

import "github.com/barleyshelf/barleyshelf/internal/gen/replicav1"

// IsJoining reports whether a member holds a new seat and has not received yet what the
// others hold. It counts in nothing: if it did, the loss of one disk of a group that has
// shrunk to two, and grows again, would leave one member of three and no majority.
func IsJoining(member *replicav1.Member) bool {
	before := member.GetPredecessor()
	return before != nil && before.Node == "" && before.ReceivedBy == 0
}

// VoterCount returns how many members of a group count.
func VoterCount(group *replicav1.Group) (count int) {
	for _, member := range group.Members {
		if !IsJoining(member) {
			count++
		}
	}
	return count
}

// WriteQuorum is how many of n members must have a record.
func WriteQuorum(members int) int { return members/2 + 1 }

// ReadQuorum is how many of n members must lack a record before it is known not
// to exist. n-W+1 would do within one epoch; a record that was written under the
// epoch before, by a member that has left, is found by a majority only.
func ReadQuorum(members int) int { return WriteQuorum(members) }

// RecoveryQuorum is how many other members an empty one of n must copy before it
// holds all that its seat held.
func RecoveryQuorum(members int) int { return members - WriteQuorum(members) + 1 }

// Consistent reports whether the standings may count together: each is a
// recovered member of the epoch, and none has seen another incarnation of a seat
// than the one that answered.
func Consistent(epoch uint64, standings []*replicav1.Standing) bool {
	incarnations := make(map[uint32]uint64, len(standings))
	for _, standing := range standings {
		if !standing.Member || !standing.Recovered || standing.Epoch != epoch {
			return false
		}
		if _, twice := incarnations[standing.Seat]; twice {
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
	var picked []*replicav1.Standing
	var search func(from int) bool
	search = func(from int) bool {
		if len(picked) == size {
			return Consistent(epoch, picked)
		}
		for i := from; i < len(standings); i++ {
			chosen, picked = append(chosen, i), append(picked, standings[i])
			if search(i + 1) {
				return true
			}
			chosen, picked = chosen[:len(chosen)-1], picked[:len(picked)-1]
		}
		return false
	}
	if search(0) {
		return chosen
	}
	return nil
}
