package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMaximumHasNoValueWithoutSamples(t *testing.T) {
	_, count := (&Maximum{}).Value(time.Now())
	require.Zero(t, count)
}

func TestMaximumCoversBetweenOneAndTwoWindows(t *testing.T) {
	start := time.Now()
	maximum := &Maximum{}
	maximum.Observe(start, 700)
	maximum.Observe(start.Add(maximumWindow+time.Second), 20)
	largest, count := maximum.Value(start.Add(2*maximumWindow - time.Second))
	require.Equal(t, 2, count)
	require.EqualValues(t, 700, largest)
	largest, count = maximum.Value(start.Add(2*maximumWindow + 2*time.Second))
	require.Equal(t, 1, count)
	require.EqualValues(t, 20, largest)
	_, count = maximum.Value(start.Add(5 * maximumWindow))
	require.Zero(t, count)
}

// TestMaximumIsThatOfAllRecentSamples compares random samples with the list of them.
func TestMaximumIsThatOfAllRecentSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sample struct {
			at   time.Time
			size int64
		}
		var samples []sample
		maximum, now := &Maximum{}, time.Now()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(maximumWindow)).Draw(t, "pause")))
			one := sample{at: now, size: rapid.Int64Range(0, 1000).Draw(t, "size")}
			samples = append(samples, one)
			maximum.Observe(one.at, one.size)
			value, count := maximum.Value(now)
			require.Positive(t, count)
			var least, most int64
			for _, each := range samples {
				if now.Sub(each.at) < maximumWindow {
					least = max(least, each.size)
				}
				if now.Sub(each.at) < 2*maximumWindow {
					most = max(most, each.size)
				}
			}
			require.GreaterOrEqual(t, value, least, "a sample of the last window was forgotten")
			require.LessOrEqual(t, value, most, "an old sample was kept")
		}
	})
}
