package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func standing(seat uint32, incarnation uint64, seen ...*replicav1.SeatIncarnation) *replicav1.Standing {
	return &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: seat, Incarnation: incarnation, Seen: seen}
}

func seenIncarnation(seat uint32, incarnation uint64) *replicav1.SeatIncarnation {
	return &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation}
}

// TestQuorumsIntersect checks the quorum sizes required by the package's invariants.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		write := WriteQuorum(n)
		require.Greater(t, write+ReadQuorum(n), n, "a write and a read quorum must intersect")
		require.Greater(t, 2*write, n, "two write quorums must intersect")
		if n > 1 {
			require.Greater(t, (write-1)+RecoveryQuorum(n), n-1, "the records of a lost disk must be found at other members")
			// After removing one seat, at least write-1 members of an earlier write remain.
			require.Greater(t, (write-1)+ReadQuorum(n-1), n-1, "read and write quorums must intersect after removing a seat")
		}
		require.Greater(t, write+ReadQuorum(n+1), n+1, "read and write quorums must intersect after adding a seat")
	}
}

func TestConsistentRejectsOtherIncarnationsAndEpochs(t *testing.T) {
	consistent := []*replicav1.Standing{standing(0, 10, seenIncarnation(1, 20)), standing(1, 20, seenIncarnation(0, 10))}
	require.True(t, Consistent(1, consistent))
	require.False(t, Consistent(2, consistent), "another epoch")
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 9), standing(1, 20, seenIncarnation(0, 10))}), "an earlier incarnation")
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), standing(0, 10)}), "two answers for one seat")
	empty := standing(1, 20)
	empty.Recovered = false
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), empty}), "a replica that has not recovered")
	notMember := standing(1, 20)
	notMember.Member = false
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), notMember}), "a replica that is no member")
}

func TestChooseConsistentFindsConsistentSubset(t *testing.T) {
	answers := []*replicav1.Standing{standing(0, 9), standing(1, 20, seenIncarnation(0, 10)), standing(2, 30, seenIncarnation(0, 10))}
	require.Equal(t, []int{1, 2}, ChooseConsistent(1, answers, 2))
	require.Nil(t, ChooseConsistent(1, answers, 3))
	require.Nil(t, ChooseConsistent(1, nil, 1))
}
