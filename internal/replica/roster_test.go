package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachGatewayIsToldOfAFewOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newRoster(func() time.Time { return now }), newRoster(func() time.Time { return now })
	one.note("")
	require.Empty(t, one.near("g0"))
	for i := range 40 {
		one.note(fmt.Sprintf("g%d", i))
		other.note(fmt.Sprintf("g%d", 39-i))
	}
	told := map[string]bool{}
	for i := range 40 {
		name := fmt.Sprintf("g%d", i)
		near := one.near(name)
		require.Len(t, near, rosterShare)
		require.NotContains(t, near, name)
		require.Equal(t, near, other.near(name), "replicas choose alike")
		for _, each := range near {
			told[each] = true
		}
	}
	require.Greater(t, len(told), 20, "the work is shared")
	now = now.Add(rosterMemory + 1)
	one.note("g7")
	require.Equal(t, []string{"g7"}, one.near("g3"), "those that are gone are forgotten")
}
