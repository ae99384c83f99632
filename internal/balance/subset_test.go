package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const manyWorkers = 1000

func TestASubsetGrowsWhileItIsFullAndShrinksLater(t *testing.T) {
	now, clock := fixed()
	sizes := NewSubsetSizes(clock)
	require.Equal(t, leastSubset, sizes.Of("s"))
	play := func(last time.Duration, verdict Verdict) {
		for until := now.Add(last); now.Before(until); *now = now.Add(20 * time.Millisecond) {
			sizes.Note("s", verdict, manyWorkers)
		}
	}
	play(10*time.Second, Served)
	require.Equal(t, leastSubset, sizes.Of("s"))
	play(time.Second, TurnedAway)
	require.Greater(t, sizes.Of("s"), leastSubset)
	require.LessOrEqual(t, sizes.Of("s"), 4*leastSubset, "each step is to show")
	play(time.Minute, TurnedAway)
	grown := sizes.Of("s")
	require.GreaterOrEqual(t, grown, manyWorkers, "all, if it must be")
	play(time.Minute, TurnedAway)
	require.Equal(t, grown, sizes.Of("s"))
	play(shrinkAfter/2, Served)
	require.Equal(t, grown, sizes.Of("s"), "what was moved stays for a while")
	play(10*shrinkAfter, Served)
	require.Equal(t, leastSubset, sizes.Of("s"))
	require.Equal(t, leastSubset, sizes.Of("t"), "by service")
}

func TestOneRequestThatIsTurnedAwayIsNoReasonToGrow(t *testing.T) {
	now, clock := fixed()
	sizes := NewSubsetSizes(clock)
	sizes.Note("s", Served, manyWorkers)
	*now = now.Add(2 * growPause)
	sizes.Note("s", TurnedAway, manyWorkers)
	sizes.Note("s", Served, manyWorkers)
	require.Equal(t, leastSubset, sizes.Of("s"))
}
