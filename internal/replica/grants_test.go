package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// TestSeatGrantsStartFromZeroOnEachClaim follows a node through groups.
func TestSeatGrantsStartFromZeroOnEachClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	held := newGrants("a", func() time.Time { return now }, quota.Tolerance{}, quota.Tolerance{})
	group := func(claim uint64, nodes ...string) []*replicav1.Group {
		made := &replicav1.Group{Partition: 1}
		for i, node := range nodes {
			made.Members = append(made.Members, &replicav1.Member{Seat: uint32(i), Node: node, Claim: claim})
		}
		return []*replicav1.Group{nil, made}
	}
	_, found := held.seat(1)
	require.False(t, found, "no group is known")
	held.take(group(1, "a", "b"))
	first, found := held.seat(1)
	require.True(t, found)
	now = now.Add(time.Second)
	held.take(group(1, "a", "b", "c"))
	same, _ := held.seat(1)
	require.Equal(t, first, same, "the seat was kept")
	held.take(group(3, "b", "c"))
	_, found = held.seat(1)
	require.False(t, found, "the seat was given up")
	held.take(group(4, "a", "b", "c"))
	again, _ := held.seat(1)
	require.Equal(t, now, again.since, "what the holder between has granted is not known")
	now = now.Add(time.Second)
	held.take(group(5, "a", "b", "c"))
	anew, _ := held.seat(1)
	require.Equal(t, now, anew.since, "the seat went away and came back unseen")
}
