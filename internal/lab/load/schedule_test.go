package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/lab/load"
)

func TestArrivalsFollowTheSeedAndTheRate(t *testing.T) {
	const rate = 200
	first := load.Arrivals(7, rate, 0, 100*time.Second)
	require.Equal(t, first, load.Arrivals(7, rate, 0, 100*time.Second))
	require.NotEqual(t, first, load.Arrivals(8, rate, 0, 100*time.Second))
	require.InDelta(t, rate*100, len(first), 500)
	require.IsIncreasing(t, first)
}

func TestArrivalsAreBoundedInCountAndTime(t *testing.T) {
	require.Len(t, load.Arrivals(1, 1000, 30, time.Minute), 30)
	for _, offset := range load.Arrivals(1, 1000, 0, time.Second) {
		require.Less(t, offset, time.Second)
	}
	require.Empty(t, load.Arrivals(1, 0, 10, time.Second))
}

// A system that answers nothing for a while must not move later arrivals.
func TestRunnerCountsLatencyFromThePlannedStart(t *testing.T) {
	arrivals := []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond}
	clock := &steppedClock{}
	var latencies []time.Duration
	runner := load.Runner{
		Now:   clock.now,
		Sleep: clock.sleep,
		Spawn: func(work func()) { work() },
		Work:  func(int) { clock.offset += time.Second },
		Done:  func(_ int, latency time.Duration) { latencies = append(latencies, latency) },
	}
	runner.Run(arrivals)
	require.Equal(t, []time.Duration{time.Second, 1990 * time.Millisecond, 2980 * time.Millisecond}, latencies)
}

type steppedClock struct{ offset time.Duration }

func (c *steppedClock) now() time.Time        { return time.Unix(0, 0).Add(c.offset) }
func (c *steppedClock) sleep(d time.Duration) { c.offset += max(d, 0) }
