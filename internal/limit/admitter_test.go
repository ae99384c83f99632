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
	refuse := func(class Class, count int) []time.Duration {
		var waits []time.Duration
		for range count {
			_, err := a.Admit(start, Request{Tenant: "a", Class: class})
			var overloaded *failure.Overloaded
			require.ErrorAs(t, err, &overloaded)
			require.Equal(t, failure.NotRun, overloaded.Outcome())
			waits = append(waits, overloaded.Wait)
		}
		return waits
	}
	// One a second is told to come back, so the last comes after about 50 s.
	openings := refuse(ClassProgramStart, 50)
	require.InDelta(t, 1, openings[0].Seconds(), 0.2)
	require.InDelta(t, 50, openings[49].Seconds(), 6)
	// Calls of programs under way do not wait behind openings, nor for long.
	calls := refuse(ClassCall, 50)
	require.InDelta(t, 1, calls[0].Seconds(), 0.2)
	require.LessOrEqual(t, slices.Max(calls), longestCallWait)
	require.Equal(t, 10, a.InFlight())
}

// While refused calls have not come back, no program is begun.
func TestProgramStartsWaitForRejectedCalls(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 1})
	ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	require.NoError(t, err)
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	refused, _ := failure.As(err)
	ticket.Done(start, OutcomeCompleted)
	a.limit.Store(100)
	_, err = a.Admit(start.Add(refused.Retry().After-1), Request{Tenant: "b", Class: ClassProgramStart})
	require.True(t, failure.IsType(err, "overloaded"))
	_, err = a.Admit(start.Add(refused.Retry().After), Request{Tenant: "b", Class: ClassProgramStart})
	require.NoError(t, err)
}

func TestProgramStartsLeaveCapacityForCalls(t *testing.T) {
	a := NewAdmitter(start, Config{InitialLimit: 100})
	opened := 0
	for range 200 {
		ticket, err := a.Admit(start, Request{Tenant: "a", Class: ClassProgramStart})
		if err == nil {
			ticket.Done(start, OutcomeCompleted)
			opened++
		}
	}
	require.Equal(t, 60, opened, "an ended opening keeps its place for a while")
	_, err := a.Admit(start, Request{Tenant: "a", Class: ClassCall})
	require.NoError(t, err)
	_, err = a.Admit(start, Request{Tenant: "a", Class: ClassProgramStart, Priority: 2})
	require.NoError(t, err, "a higher priority has more room")
	_, err = a.Admit(start.Add(windowLength), Request{Tenant: "a", Class: ClassProgramStart})
	require.NoError(t, err, "the next window frees the places")
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
	bounds := func(l adaptive, seen window) float64 { return l.next(seen, 4, 1000).limit }
	base := adaptive{limit: 100, threshold: 50}
	require.Equal(t, 100.0, bounds(base, window{samples: 4, late: 4, peak: 100}), "too few to judge")
	require.Equal(t, 100.0, bounds(base, window{samples: 50, peak: 49}), "not in use")
	require.Equal(t, 102.0, bounds(base, window{samples: 50, peak: 90}))
	require.Equal(t, 120.0, bounds(adaptive{limit: 100, threshold: 500}, window{samples: 50, peak: 90}))
	require.Equal(t, 85.5, bounds(base, window{samples: 50, late: 10, peak: 90}))
	require.Equal(t, 72.0, bounds(base, window{samples: 50, late: 30, peak: 90}))
	require.Equal(t, 4.0, bounds(base, window{overloads: 50, peak: 1}), "never below the smallest")
	proven := adaptive{limit: 100, threshold: 50, proven: 80}
	require.Equal(t, 20.0, bounds(proven, window{overloads: 50, peak: 1}), "an outage leaves a part")
	require.Equal(t, 50.0, base.next(window{overloads: 50, peak: 90}, 4, 1000).threshold, "an outage is no measure")
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
	require.True(t, budget.Allow(start.Add(2*time.Second)), "a steady trickle")
	require.False(t, budget.Allow(start.Add(2*time.Second)))
}

// Many at once: the places taken are never more than the limit, and all are
// given back.
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

// BenchmarkAdmit is the cost on the path of a request.
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
