package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// Follows a node through several groups.
func TestSeatGrantsStartFromZeroOnEachClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	allocator := newGrantAllocator("a", func() time.Time { return now }, quota.Tolerance{}, quota.Tolerance{})
	group := func(claim uint64, nodes ...string) []*replicav1.Group {
		made := &replicav1.Group{Partition: 1}
		for i, node := range nodes {
			made.Members = append(made.Members, &replicav1.Member{Seat: uint32(i), Node: node, Claim: claim})
		}
		return []*replicav1.Group{nil, made}
	}
	_, found := allocator.seat(1)
	require.False(t, found, "no group is known")
	allocator.updateSeats(group(1, "a", "b"))
	first, found := allocator.seat(1)
	require.True(t, found)
	now = now.Add(time.Second)
	allocator.updateSeats(group(1, "a", "b", "c"))
	same, _ := allocator.seat(1)
	require.Equal(t, first, same, "the seat was kept")
	allocator.updateSeats(group(3, "b", "c"))
	_, found = allocator.seat(1)
	require.False(t, found, "the seat was given up")
	allocator.updateSeats(group(4, "a", "b", "c"))
	regained, _ := allocator.seat(1)
	require.Equal(t, now, regained.since, "the grants of the holder in between are unknown")
	now = now.Add(time.Second)
	allocator.updateSeats(group(5, "a", "b", "c"))
	reclaimed, _ := allocator.seat(1)
	require.Equal(t, now, reclaimed.since, "the seat was lost and regained unnoticed")
}
