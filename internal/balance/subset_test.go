package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const manyWorkers = 1000

func TestSubsetGrowsUnderRejectionsAndShrinksLater(t *testing.T) {
	now, clock := fixed()
	sizes := NewSubsetSizes(clock)
	require.Equal(t, leastSubset, sizes.Size("s"))
	play := func(last time.Duration, verdict AttemptResult) {
		for until := now.Add(last); now.Before(until); *now = now.Add(20 * time.Millisecond) {
			sizes.Observe("s", verdict, manyWorkers)
		}
	}
	play(10*time.Second, Served)
	require.Equal(t, leastSubset, sizes.Size("s"))
	play(time.Second, Rejected)
	require.Greater(t, sizes.Size("s"), leastSubset)
	require.LessOrEqual(t, sizes.Size("s"), 4*leastSubset, "each step is to show")
	play(time.Minute, Rejected)
	grown := sizes.Size("s")
	require.GreaterOrEqual(t, grown, manyWorkers, "all, if it must be")
	play(time.Minute, Rejected)
	require.Equal(t, grown, sizes.Size("s"))
	play(shrinkAfter/2, Served)
	require.Equal(t, grown, sizes.Size("s"), "what was moved stays for a while")
	play(10*shrinkAfter, Served)
	require.Equal(t, leastSubset, sizes.Size("s"))
	require.Equal(t, leastSubset, sizes.Size("t"), "by service")
}

func TestSingleRejectionDoesNotGrowSubset(t *testing.T) {
	now, clock := fixed()
	sizes := NewSubsetSizes(clock)
	sizes.Observe("s", Served, manyWorkers)
	*now = now.Add(2 * growPause)
	sizes.Observe("s", Rejected, manyWorkers)
	sizes.Observe("s", Served, manyWorkers)
	require.Equal(t, leastSubset, sizes.Size("s"))
}
