package quorum

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageClock is a clock that tests advance. It also receives the probed partitions; probes never
// succeed.
type outageClock struct {
	now    atomic.Int64
	probed chan uint32
}

func (c *outageClock) advance(by time.Duration) { c.now.Add(int64(by)) }

func newTestOutages() (*outageClock, *outages) {
	clock := &outageClock{probed: make(chan uint32, 1)}
	now := func() time.Time { return time.Unix(1000, clock.now.Load()) }
	probe := func(ctx context.Context, partition uint32) error {
		select {
		case clock.probed <- partition:
		default:
		}
		<-ctx.Done()
		return ctx.Err()
	}
	return clock, newOutages(now, probe)
}

func TestNoWaitLimitAfterTypicalOutageDuration(t *testing.T) {
	clock, outages := newTestOutages()
	require.Equal(t, initialOutageEstimate, outages.availability(3).WaitLimit, "no outage has been observed yet")
	startedAt := outages.now()
	clock.advance(300 * time.Millisecond)
	outages.majorityMissing(3, startedAt, Shortfall{})
	require.Equal(t, uint32(3), <-clock.probed, "the partition must be probed without any request")
	require.Equal(t, initialOutageEstimate-300*time.Millisecond, outages.availability(3).WaitLimit, "the rest of a typical outage")
	require.Equal(t, initialOutageEstimate, outages.availability(4).WaitLimit, "the majority of the other partition is available")
	clock.advance(time.Second)
	availability := outages.availability(3)
	require.Zero(t, availability.WaitLimit)
	require.Equal(t, 1300*time.Millisecond, availability.UnavailableFor)
	require.Equal(t, availability.UnavailableFor, availability.RetryAfter, "expected to last as long again")
	clock.advance(time.Minute)
	outages.majorityMissing(3, startedAt, Shortfall{})
	require.Equal(t, maxRetryAfter, outages.availability(3).RetryAfter)
	outages.majorityAnswered(3)
	require.Positive(t, outages.availability(3).WaitLimit)
}

func TestOutageDurationIsEstimatedFromPastOutages(t *testing.T) {
	clock, outages := newTestOutages()
	for range 40 {
		startedAt := outages.now()
		clock.advance(minOutageDuration)
		outages.majorityMissing(0, startedAt, Shortfall{})
		clock.advance(1300 * time.Millisecond)
		outages.majorityAnswered(0)
	}
	require.InDelta(t, 1500, outages.availability(0).WaitLimit.Milliseconds(), 150)
}

// TestWaitLimitIncludesWriteLatency guards against refusing turns as if their majority were
// unavailable while its disks are only slow.
func TestWaitLimitIncludesWriteLatency(t *testing.T) {
	clock, outages := newTestOutages()
	const writeLatency = 800 * time.Millisecond
	for range 40 {
		outages.writeLatency.Observe(writeLatency)
	}
	require.InDelta(t, (initialOutageEstimate + writeLatency).Milliseconds(), outages.availability(0).WaitLimit.Milliseconds(), 20)
	startedAt := outages.now()
	clock.advance(initialOutageEstimate)
	outages.majorityMissing(0, startedAt, Shortfall{})
	availability := outages.availability(0)
	require.InDelta(t, writeLatency.Milliseconds(), availability.WaitLimit.Milliseconds(), 20, "a write may still be in progress")
	require.Equal(t, availability.WaitLimit, availability.RetryAfter)
	clock.advance(writeLatency + 20*time.Millisecond)
	require.Zero(t, outages.availability(0).WaitLimit)
}

func TestNoOutageAfterRecentAnswerOrShortRound(t *testing.T) {
	clock, outages := newTestOutages()
	startedAt := outages.now()
	clock.advance(time.Second)
	outages.majorityAnswered(0)
	clock.advance(time.Second)
	outages.majorityMissing(0, startedAt, Shortfall{})
	require.Zero(t, outages.availability(0).UnavailableFor)
	shortRoundStart := outages.now()
	clock.advance(minOutageDuration - 1)
	outages.majorityMissing(0, shortRoundStart, Shortfall{})
	require.Zero(t, outages.availability(0).UnavailableFor, "the caller of a short round may have left")
}

func TestUnqueriedOutageIsDropped(t *testing.T) {
	clock, outages := newTestOutages()
	startedAt := outages.now()
	clock.advance(time.Second)
	outages.majorityMissing(0, startedAt, Shortfall{})
	current := outages.active[0]
	require.True(t, outages.probeNeeded(0, current))
	clock.advance(recoveryProbeIdleLimit + 1)
	require.False(t, outages.probeNeeded(0, current))
	require.Equal(t, initialOutageEstimate, outages.availability(0).WaitLimit)
	clock.advance(time.Second)
	outages.majorityMissing(0, outages.now().Add(-time.Second), Shortfall{})
	require.False(t, outages.probeNeeded(0, current), "only the goroutine of the current outage may continue")
}
