package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestToleratedLosses(t *testing.T) {
	for _, test := range []struct {
		voters, intact, tolerated int
		removed                   bool
	}{
		{voters: 2, intact: 2, tolerated: 1}, {voters: 2, intact: 2, removed: true, tolerated: 0},
		{voters: 3, intact: 3, tolerated: 1}, {voters: 3, intact: 2, tolerated: 0}, {voters: 3, intact: 1, tolerated: -1},
		{voters: 4, intact: 4, tolerated: 2}, {voters: 4, intact: 3, tolerated: 1},
		{voters: 4, intact: 4, removed: true, tolerated: 1},
		{voters: 5, intact: 5, tolerated: 2}, {voters: 6, intact: 5, tolerated: 2},
	} {
		group := &replicav1.Group{}
		for seat := range test.voters {
			group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat)})
		}
		if test.removed {
			group.Removed = &replicav1.Member{Seat: 99}
		}
		require.Equal(t, test.tolerated, ToleratedLosses(group, test.intact), "%+v", test)
	}
}

func TestJoiningMemberDoesNotAddToToleratedLosses(t *testing.T) {
	group := &replicav1.Group{Members: []*replicav1.Member{{Seat: 0}, {Seat: 1}, {Seat: 2}, {Seat: 3, Predecessor: &replicav1.Predecessor{}}}}
	require.Equal(t, 1, ToleratedLosses(group, 3))
}
