package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// transferred is a group of three in which seat 0 has moved from "a" to "d".
func transferred() *replicav1.Group {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "d"))
	seen.retiring["a"] = true
	return nextGroup(seen)
}

func TestASeatIsCopiedOnlyFromAHolderThatCanAcknowledgeNothingMore(t *testing.T) {
	group := transferred()
	member := group.Members[0]
	good := func() *replicav1.Standing {
		return &replicav1.Standing{Epoch: group.Epoch, Seat: member.Seat, Claim: firstEpoch, Recovered: true}
	}
	require.True(t, passesSeatOn(group, member, good()))
	for name, spoil := range map[string]func(*replicav1.Standing){
		"it does not know yet that it has lost the seat": func(s *replicav1.Standing) { s.Epoch-- },
		"it still is a member":                           func(s *replicav1.Standing) { s.Member = true },
		"it had not recovered":                           func(s *replicav1.Standing) { s.Recovered = false },
		"its folder was begun for another seat":          func(s *replicav1.Standing) { s.Seat++ },
		"it held the seat at another time":               func(s *replicav1.Standing) { s.Claim++ },
	} {
		standing := good()
		spoil(standing)
		require.False(t, passesSeatOn(group, member, standing), name)
	}
	received := receivedGroup(group, member.Seat, 5)
	standing := good()
	standing.Epoch = received.Epoch
	require.False(t, passesSeatOn(received, received.Members[0], standing), "the seat's holder may have acknowledged more")
	require.Len(t, recoverySources(received, received.Members[0]), 2)
	require.Len(t, recoverySources(group, member), 3)
}
