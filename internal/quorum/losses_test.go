package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestToleratedLosses(t *testing.T) {
	for _, each := range []struct {
		voters, whole, borne int
		removed              bool
	}{
		{voters: 2, whole: 2, borne: 1}, {voters: 2, whole: 2, removed: true, borne: 0},
		{voters: 3, whole: 3, borne: 1}, {voters: 3, whole: 2, borne: 0}, {voters: 3, whole: 1, borne: -1},
		{voters: 4, whole: 4, borne: 2}, {voters: 4, whole: 3, borne: 1},
		{voters: 4, whole: 4, removed: true, borne: 1},
		{voters: 5, whole: 5, borne: 2}, {voters: 6, whole: 5, borne: 2},
	} {
		group := &replicav1.Group{}
		for seat := range each.voters {
			group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat)})
		}
		if each.removed {
			group.Removed = &replicav1.Member{Seat: 99}
		}
		require.Equal(t, each.borne, ToleratedLosses(group, each.whole), "%+v", each)
	}
}

func TestJoiningMemberDoesNotAddToToleratedLosses(t *testing.T) {
	group := &replicav1.Group{Members: []*replicav1.Member{{Seat: 0}, {Seat: 1}, {Seat: 2}, {Seat: 3, Predecessor: &replicav1.Predecessor{}}}}
	require.Equal(t, 1, ToleratedLosses(group, 3))
}
