package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAGroupThatLacksAMemberForLongIsCounted(t *testing.T) {
	now := time.Unix(100, 0)
	lacking := newLackingGroups(func() time.Time { return now })
	seen := seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c"))
	lacking.note(seen, nil)
	require.Zero(t, lacking.count())
	seen.settled = except("b")
	lacking.note(seen, nil)
	now = now.Add(lackingTold - 1)
	lacking.note(seen, nil)
	require.Zero(t, lacking.count(), "a copy usually takes less")
	now = now.Add(1)
	lacking.note(seen, []string{"d"})
	require.Equal(t, 1, lacking.count())
	seen.settled = except("c")
	lacking.note(seen, nil)
	require.Equal(t, 1, lacking.count(), "another member lacks something now")
	seen.settled = except()
	lacking.note(seen, nil)
	require.Zero(t, lacking.count())
}
