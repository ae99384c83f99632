package quorum

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageClock is a clock that tests move, with a majority that answers when told.
type outageClock struct {
	now    atomic.Int64
	looked chan uint32
}

func (c *outageClock) advance(by time.Duration) { c.now.Add(int64(by)) }

func newTestOutages() (*outageClock, *outages) {
	clock := &outageClock{looked: make(chan uint32, 1)}
	now := func() time.Time { return time.Unix(1000, clock.now.Load()) }
	look := func(ctx context.Context, partition uint32) error {
		select {
		case clock.looked <- partition:
		default:
		}
		<-ctx.Done()
		return ctx.Err()
	}
	return clock, newOutages(now, look)
}

func TestNoWaitLimitAfterTypicalOutageDuration(t *testing.T) {
	clock, outages := newTestOutages()
	require.Equal(t, firstReturn, outages.outlook(3).WaitLimit, "nothing is known yet")
	began := outages.now()
	clock.advance(300 * time.Millisecond)
	outages.unanswered(3, began, Shortfall{})
	require.Equal(t, uint32(3), <-clock.looked, "its return is looked for without any request")
	require.Equal(t, firstReturn-300*time.Millisecond, outages.outlook(3).WaitLimit, "what is left of a usual outage")
	require.Equal(t, firstReturn, outages.outlook(4).WaitLimit, "another partition's majority answers")
	clock.advance(time.Second)
	outlook := outages.outlook(3)
	require.Zero(t, outlook.WaitLimit)
	require.Equal(t, 1300*time.Millisecond, outlook.UnavailableFor)
	require.Equal(t, outlook.UnavailableFor, outlook.RetryAfter, "as long again as it has lasted")
	clock.advance(time.Minute)
	outages.unanswered(3, began, Shortfall{})
	require.Equal(t, maxComeBack, outages.outlook(3).RetryAfter)
	outages.answered(3)
	require.Positive(t, outages.outlook(3).WaitLimit)
}

func TestOutageDurationIsEstimatedFromPastOutages(t *testing.T) {
	clock, outages := newTestOutages()
	for range 40 {
		began := outages.now()
		clock.advance(minOutage)
		outages.unanswered(0, began, Shortfall{})
		clock.advance(1300 * time.Millisecond)
		outages.answered(0)
	}
	require.InDelta(t, 1500, outages.outlook(0).WaitLimit.Milliseconds(), 150)
}

// Turns were refused as if their majority were away while its disks were slow.
func TestWaitLimitIncludesWriteLatency(t *testing.T) {
	clock, outages := newTestOutages()
	const write = 800 * time.Millisecond
	for range 40 {
		outages.writes.Observe(write)
	}
	require.InDelta(t, (firstReturn + write).Milliseconds(), outages.outlook(0).WaitLimit.Milliseconds(), 20)
	began := outages.now()
	clock.advance(firstReturn)
	outages.unanswered(0, began, Shortfall{})
	outlook := outages.outlook(0)
	require.InDelta(t, write.Milliseconds(), outlook.WaitLimit.Milliseconds(), 20, "a write may still be under way")
	require.Equal(t, outlook.WaitLimit, outlook.RetryAfter)
	clock.advance(write + 20*time.Millisecond)
	require.Zero(t, outages.outlook(0).WaitLimit)
}

func TestNoOutageAfterRecentAnswerOrShortRound(t *testing.T) {
	clock, outages := newTestOutages()
	began := outages.now()
	clock.advance(time.Second)
	outages.answered(0)
	clock.advance(time.Second)
	outages.unanswered(0, began, Shortfall{})
	require.Zero(t, outages.outlook(0).UnavailableFor)
	short := outages.now()
	clock.advance(minOutage - 1)
	outages.unanswered(0, short, Shortfall{})
	require.Zero(t, outages.outlook(0).UnavailableFor, "its caller may have left")
}

func TestUnqueriedOutageIsDropped(t *testing.T) {
	clock, outages := newTestOutages()
	began := outages.now()
	clock.advance(time.Second)
	outages.unanswered(0, began, Shortfall{})
	noted := outages.away[0]
	require.True(t, outages.wanted(0, noted))
	clock.advance(returnInterest + 1)
	require.False(t, outages.wanted(0, noted))
	require.Equal(t, firstReturn, outages.outlook(0).WaitLimit)
	clock.advance(time.Second)
	outages.unanswered(0, outages.now().Add(-time.Second), Shortfall{})
	require.False(t, outages.wanted(0, noted), "one goroutine looks for a return")
}
