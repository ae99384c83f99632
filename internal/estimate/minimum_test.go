package estimate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// fullMinimum returns a minimum of 600 ms, whose last sample is from start.
func fullMinimum() *Minimum {
	minimum := &Minimum{}
	for range minimumWindow {
		minimum.Observe(start, 600*time.Millisecond)
	}
	return minimum
}

func TestMinimumIsZeroUntilOneWindowIsFull(t *testing.T) {
	minimum := &Minimum{}
	for i := range minimumWindow - 1 {
		minimum.Observe(start, time.Duration(100+i)*time.Millisecond)
		require.Zero(t, minimum.Value())
	}
	minimum.Observe(start, time.Second)
	require.Equal(t, 100*time.Millisecond, minimum.Value())
	minimum.Observe(start, 30*time.Millisecond)
	require.Equal(t, 30*time.Millisecond, minimum.Value())
}

func TestMinimumForgetsOldSamples(t *testing.T) {
	minimum := &Minimum{}
	minimum.Observe(start, time.Millisecond)
	for range 2*minimumWindow + 1 {
		minimum.Observe(start, 50*time.Millisecond)
	}
	require.Equal(t, 50*time.Millisecond, minimum.Value())
}

// Guards against refusals that never end: once everything was rejected, nothing showed that the latency had fallen.
func TestMinimumLetsAProbeThroughWhenNothingRenewsIt(t *testing.T) {
	minimum := fullMinimum()
	require.Equal(t, Admission{Minimum: 600 * time.Millisecond}, minimum.Admit(start.Add(900*time.Millisecond), 250*time.Millisecond))
	probedAt := start.Add(1300 * time.Millisecond)
	require.Equal(t, Admission{Admitted: true, IsProbe: true, Minimum: 600 * time.Millisecond}, minimum.Admit(probedAt, 250*time.Millisecond))
	require.False(t, minimum.Admit(probedAt, 250*time.Millisecond).Admitted, "one at a time")
	minimum.Observe(probedAt, 104*time.Millisecond)
	require.Equal(t, Admission{Admitted: true, Minimum: 104 * time.Millisecond}, minimum.Admit(probedAt, 250*time.Millisecond))
}

// Guards against requests that surely cannot be served and are tried all the same.
func TestMinimumProbesSeldomWhileProbesFail(t *testing.T) {
	for _, available := range []time.Duration{10 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		minimum, probes := fullMinimum(), 0
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 10 * time.Millisecond {
			if minimum.Admit(start.Add(elapsed), available).IsProbe {
				probes++
			}
		}
		halfLives := math.Log2(float64(600*time.Millisecond) / float64(available))
		// The half-life is shorter before the first two probes.
		most := 2 + int(time.Minute.Seconds()/(halfLives*maxHalfLife.Seconds()))
		require.Positive(t, probes, available)
		require.LessOrEqual(t, probes, most, "of 6,000 requests with %v", available)
	}
}

// Guards against probes while samples come: those show the latency without any.
func TestMinimumDoesNotProbeWhileSamplesCome(t *testing.T) {
	minimum := fullMinimum()
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 100 * time.Millisecond {
		require.False(t, minimum.Admit(start.Add(elapsed), 250*time.Millisecond).Admitted)
		minimum.Observe(start.Add(elapsed), 600*time.Millisecond)
	}
}
