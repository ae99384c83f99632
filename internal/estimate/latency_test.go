package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUpperBoundGrowsWithObservedLatency(t *testing.T) {
	const minimum = 300 * time.Millisecond
	latency := &Latency{}
	require.Equal(t, minimum, latency.UpperBound(minimum))
	for range 50 {
		latency.Observe(20 * time.Millisecond)
	}
	require.Equal(t, minimum, latency.UpperBound(minimum))
	for range 50 {
		latency.Observe(500 * time.Millisecond)
		latency.Observe(900 * time.Millisecond)
	}
	require.Greater(t, latency.UpperBound(minimum), 1500*time.Millisecond, "the bound grows when all operations become slower")
}

func TestUpperBoundToleratesFewOutliers(t *testing.T) {
	const minimum = 100 * time.Millisecond
	latency := &Latency{}
	for i := range 200 {
		sample := 20 * time.Millisecond
		if i%30 == 0 {
			sample = latency.UpperBound(minimum)
		}
		latency.Observe(sample)
		require.Less(t, latency.UpperBound(minimum), time.Second)
	}
}
