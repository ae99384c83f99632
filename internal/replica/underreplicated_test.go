package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAGroupThatLacksAMemberForLongIsCounted(t *testing.T) {
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
