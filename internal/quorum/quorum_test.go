package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func standing(seat uint32, incarnation uint64, seen ...*replicav1.SeatIncarnation) *replicav1.Standing {
	return &replicav1.Standing{Epoch: 1, Member: true, Recovered: true, Seat: seat, Incarnation: incarnation, Seen: seen}
}

func saw(seat uint32, incarnation uint64) *replicav1.SeatIncarnation {
	return &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation}
}

// TestQuorumsIntersect checks for every size what the package's invariants need.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		write := WriteQuorum(n)
		require.Greater(t, write+ReadQuorum(n), n, "a write and a read meet")
		require.Greater(t, 2*write, n, "two writes meet")
		if n > 1 {
			require.Greater(t, (write-1)+RecoveryQuorum(n), n-1, "a lost disk's records are found at the others")
			// One seat less: of a write before, at least write-1 members stay.
			require.Greater(t, (write-1)+ReadQuorum(n-1), n-1, "after a shrink")
		}
		require.Greater(t, write+ReadQuorum(n+1), n+1, "after a growth")
	}
}

func TestConsistentRejectsOtherIncarnationsAndEpochs(t *testing.T) {
	fresh := []*replicav1.Standing{standing(0, 10, saw(1, 20)), standing(1, 20, saw(0, 10))}
	require.True(t, Consistent(1, fresh))
	require.False(t, Consistent(2, fresh), "another epoch")
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 9), standing(1, 20, saw(0, 10))}), "a former life")
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), standing(0, 10)}), "one seat twice")
	empty := standing(1, 20)
	empty.Recovered = false
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), empty}), "an empty replica")
	gone := standing(1, 20)
	gone.Member = false
	require.False(t, Consistent(1, []*replicav1.Standing{standing(0, 10), gone}), "no member")
}

func TestChooseConsistentFindsConsistentSubset(t *testing.T) {
	answers := []*replicav1.Standing{standing(0, 9), standing(1, 20, saw(0, 10)), standing(2, 30, saw(0, 10))}
	require.Equal(t, []int{1, 2}, ChooseConsistent(1, answers, 2))
	require.Nil(t, ChooseConsistent(1, answers, 3))
	require.Nil(t, ChooseConsistent(1, nil, 1))
}
