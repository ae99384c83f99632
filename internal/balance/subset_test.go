package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const manyWorkers = 1000

func TestSubsetGrowsUnderRejectionsAndShrinksLater(t *testing.T) {
	now, clock := fixedClock()
	sizes := NewSubsetSizes(clock)
	require.Equal(t, minSubsetSize, sizes.Size("s"))
	observeFor := func(duration time.Duration, result AttemptResult) {
		for until := now.Add(duration); now.Before(until); *now = now.Add(20 * time.Millisecond) {
			sizes.Observe("s", result, manyWorkers)
		}
	}
	observeFor(10*time.Second, Served)
	require.Equal(t, minSubsetSize, sizes.Size("s"))
	observeFor(time.Second, Rejected)
	require.Greater(t, sizes.Size("s"), minSubsetSize)
	require.LessOrEqual(t, sizes.Size("s"), 4*minSubsetSize, "increases must be minGrowInterval apart")
	observeFor(time.Minute, Rejected)
	grown := sizes.Size("s")
	require.GreaterOrEqual(t, grown, manyWorkers, "the subset may grow to all workers")
	observeFor(time.Minute, Rejected)
	require.Equal(t, grown, sizes.Size("s"))
	observeFor(shrinkDelay/2, Served)
	require.Equal(t, grown, sizes.Size("s"), "the subset must not shrink before shrinkDelay")
	observeFor(10*shrinkDelay, Served)
	require.Equal(t, minSubsetSize, sizes.Size("s"))
	require.Equal(t, minSubsetSize, sizes.Size("t"), "sizes are separate by service")
}

func TestSingleRejectionDoesNotGrowSubset(t *testing.T) {
	now, clock := fixedClock()
	sizes := NewSubsetSizes(clock)
	sizes.Observe("s", Served, manyWorkers)
	*now = now.Add(2 * minGrowInterval)
	sizes.Observe("s", Rejected, manyWorkers)
	sizes.Observe("s", Served, manyWorkers)
	require.Equal(t, minSubsetSize, sizes.Size("s"))
}
