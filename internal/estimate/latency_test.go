package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUpperBoundGrowsWithObservedLatency(t *testing.T) {
	const least = 300 * time.Millisecond
	latency := &Latency{}
	require.Equal(t, least, latency.UpperBound(least))
	for range 50 {
		latency.Observe(20 * time.Millisecond)
	}
	require.Equal(t, least, latency.UpperBound(least))
	for range 50 {
		latency.Observe(500 * time.Millisecond)
		latency.Observe(900 * time.Millisecond)
	}
	require.Greater(t, latency.UpperBound(least), 1500*time.Millisecond, "it grows when all take longer")
}

func TestUpperBoundToleratesFewOutliers(t *testing.T) {
	const least = 100 * time.Millisecond
	latency := &Latency{}
	for i := range 200 {
		took := 20 * time.Millisecond
		if i%30 == 0 {
			took = latency.UpperBound(least)
		}
		latency.Observe(took)
		require.Less(t, latency.UpperBound(least), time.Second)
	}
}
