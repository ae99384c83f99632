package limit

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

var start = time.Unix(1_800_000_000, 0)

func TestFullDaemonRejectsImmediatelyWithRetryDelay(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 10})
	for range 10 {
		_, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
		require.NoError(t, err)
	}
	rejectMany := func(class Class, count int) []time.Duration {
		var delays []time.Duration
		for range count {
			_, err := a.Admit(start, Request{Tenant: "a", Class: class})
			var overloaded *failure.Overloaded
			require.ErrorAs(t, err, &overloaded)
			require.Equal(t, failure.NotRun, overloaded.Outcome())
			delays = append(delays, overloaded.Wait)
		}
		return delays
	}
	// One retry per second is scheduled, so the last delay is about 50 s.
	startDelays := rejectMany(ClassProgramStart, 50)
	require.InDelta(t, 1, startDelays[0].Seconds(), 0.2)
	require.InDelta(t, 50, startDelays[49].Seconds(), 6)
	// Calls of running programs neither queue behind program starts nor wait long.
	callDelays := rejectMany(ClassCall, 50)
	require.InDelta(t, 1, callDelays[0].Seconds(), 0.2)
	require.LessOrEqual(t, slices.Max(callDelays), maxCallRetryDelay)
	require.Equal(t, 10, a.InFlight())
}

// Program starts are rejected until rejected calls of running programs have been
// retried.
func TestProgramStartsWaitForRejectedCalls(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 1})
	ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	require.NoError(t, err)
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	rejection, _ := failure.As(err)
	ticket.Done(start, OutcomeCompleted)
	a.limit.Store(100)
	_, err = a.Admit(start.Add(rejection.Retry().After-1), Request{Tenant: "b", Class: ClassProgramStart})
	require.True(t, failure.IsType(err, "overloaded"))
	_, err = a.Admit(start.Add(rejection.Retry().After), Request{Tenant: "b", Class: ClassProgramStart})
	require.NoError(t, err)
}

func TestProgramStartsLeaveCapacityForCalls(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 100})
	started := 0
	for range 200 {
		ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassProgramStart})
		if err == nil {
			ticket.Done(start, OutcomeCompleted)
			started++
		}
	}
	require.Equal(t, 60, started, "a finished program start still counts as in flight until the window ends")
	_, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	require.NoError(t, err)
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassProgramStart, Priority: 2})
	require.NoError(t, err, "a higher priority has a higher limit")
	_, err = a.Admit(start.Add(windowLength), Request{Tenant: "a", Class: ClassProgramStart})
	require.NoError(t, err, "the next window releases the finished program starts")
}

func TestRequestThatCannotMeetDeadlineIsRejected(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 10})
	_, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall, Deadline: start})
	require.True(t, failure.IsType(err, "overloaded"))
	require.Zero(t, a.InFlight())
	for range 8 {
		ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
		require.NoError(t, err)
		ticket.FirstToken(start.Add(10 * time.Second))
	}
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassCall, Deadline: start.Add(time.Second)})
	require.True(t, failure.IsType(err, "overloaded"))
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassCall, Deadline: start.Add(time.Minute)})
	require.NoError(t, err)
}

func TestLimitFollowsLatency(t *testing.T) {
	nextLimit := func(l adaptiveLimit, counters window) float64 { return l.next(counters, 4, 1000).limit }
	base := adaptiveLimit{limit: 100, threshold: 50}
	require.Equal(t, 100.0, nextLimit(base, window{samples: 4, overTarget: 4, peakInFlight: 100}), "too few samples")
	require.Equal(t, 100.0, nextLimit(base, window{samples: 50, peakInFlight: 49}), "limit not utilized")
	require.Equal(t, 102.0, nextLimit(base, window{samples: 50, peakInFlight: 90}))
	require.Equal(t, 120.0, nextLimit(adaptiveLimit{limit: 100, threshold: 500}, window{samples: 50, peakInFlight: 90}))
	require.Equal(t, 85.5, nextLimit(base, window{samples: 50, overTarget: 10, peakInFlight: 90}))
	require.Equal(t, 72.0, nextLimit(base, window{samples: 50, overTarget: 30, peakInFlight: 90}))
	require.Equal(t, 4.0, nextLimit(base, window{overloads: 50, peakInFlight: 1}), "never below the minimum limit")
	withPeak := adaptiveLimit{limit: 100, threshold: 50, sustainedPeak: 80}
	require.Equal(t, 20.0, nextLimit(withPeak, window{overloads: 50, peakInFlight: 1}), "an outage leaves a fraction of the sustained peak")
	require.Equal(t, 50.0, base.next(window{overloads: 50, peakInFlight: 90}, 4, 1000).threshold, "an outage does not change the threshold")
}

func TestRetriesAreLimitedToFractionOfSuccesses(t *testing.T) {
	budget := NewRetryBudget(start, 0.125, 0.5)
	allowed := 0
	for range 1000 {
		if budget.Allow(start) {
			allowed++
		}
	}
	require.Equal(t, retryBurst, allowed)
	for range 40 {
		budget.RecordSuccess(start)
	}
	for range 5 {
		require.True(t, budget.Allow(start))
	}
	require.False(t, budget.Allow(start))
	require.True(t, budget.Allow(start.Add(2*time.Second)), "the minimum rate without successes")
	require.False(t, budget.Allow(start.Add(2*time.Second)))
}

// Every ticket of concurrent requests is released exactly once, even if Done is called
// twice.
func TestConcurrentRequestsReleaseAllTickets(t *testing.T) {
	const workers, rounds = 16, 500
	a := NewAdmitter(start, Config{InitialLimit: 8, MaxLimit: 8})
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range rounds {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				ticket, err := a.Admit(now, Request{Tenant: "a", Class: ClassCall})
				if err != nil {
					continue
				}
				ticket.FirstToken(now)
				ticket.Done(now, OutcomeCompleted)
				ticket.Done(now, OutcomeCompleted)
			}
		})
	}
	group.Wait()
	require.Zero(t, a.InFlight())
	_, err := a.Admit(start.Add(time.Hour), Request{Tenant: "a", Class: ClassCall})
	require.NoError(t, err)
}

// BenchmarkAdmit measures the cost of admission on the request path.
func BenchmarkAdmit(b *testing.B) {
	a := NewAdmitter(start, Config{InitialLimit: 4096})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall}); err == nil {
				ticket.Done(start, OutcomeCompleted)
			}
		}
	})
}
