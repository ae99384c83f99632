package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestLongUnderReplicatedGroupIsCounted(t *testing.T) {
	now := time.Unix(100, 0)
	groups := newUnderReplicatedGroups(func() time.Time { return now })
	seen := seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c"))
	groups.observe(seen, nil)
	require.Zero(t, groups.count())
	seen.settled = except("b")
	groups.observe(seen, nil)
	now = now.Add(underReplicatedAfter - 1)
	groups.observe(seen, nil)
	require.Zero(t, groups.count(), "a copy usually takes less")
	now = now.Add(1)
	groups.observe(seen, []string{"d"})
	require.Equal(t, 1, groups.count())
	seen.settled = except("c")
	groups.observe(seen, nil)
	require.Equal(t, 1, groups.count(), "another member lacks something now")
	seen.settled = except()
	groups.observe(seen, nil)
	require.Zero(t, groups.count())
}

func TestWeakestGroupDeterminesToleratedLosses(t *testing.T) {
	groups := newUnderReplicatedGroups(func() time.Time { return time.Unix(100, 0) })
	require.Zero(t, groups.leastBorne())
	three, five := oneGroup(nodes("a", "b", "c")), oneGroup(nodes("a", "b", "c", "d", "e"))
	five.Partition = 1
	groups.observe(seenAll(three, nil), nil)
	groups.observe(seenAll(five, nil), nil)
	require.Equal(t, 1, groups.leastBorne())
	weak := seenAll(three, nil)
	weak.settled = except("a", "b", "c")
	groups.observe(weak, nil)
	require.Equal(t, 1, groups.leastBorne(), "what has not been heard in a new epoch is there all the same")
	weak.holds = func(member *replicav1.Member) bool { return member.Node == "c" }
	groups.observe(weak, nil)
	require.Equal(t, -1, groups.leastBorne())
	groups.forget([]*replicav1.Group{five})
	require.Equal(t, 2, groups.leastBorne())
}
