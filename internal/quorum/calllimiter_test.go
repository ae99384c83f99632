package quorum

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limiterClock is a clock that tests advance.
type limiterClock struct{ offset atomic.Int64 }

func (c *limiterClock) now() time.Time           { return time.Unix(1000, c.offset.Load()) }
func (c *limiterClock) advance(by time.Duration) { c.offset.Add(int64(by)) }

// occupy acquires all free slots and returns how many there were.
func occupy(limiter *callLimiter) (slots int) {
	ended, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for limiter.acquire(ended) {
		slots++
	}
	return slots
}

// answerCalls makes calls that are answered.
func answerCalls(t *testing.T, limiter *callLimiter, count int) {
	for range count {
		require.True(t, limiter.acquire(t.Context()))
		limiter.release(limiter.now(), callAnswered)
	}
}

func TestRejectedCallsHalveTheCallsInFlightOncePerRound(t *testing.T) {
	clock := &limiterClock{}
	limiter := newCallLimiter(clock.now)
	answerCalls(t, limiter, MaxMemberCalls)
	require.Equal(t, MaxMemberCalls, occupy(limiter), "each answer raises the bound at first")
	startedAt := clock.now()
	clock.advance(time.Millisecond)
	for range MaxMemberCalls {
		limiter.release(startedAt, callOverloaded)
	}
	require.Equal(t, MaxMemberCalls/2, occupy(limiter), "calls that were in flight together lower the bound once")
	for range MaxMemberCalls / 2 {
		limiter.release(clock.now(), callUnknown)
	}
	answerCalls(t, limiter, MaxMemberCalls/2)
	require.Equal(t, MaxMemberCalls/2, occupy(limiter), "one answer for each call in flight raises the bound by less than one")
	for range MaxMemberCalls / 2 {
		limiter.release(clock.now(), callUnknown)
	}
	answerCalls(t, limiter, MaxMemberCalls*MaxMemberCalls/callLimitIncrease)
	require.Equal(t, MaxMemberCalls, occupy(limiter), "answers raise the bound again")
}

func TestRejectionsAtTheLowestBoundStartGrowingPauses(t *testing.T) {
	clock := &limiterClock{}
	limiter := newCallLimiter(clock.now)
	reject := func() {
		require.True(t, limiter.acquire(t.Context()))
		clock.advance(time.Millisecond)
		startedAt := clock.now()
		clock.advance(time.Millisecond)
		limiter.release(startedAt, callOverloaded)
	}
	for limiter.limit > minCallLimit {
		reject()
	}
	require.Zero(t, limiter.pausedUntil)
	for pause := initialBackoff; pause <= 2*maxBackoff; pause *= 2 {
		reject()
		require.Zero(t, occupy(limiter), "no call is made in a pause")
		require.LessOrEqual(t, limiter.pausedUntil.Sub(clock.now()), 3*min(pause, maxBackoff)/2)
		clock.advance(3 * maxBackoff / 2)
	}
	require.Equal(t, maxBackoff, limiter.backoff)
}

func TestSlotOfAnAbandonedCallGoesToTheNextOne(t *testing.T) {
	limiter := newCallLimiter(time.Now)
	occupy(limiter)
	abandonedCtx, abandon := context.WithCancel(t.Context())
	var abandoned, waiting sync.WaitGroup
	abandoned.Go(func() { require.False(t, limiter.acquire(abandonedCtx)) })
	require.Eventually(t, func() bool { return waitingCalls(limiter) == 1 }, time.Second, time.Millisecond)
	waiting.Go(func() { require.True(t, limiter.acquire(t.Context())) })
	require.Eventually(t, func() bool { return waitingCalls(limiter) == 2 }, time.Second, time.Millisecond)
	abandon()
	abandoned.Wait()
	limiter.release(time.Now(), callAnswered)
	waiting.Wait()
	require.Zero(t, waitingCalls(limiter))
}

func waitingCalls(limiter *callLimiter) int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return len(limiter.waiting)
}
