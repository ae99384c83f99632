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

func TestWaitingForAMajorityIsInVainOnceItIsAwayForLongerThanUsual(t *testing.T) {
	clock, outages := newTestOutages()
	require.Equal(t, firstReturn, outages.outlook(3).Wait, "nothing is known yet")
	began := outages.now()
	clock.advance(300 * time.Millisecond)
	outages.unanswered(3, began, Shortfall{})
	require.Equal(t, uint32(3), <-clock.looked, "its return is looked for without any request")
	require.Equal(t, firstReturn-300*time.Millisecond, outages.outlook(3).Wait, "what is left of a usual outage")
	require.Equal(t, firstReturn, outages.outlook(4).Wait, "another partition's majority answers")
	clock.advance(time.Second)
	outlook := outages.outlook(3)
	require.Zero(t, outlook.Wait)
	require.Equal(t, 1300*time.Millisecond, outlook.Away)
	require.Equal(t, outlook.Away, outlook.ComeBack, "as long again as it has lasted")
	clock.advance(time.Minute)
	outages.unanswered(3, began, Shortfall{})
	require.Equal(t, maxComeBack, outages.outlook(3).ComeBack)
	outages.answered(3)
	require.Positive(t, outages.outlook(3).Wait)
}

func TestHowLongMajoritiesAreAwayIsLearned(t *testing.T) {
	clock, outages := newTestOutages()
	for range 40 {
		began := outages.now()
		clock.advance(minOutage)
		outages.unanswered(0, began, Shortfall{})
		clock.advance(1300 * time.Millisecond)
		outages.answered(0)
	}
	require.InDelta(t, 1500, outages.outlook(0).Wait.Milliseconds(), 150)
}

// Turns were refused as if their majority were away while its disks were slow.
func TestARequestWaitsForTheWritesOfSlowDisks(t *testing.T) {
	clock, outages := newTestOutages()
	const write = 800 * time.Millisecond
	for range 40 {
		outages.writes.Observe(write)
	}
	require.InDelta(t, (firstReturn + write).Milliseconds(), outages.outlook(0).Wait.Milliseconds(), 20)
	began := outages.now()
	clock.advance(firstReturn)
	outages.unanswered(0, began, Shortfall{})
	outlook := outages.outlook(0)
	require.InDelta(t, write.Milliseconds(), outlook.Wait.Milliseconds(), 20, "a write may still be under way")
	require.Equal(t, outlook.Wait, outlook.ComeBack)
	clock.advance(write + 20*time.Millisecond)
	require.Zero(t, outages.outlook(0).Wait)
}

func TestARoundBesideOneThatWasAnsweredIsNoOutage(t *testing.T) {
	clock, outages := newTestOutages()
	began := outages.now()
	clock.advance(time.Second)
	outages.answered(0)
	clock.advance(time.Second)
	outages.unanswered(0, began, Shortfall{})
	require.Zero(t, outages.outlook(0).Away)
	short := outages.now()
	clock.advance(minOutage - 1)
	outages.unanswered(0, short, Shortfall{})
	require.Zero(t, outages.outlook(0).Away, "its caller may have left")
}

func TestAnOutageThatNobodyAsksAboutIsForgotten(t *testing.T) {
	clock, outages := newTestOutages()
	began := outages.now()
	clock.advance(time.Second)
	outages.unanswered(0, began, Shortfall{})
	noted := outages.away[0]
	require.True(t, outages.wanted(0, noted))
	clock.advance(returnInterest + 1)
	require.False(t, outages.wanted(0, noted))
	require.Equal(t, firstReturn, outages.outlook(0).Wait)
	clock.advance(time.Second)
	outages.unanswered(0, outages.now().Add(-time.Second), Shortfall{})
	require.False(t, outages.wanted(0, noted), "one goroutine looks for a return")
}
